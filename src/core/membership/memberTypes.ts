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
    /** Raised by the member itself to contradict a suspicion; a restart starts above the last one. */
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
    /** True when the view may be badly out of date, as after a pause or when most probes fail. */
    readonly isDoubtful: boolean;
}
