/**
 * @module
 * State of a subject that a restarted instance takes from a peer.
 */

/** Names of the subjects. */
export type RestartSlotName = "hints" | "claims" | "limits";

/** A subject whose state a restarted instance takes from a peer. */
export interface RestartSlot {
    readonly name: RestartSlotName;
    /** State for a restarted peer; undefined when there is none. */
    readonly collect: () => string | undefined;
    /** Takes the state of a peer. */
    readonly adopt: (payload: string) => void;
}

/** The state of one subject as it is sent. */
export interface RestartPart {
    readonly name: RestartSlotName;
    readonly payload: string;
}
