/**
 * @module
 * State that a restarted instance restores from a peer.
 */

/** Names of the parts of this state. */
export type RestartStateName = "hints" | "claims" | "limits";

/** A component whose state a restarted instance restores from a peer. */
export interface RestartStateProvider {
    readonly name: RestartStateName;
    /** Returns the state for a restarted peer; undefined when there is none. */
    readonly collect: () => string | undefined;
    /** Applies the state of a peer. */
    readonly apply: (payload: string) => void;
}

/** The state of one component, as it is sent to a peer. */
export interface RestartStatePart {
    readonly name: RestartStateName;
    readonly payload: string;
}
