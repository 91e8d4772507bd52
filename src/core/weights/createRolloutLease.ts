/**
 * @module
 * The lease under which one instance at a time sends orders to engines. It is a record that a conditional append put at
 * the end of a topic; era and offset of the record make the fencing number. Clocks of different instances are not
 * compared: others measure from when they learned of a record, which is later than when its holder sent it.
 *
 * When the store comes back from an older copy, the newest claims may be gone while their holder still sends orders. The
 * lease is then free only after the time in which such orders can still have an effect.
 */
import { toFencingNumber } from "./toFencingNumber.js";

/** A claim of the lease. */
export interface LeaseClaim {
    readonly instance: string;
    /** Era in which the claim was made. */
    readonly era: number;
    /** Offset of its record in the topic. */
    readonly offset: number;
}

/**
 * What an instance knows of the topic while no claim can be missing from it: an instance that has just started can rely on it,
 * which would otherwise wait as long as after a return of the store.
 */
export interface LeaseKnowledge {
    readonly era: number;
    /** Offset at which the topic ended. */
    readonly end: number;
    /** Milliseconds for which the last claim before it has been known. */
    readonly ageMs: number;
}

/** A claim under which its holder sends no more orders. */
export interface LeaseRelease {
    readonly era: number;
    readonly offset: number;
    /** Milliseconds since its holder stopped to send orders. */
    readonly ageMs: number;
}

/** The lease as known to this instance. Times are milliseconds on its clock. */
export interface RolloutLease {
    /** Records a record of the topic, read in the current era. */
    readonly recordClaim: (claim: LeaseClaim, nowMs: number) => void;
    /** Records a claim that its holder reports to its peers. */
    readonly recordReportedClaim: (claim: LeaseClaim, nowMs: number) => void;
    /** Returns what peers may rely on; undefined while claims may be missing. */
    readonly describeKnowledge: (nowMs: number) => LeaseKnowledge | undefined;
    /** Records what a peer knows. */
    readonly recordKnowledge: (knowledge: LeaseKnowledge, nowMs: number) => void;
    /** Records that the topic has no records before an offset. */
    readonly recordFirst: (first: number, nowMs: number) => void;
    /** Records that the topic ends at an offset, without knowing the record before it. */
    readonly recordEnd: (end: number, nowMs: number) => void;
    /** Records a successful append of this instance that was sent at `sentMs`. */
    readonly recordOwnClaim: (claim: Omit<LeaseClaim, "instance">, sentMs: number) => void;
    /** Records the era of the store; in a new one, nothing is known of the topic. */
    readonly recordEra: (era: number, nowMs: number) => void;
    /** Forgets the topic, which has lost records that this instance knows. */
    readonly reset: (nowMs: number) => void;
    /** Newest era that is known; 0 before the first. */
    readonly era: () => number;
    /** Offset at which the topic ends, as far as known. */
    readonly end: () => number;
    /** The last holder; undefined when it is not known. */
    readonly holder: () => string | undefined;
    /** Whether the topic may have lost claims whose holder still sends orders. */
    readonly mayHaveLostClaims: (nowMs: number) => boolean;
    /** Whether the last holder's orders can no longer have an effect. */
    readonly isFree: (nowMs: number) => boolean;
    /** Whether the last claim that is known allows no more orders: its holder has ended, or has claimed again unheard. */
    readonly hasLapsed: (nowMs: number) => boolean;
    /** Milliseconds until the lease is free, as far as known; 0 when it is. */
    readonly freeInMs: (nowMs: number) => number;
    /** The claim under which this instance may send orders; undefined when it does not hold the lease. */
    readonly heldClaim: (nowMs: number) => LeaseClaim | undefined;
    /** Fencing number while orders may be sent; undefined when the lease is not held. */
    readonly fence: (nowMs: number) => number | undefined;
    /** Time from a claim until another instance may claim, in milliseconds. */
    readonly takeoverDelayMs: number;
    /** Milliseconds for which this instance still holds the lease. */
    readonly remainingMs: (nowMs: number) => number;
    /** Ends the orders of this instance for good; does nothing where it is not the last holder. */
    readonly release: (nowMs: number) => void;
    /** The claim that was released; undefined before. */
    readonly describeRelease: (nowMs: number) => LeaseRelease | undefined;
    /** Records a release that a holder reports: its claim's validity need not be waited out. */
    readonly recordRelease: (release: LeaseRelease, nowMs: number) => void;
    /** Stops orders under the current fencing number, as after a pause or when an engine refused it. */
    readonly relinquish: () => void;
}

/** Options of {@link createRolloutLease}. */
export interface RolloutLeaseOptions {
    readonly instance: string;
    /** Milliseconds that must lie between the orders of two holders. */
    readonly separationMs: number;
}

/** Era of a claim that states none. */
export const unknownEra = 0;

/** Time for which a record allows orders, in milliseconds, counted from before it was sent. */
export const leaseValidMs = 1_000;

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
    let era: number | undefined;
    let holder: string | undefined;
    let end = 0;
    let learnedMs = -Infinity;
    let own: { readonly claim: LeaseClaim; readonly sentMs: number; } | undefined;
    let released: { readonly claim: LeaseClaim; readonly sinceMs: number; } | undefined;
    /** Since when claims may be missing from the topic; undefined once a claim shows that none is. */
    let uncertainSinceMs: number | undefined;
    /** Whether claims may be missing only because this instance has not known the era for long. */
    let isNewcomer = false;

    const currentEra = () => era ?? unknownEra;

    function reset(nowMs: number): void {
        holder = undefined;
        end = 0;
        own = undefined;
        learnedMs = nowMs;
        uncertainSinceMs = nowMs;
        isNewcomer = false;
    }

    function recordEra(newEra: number, nowMs: number): void {
        if (era === undefined || newEra > era) {
            const isFirst = era === undefined;
            era = newEra;
            reset(nowMs);
            isNewcomer = isFirst;
        }
    }

    function recordClaim(claim: LeaseClaim, nowMs: number): void {
        if (claim.offset < end) {
            return;
        }
        holder = claim.instance;
        end = claim.offset + 1;
        // A claim of an earlier era was made before the return, from which the takeover delay counts.
        if (claim.era === currentEra() || claim.era === unknownEra) {
            learnedMs = nowMs;
        }
        if (claim.era === currentEra() && claim.era !== unknownEra) {
            uncertainSinceMs = undefined;
        }
    }

    function recordEnd(newEnd: number, nowMs: number): void {
        if (newEnd > end) {
            holder = undefined;
            end = newEnd;
            learnedMs = nowMs;
        }
    }

    function remainingMs(nowMs: number): number {
        return own === undefined ? 0 : Math.max(0, own.sentMs + leaseValidMs - nowMs);
    }

    function heldClaim(nowMs: number): LeaseClaim | undefined {
        if (own === undefined || remainingMs(nowMs) === 0) {
            return undefined;
        }
        return own.claim.offset === end - 1 ? own.claim : undefined;
    }

    function mayHaveLostClaims(nowMs: number): boolean {
        return uncertainSinceMs !== undefined && nowMs - uncertainSinceMs < takeoverDelayMs;
    }

    function freeInMs(nowMs: number): number {
        const uncertainMs = mayHaveLostClaims(nowMs) ? uncertainSinceMs! + takeoverDelayMs - nowMs : 0;
        const isOthers = end > 0 && holder !== options.instance;
        return Math.max(0, uncertainMs, isOthers ? learnedMs + takeoverDelayMs - nowMs : 0);
    }

    return {
        recordClaim,
        recordReportedClaim: (claim, nowMs) => {
            if (claim.era > currentEra()) {
                recordEra(claim.era, nowMs);
            }
            if (claim.era === currentEra() || claim.era === unknownEra) {
                recordClaim(claim, nowMs);
            }
        },
        describeKnowledge: nowMs =>
            mayHaveLostClaims(nowMs) ? undefined : {
                era: currentEra(),
                end,
                ageMs: Math.min(takeoverDelayMs, nowMs - learnedMs),
            },
        recordKnowledge: (knowledge, nowMs) => {
            if (knowledge.era !== currentEra() || (uncertainSinceMs !== undefined && !isNewcomer)) {
                return;
            }
            uncertainSinceMs = undefined;
            if (knowledge.end === end) {
                learnedMs = Math.min(learnedMs, nowMs - knowledge.ageMs);
            }
        },
        recordFirst: (first, nowMs) => {
            if (mayHaveLostClaims(nowMs)) {
                // Records that are deleted already are older than the return, from which the takeover delay counts.
                end = Math.max(end, first);
                return;
            }
            recordEnd(first, nowMs);
        },
        recordEnd,
        recordOwnClaim: (claim, sentMs) => {
            if (claim.era !== currentEra() || claim.offset < end) {
                return;
            }
            holder = options.instance;
            end = claim.offset + 1;
            learnedMs = sentMs;
            own = { claim: { ...claim, instance: options.instance }, sentMs };
            uncertainSinceMs = undefined;
        },
        recordEra,
        reset,
        era: currentEra,
        end: () => end,
        holder: () => holder,
        mayHaveLostClaims,
        isFree: nowMs => freeInMs(nowMs) === 0,
        hasLapsed: nowMs => nowMs - learnedMs >= leaseValidMs,
        freeInMs,
        heldClaim,
        fence: nowMs => {
            const claim = heldClaim(nowMs);
            return claim === undefined ? undefined : toFencingNumber(claim.era, claim.offset);
        },
        takeoverDelayMs,
        remainingMs,
        release: nowMs => {
            if (own !== undefined && own.claim.offset === end - 1) {
                released = { claim: own.claim, sinceMs: nowMs };
            }
            own = undefined;
        },
        describeRelease: nowMs =>
            released && {
                era: released.claim.era,
                offset: released.claim.offset,
                ageMs: nowMs - released.sinceMs,
            },
        recordRelease: ({ era: releasedEra, offset, ageMs }, nowMs) => {
            if (releasedEra === currentEra() && offset === end - 1) {
                learnedMs = Math.min(learnedMs, nowMs - ageMs - leaseValidMs);
            }
        },
        relinquish: () => {
            own = undefined;
        },
    };
}
