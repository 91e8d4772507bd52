/**
 * @module
 * Members of the fleet as one instance sees them.
 */

/** State of a member in one instance's view. */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

/** One instance of the fleet. */
export interface Member {
    /** Name of the instance, unique in the fleet. */
    readonly instance: string;
    /** Incremented by the member itself to refute a suspicion; starts higher after each restart. */
    readonly incarnation: number;
    readonly state: MemberState;
    readonly failureDomain: string;
    /** "ip:port" that callers connect to. */
    readonly callerAddress: string;
    /** "ip:port" that peers connect to. */
    readonly peerAddress: string;
}

/** One instance's view of the fleet. */
export interface MembershipView {
    readonly self: Member;
    /** All known members, this instance included. */
    readonly members: readonly Member[];
    /** True when the view may be outdated: after a pause, after several failed probes or with many suspects. */
    readonly isDegraded: boolean;
}
