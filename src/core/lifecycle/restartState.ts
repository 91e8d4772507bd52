/**
 * @module
 * State of a subject that a restarted instance takes from a peer.
 */

/** Names of the subjects. */
export type RestartStateName = "hints" | "claims" | "limits";

/** A subject whose state a restarted instance takes from a peer. */
export interface RestartStateProvider {
    readonly name: RestartStateName;
    /** State for a restarted peer; undefined when there is none. */
    readonly collect: () => string | undefined;
    /** Takes the state of a peer. */
    readonly apply: (payload: string) => void;
}

/** The state of one subject as it is sent. */
export interface RestartStatePart {
    readonly name: RestartStateName;
    readonly payload: string;
}
