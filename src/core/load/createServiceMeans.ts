/**
 * @module
 * Averages over the upstreams of one service: what is expected of an upstream of which nothing newer is known.
 */

/** Averages of a service. */
export interface ServiceMeans {
    /** Mean time that a request stays at an upstream, in milliseconds. */
    readonly holdMs: () => number;
    readonly recordHold: (holdMs: number) => void;
    /** Mean memory of a request, in tokens; undefined before the first one. */
    readonly memoryTokens: () => number | undefined;
    readonly recordMemory: (tokens: number) => void;
    /** Requests of other instances at an upstream, and those of them that wait. */
    readonly others: () => number;
    readonly waiting: () => number;
    readonly recordOthers: (others: number, waiting: number, upstreams: number) => void;
    /** Records that an upstream where requests waited rejected a further one. */
    readonly recordRejection: (waiting: number) => void;
    /** Waiting requests with which upstreams reject further ones; undefined while none has. */
    readonly queueLimit: () => number | undefined;
    /** Returns a duration as a factor of the mean of the service, and takes it into the mean. */
    readonly rateDuration: (tookMs: number) => number;
}

/** Time that a request is assumed to stay before one has ended, in milliseconds. */
const assumedHoldMs = 200;

/** Weight of a new duration in its moving averages. */
const durationWeight = 0.05;

/** Weight of a new request in the moving average of the memory. */
const memoryWeight = 0.05;

/** Weight of a new rejection in the moving average. */
const rejectionWeight = 0.1;

/** Fewest statements that the averages of the load extend over: with few upstreams the number varies much. */
const minStatements = 8;

/** Moves an average towards a new observation; the first one is the average. */
function moveAverage(average: number | undefined, observed: number, weight: number): number {
    return average === undefined ? observed : average + weight * (observed - average);
}

/**
 * Creates averages without observations.
 *
 * @returns The averages.
 * @example
 * createServiceMeans().others(); // 0
 */
export function createServiceMeans(): ServiceMeans {
    let holdMs: number | undefined;
    let tookMs: number | undefined;
    let memoryTokens: number | undefined;
    let others = 0;
    let waiting = 0;
    let statements = 0;
    let queueLimit: number | undefined;
    return {
        holdMs: () => holdMs ?? assumedHoldMs,
        recordHold: heldMs => {
            holdMs = moveAverage(holdMs, heldMs, durationWeight);
        },
        memoryTokens: () => memoryTokens,
        recordMemory: tokens => {
            memoryTokens = moveAverage(memoryTokens, tokens, memoryWeight);
        },
        others: () => others,
        waiting: () => waiting,
        recordOthers: (statedOthers, statedWaiting, upstreams) => {
            statements += 1;
            const weight = 1 / Math.min(statements, Math.max(minStatements, upstreams));
            others += weight * (statedOthers - others);
            waiting += weight * (statedWaiting - waiting);
        },
        recordRejection: rejectedWaiting => {
            queueLimit = moveAverage(queueLimit, rejectedWaiting, rejectionWeight);
        },
        queueLimit: () => queueLimit,
        rateDuration: durationMs => {
            tookMs = moveAverage(tookMs, durationMs, durationWeight);
            return durationMs / Math.max(1, tookMs);
        },
    };
}
