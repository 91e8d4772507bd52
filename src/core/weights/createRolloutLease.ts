/**
 * @module
 * The lease under which one instance at a time sends orders to engines. It is a record that a conditional append put at
 * the end of a topic; the record's offset is the fencing number. Clocks of different instances are not compared: others
 * measure from when they learned of a record, which is later than when its holder sent it.
 */

/** A record of the lease's topic. */
export interface LeaseClaim {
    readonly instance: string;
    readonly offset: number;
}

/** The lease as known to this instance. Times are milliseconds on its clock. */
export interface RolloutLease {
    /** Records the newest record of the topic. */
    readonly recordClaim: (claim: LeaseClaim, nowMs: number) => void;
    /** Records that the topic ends at an offset, without knowing the record before it. */
    readonly recordEnd: (end: number, nowMs: number) => void;
    /** Records a successful append of this instance that was sent at `sentMs`. */
    readonly recordOwnClaim: (offset: number, sentMs: number) => void;
    /** Offset at which the topic ends, as far as known. */
    readonly end: () => number;
    /** The last holder; undefined when it is not known. */
    readonly holder: () => string | undefined;
    /** Whether the last holder's orders can no longer have an effect. */
    readonly isFree: (nowMs: number) => boolean;
    /** Fencing number while orders may be sent; undefined when the lease is not held. */
    readonly fence: (nowMs: number) => number | undefined;
    /** Milliseconds for which this instance still holds the lease. */
    readonly remainingMs: (nowMs: number) => number;
    /** Stops orders under the current fencing number, as after a pause or when an engine refused it. */
    readonly relinquish: () => void;
}

/** Options of {@link createRolloutLease}. */
export interface RolloutLeaseOptions {
    readonly instance: string;
    /** Milliseconds that must lie between the orders of two holders. */
    readonly separationMs: number;
}

/** Time for which a record allows orders, in milliseconds, counted from before it was sent. */
export const leaseValidMs = 1_500;

/** Time in which a sent order may still arrive, in milliseconds; after it the connection is closed. */
export const orderArrivalMs = 500;

/**
 * Creates a lease with no known holder.
 *
 * @param options - Name of the instance, and the time between two holders.
 * @returns The lease.
 * @example
 * createRolloutLease({ instance: "entry-1", separationMs: 3_000 }).isFree(clock.now()); // true
 */
export function createRolloutLease(options: RolloutLeaseOptions): RolloutLease {
    const takeoverDelayMs = leaseValidMs + orderArrivalMs + options.separationMs;
    let holder: string | undefined;
    let end = 0;
    let learnedMs = -Infinity;
    let own: { readonly offset: number; readonly sentMs: number; } | undefined;

    function remainingMs(nowMs: number): number {
        return own === undefined ? 0 : Math.max(0, own.sentMs + leaseValidMs - nowMs);
    }

    return {
        recordClaim: (claim, nowMs) => {
            if (claim.offset < end) {
                return;
            }
            holder = claim.instance;
            end = claim.offset + 1;
            learnedMs = nowMs;
        },
        recordEnd: (newEnd, nowMs) => {
            if (newEnd > end) {
                holder = undefined;
                end = newEnd;
                learnedMs = nowMs;
            }
        },
        recordOwnClaim: (offset, sentMs) => {
            if (offset >= end) {
                holder = options.instance;
                end = offset + 1;
                learnedMs = sentMs;
                own = { offset, sentMs };
            }
        },
        end: () => end,
        holder: () => holder,
        isFree: nowMs => end === 0 || holder === options.instance || nowMs - learnedMs >= takeoverDelayMs,
        fence:
            nowMs => (own !== undefined && remainingMs(nowMs) > 0 && own.offset === end - 1 ? own.offset : undefined),
        remainingMs,
        relinquish: () => {
            own = undefined;
        },
    };
}
