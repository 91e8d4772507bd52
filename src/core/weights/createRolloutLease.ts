/**
 * @module
 * The lease under which one instance at a time orders engines. It is a record that a conditional append put at the end of
 * a topic; the record's offset is the fencing number. No clocks are compared: others count from when they learned of a
 * record, which is later than when its holder sent it.
 */

/** A record of the lease's topic. */
export interface LeaseClaim {
    readonly instance: string;
    readonly offset: number;
}

/** The lease as this instance knows it. Times are milliseconds on the instance's clock. */
export interface RolloutLease {
    /** Notes the newest record of the topic. */
    readonly recordClaim: (claim: LeaseClaim, nowMs: number) => void;
    /** Notes that the topic ends at an offset whose last record is not known. */
    readonly recordEnd: (end: number, nowMs: number) => void;
    /** Notes an own append that was sent at `sentMs` and is recorded. */
    readonly recordOwnClaim: (offset: number, sentMs: number) => void;
    /** Offset at which the topic ends, as far as known. */
    readonly end: () => number;
    readonly holder: () => string | undefined;
    /** Whether the last holder's orders can have no effect any more. */
    readonly isFree: (nowMs: number) => boolean;
    /** Fencing number while orders may be sent; undefined when the lease is not held. */
    readonly fence: (nowMs: number) => number | undefined;
    /** Milliseconds for which the lease is held. */
    readonly remainingMs: (nowMs: number) => number;
    /** Gives up orders under the current number, as after a pause or a refusal by an engine. */
    readonly relinquish: () => void;
}

/** Options of {@link createRolloutLease}. */
export interface RolloutLeaseOptions {
    readonly instance: string;
    /** Milliseconds that must lie between the orders of two holders. */
    readonly separationMs: number;
}

/** Time for which a record allows orders, in milliseconds, from before it was sent. */
export const leaseValidMs = 1_500;

/** Time in which an order that was sent may still arrive, in milliseconds: its connection is closed then. */
export const orderArrivalMs = 500;

/**
 * Creates a lease of which nothing is known.
 *
 * @param options - Name of the instance, and the time between holders.
 * @returns The lease.
 * @example
 * createRolloutLease({ instance: "entry-1", separationMs: 3_000 }).isFree(clock.now()); // true
 */
export function createRolloutLease(options: RolloutLeaseOptions): RolloutLease {
    const waitMs = leaseValidMs + orderArrivalMs + options.separationMs;
    let holder: string | undefined;
    let end = 0;
    let heardMs = -Infinity;
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
            heardMs = nowMs;
        },
        recordEnd: (newEnd, nowMs) => {
            if (newEnd > end) {
                holder = undefined;
                end = newEnd;
                heardMs = nowMs;
            }
        },
        recordOwnClaim: (offset, sentMs) => {
            if (offset >= end) {
                holder = options.instance;
                end = offset + 1;
                heardMs = sentMs;
                own = { offset, sentMs };
            }
        },
        end: () => end,
        holder: () => holder,
        isFree: nowMs => end === 0 || holder === options.instance || nowMs - heardMs >= waitMs,
        fence:
            nowMs => (own !== undefined && remainingMs(nowMs) > 0 && own.offset === end - 1 ? own.offset : undefined),
        remainingMs,
        relinquish: () => {
            own = undefined;
        },
    };
}
