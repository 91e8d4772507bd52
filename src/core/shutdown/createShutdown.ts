/**
 * @module
 * Decides how an instance stops: which requests it still takes, which it refuses at once, and when its connections and then
 * the process end.
 *
 * A request that is taken has to be answered until the caller's deadline or the route's timeout. A leaving instance takes one
 * only if that comes before the process ends, however quickly earlier requests were answered; only at the beginning of its
 * stop, while callers don't know of it, it takes any. The others are refused as not run, so that their callers find another
 * instance while they have time. The same holds for requests that wait and for those that no upstream has run. A request that
 * may have run can't be refused as not run any more: it is sent again as long as the instance finishes requests.
 */
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ProxyRequest } from "../proxy/proxyTypes.js";
import { scheduleStopEnds, type StopEnds } from "./scheduleStopEnds.js";

/**
 * A phase of an instance's life.
 *
 * - `serving`: it was not told to stop.
 * - `leaving`: it takes what it can promise.
 * - `refusing`: it takes nothing more and finishes what it has taken.
 * - `closing`: it takes no connections, and closes those of callers once they are answered.
 * - `ended`: the process may end.
 */
export type ShutdownPhase = "serving" | "leaving" | "refusing" | "closing" | "ended";

/** What an instance still has to do. */
export interface ShutdownLoad {
    /** Requests that are received, in progress, or whose answers are not written out. */
    readonly requests: number;
    /** Open connections of callers. */
    readonly connections: number;
    /** Whether it does work for the fleet that another instance would have to begin anew. */
    readonly hasDuties: boolean;
}

/** How far the stop of an instance has come. */
export interface StopProgress {
    readonly phase: ShutdownPhase;
    /** Time since the order to stop, in milliseconds. */
    readonly sinceMs: number;
    /** Time until the process is killed, in milliseconds. */
    readonly leftMs: number;
}

/** The stop of an instance. Times are milliseconds on its clock. */
export interface Shutdown {
    /** Begins the stop. Calling it again has no effect: the grace period counts from the first order. */
    readonly begin: (nowMs: number) => void;
    readonly phase: () => ShutdownPhase;
    readonly isLeaving: () => boolean;
    /** Undefined while the instance was not told to stop. */
    readonly progress: (nowMs: number) => StopProgress | undefined;
    /**
     * Returns why a request may not be taken, wait or be sent now; undefined when it may. `mayHaveRun`: whether an upstream may
     * have run it, so that its caller can't be told "not run".
     */
    readonly findRefusal: (req: ProxyRequest, mayHaveRun: boolean, nowMs: number) => Refusal | undefined;
    /** Records that a request has ended: what it was promised holds up the stop no longer. */
    readonly release: (req: ProxyRequest) => void;
    /** Returns the refusal of requests that the instance has no time left for. */
    readonly createRefusal: (nowMs: number) => Refusal;
    /** When the stop comes to its ends at the latest. */
    readonly ends: (nowMs: number) => StopEnds;
    /**
     * Time for which the instance can still take up work for the fleet, in milliseconds; infinite while it was not told to stop, 0 once
     * it ends as soon as it has finished what it has taken.
     */
    readonly dutyTimeMs: (nowMs: number) => number;
    /**
     * Whether the instance need not listen any longer: no list that is valid names it, and another instance takes requests. A
     * caller whose connection is refused goes there at once, surely without having run.
     */
    readonly mayStopListening: (nowMs: number) => boolean;
    /** When the next phase begins at the latest, whatever is still to do; infinite when nothing is due. */
    readonly nextDueMs: (nowMs: number) => number;
    /** Moves to the next phase when it is due, and returns the phase. */
    readonly advance: (nowMs: number, load: ShutdownLoad) => ShutdownPhase;
}

/** Dependencies of {@link createShutdown}. */
export interface ShutdownOptions {
    /** Time from the order to stop until the process is killed, in milliseconds. */
    readonly graceMs: number;
    /** By how much the process does late what is due, in milliseconds; left out where it is never late. */
    readonly readLagMs?: (nowMs: number) => number;
    /** Whether callers may know the address of this instance. */
    readonly mayBeListed: () => boolean;
    /** Whether another instance takes requests, as far as known. */
    readonly hasServingPeer: () => boolean;
}

/**
 * Minimum time for which a leaving instance still accepts requests, in milliseconds: callers use a list of entries for
 * up to three times its time to live.
 */
const minLeavingMs = 3_600;

/**
 * Time after the order to stop in which requests are taken that may last longer than the grace period, in milliseconds: their
 * callers could not know of the stop.
 */
const maxUnawareMs = 2_600;

/** The same time as a share of the grace period, when that is short. */
const unawareShare = 1 / 3;

/** Minimum time in which requests are refused, in milliseconds: the network still holds some that were sent before. */
const minRefusingMs = 60;

/** Time in which callers close their side of a closed connection, in milliseconds. */
const closingMs = 150;

/** Retry-after time when another instance takes the request, in milliseconds. */
const otherInstanceMs = 100;

/** Time from the end of a process until its successor takes requests, in milliseconds. */
const restartMs = 1_500;

const followingPhase = { leaving: "refusing", refusing: "closing", closing: "ended" } as const;

/**
 * Creates the stop of an instance that was not told to stop.
 *
 * @param options - The grace period and what the decisions depend on.
 * @returns The stop.
 * @example
 * shutdown.begin(clock.now());
 * shutdown.findRefusal(req, false, clock.now())?.kind; // "stopping" when there is too little time for the request
 */
export function createShutdown(options: ShutdownOptions): Shutdown {
    const { graceMs, readLagMs = () => 0 } = options;
    const unawareMs = Math.min(maxUnawareMs, graceMs * unawareShare);
    let phase: ShutdownPhase = "serving";
    let phaseSinceMs = 0;
    let leavingSinceMs = 0;
    let minUntilMs = 0;
    let orderLagMs = 0;
    /** Requests in progress that were taken because their deadline comes before answers are due. */
    const promised = new Set<ProxyRequest>();

    const schedule = (lagMs: number) => scheduleStopEnds({ seenMs: leavingSinceMs, orderLagMs, graceMs, lagMs });
    const ends = (nowMs: number) => schedule(readLagMs(nowMs));
    const answersDueMs = (nowMs: number) => ends(nowMs).answersDueMs;

    function enter(next: ShutdownPhase, nowMs: number): void {
        phase = next;
        phaseSinceMs = nowMs;
    }

    function refuse(nowMs: number): Refusal {
        const retryAfterMs = options.hasServingPeer()
            ? otherInstanceMs
            : Math.max(0, answersDueMs(nowMs) - nowMs) + restartMs;
        return createRefusal("stopping", "there is too little time left for the request", { retryAfterMs });
    }

    /** A deadline that comes before answers are due is a promise, which holds until the request ends. */
    function mayTake(req: ProxyRequest, mayHaveRun: boolean, nowMs: number): boolean {
        if (phase !== "leaving") {
            return phase === "serving";
        }
        if (req.deadlineMs <= answersDueMs(nowMs)) {
            promised.add(req);
        }
        return mayHaveRun || promised.has(req) || nowMs - leavingSinceMs + orderLagMs <= unawareMs;
    }

    /** A process that becomes late while it leaves keeps what it promised before, as long as a prompt one would. */
    function answersEndMs(nowMs: number): number {
        const promisedUntilMs = Math.max(0, ...[...promised].map(req => req.deadlineMs));
        return Math.max(answersDueMs(nowMs), Math.min(promisedUntilMs, schedule(0).answersDueMs));
    }

    function nextDueMs(nowMs: number): number {
        switch (phase) {
            case "leaving":
                return answersEndMs(nowMs);
            case "refusing":
                return ends(nowMs).closeDueMs;
            case "closing":
                return ends(nowMs).endDueMs;
            default:
                return Infinity;
        }
    }

    function isDone(nowMs: number, load: ShutdownLoad): boolean {
        const elapsedMs = nowMs - phaseSinceMs;
        switch (phase) {
            case "leaving":
                return load.requests === 0 && !load.hasDuties && nowMs >= minUntilMs;
            case "refusing":
                return load.requests === 0 && elapsedMs >= minRefusingMs;
            case "closing":
                return load.connections === 0 || (load.requests === 0 && elapsedMs >= closingMs);
            default:
                return false;
        }
    }

    return {
        begin: nowMs => {
            if (phase === "serving") {
                leavingSinceMs = nowMs;
                orderLagMs = readLagMs(nowMs);
                minUntilMs = options.mayBeListed() ? nowMs + minLeavingMs : nowMs;
                enter("leaving", nowMs);
            }
        },
        phase: () => phase,
        isLeaving: () => phase !== "serving",
        progress: nowMs => {
            const sinceMs = Math.round(nowMs - leavingSinceMs);
            return phase === "serving" ? undefined : { phase, sinceMs, leftMs: graceMs - sinceMs };
        },
        findRefusal: (req, mayHaveRun, nowMs) => mayTake(req, mayHaveRun, nowMs) ? undefined : refuse(nowMs),
        release: req => {
            promised.delete(req);
        },
        createRefusal: refuse,
        ends,
        dutyTimeMs: nowMs => {
            if (phase === "serving") {
                return Infinity;
            }
            const endsWithRequests = phase !== "leaving" || nowMs >= minUntilMs;
            return endsWithRequests ? 0 : Math.max(0, answersDueMs(nowMs) - nowMs);
        },
        mayStopListening: nowMs => phase !== "serving" && nowMs >= minUntilMs && options.hasServingPeer(),
        nextDueMs,
        advance: (nowMs, load) => {
            if (phase !== "serving" && phase !== "ended" && (nowMs >= nextDueMs(nowMs) || isDone(nowMs, load))) {
                enter(followingPhase[phase], nowMs);
            }
            return phase;
        },
    };
}
