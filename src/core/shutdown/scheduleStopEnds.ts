/**
 * @module
 * When a stop comes to its ends at the latest: answers, connections, log lines and the process, in this order and before the
 * platform kills the process. A process that does what is due late begins earlier, so that each end has its share of time.
 */

/** The ends of a stop, in their order. Times are milliseconds on the instance's clock. */
export interface StopEnds {
    /** When every request has its final answer. */
    readonly answersDueMs: number;
    /** When callers' connections are closed. */
    readonly closeDueMs: number;
    /** When what is left of callers' connections is given up. */
    readonly endDueMs: number;
    /** When the process exits, whatever is left of its log. */
    readonly exitDueMs: number;
}

/** Time from one end of a stop to the next, in milliseconds. */
interface EndShares {
    /** Time in which answers reach their callers. */
    readonly answers: number;
    /** Time in which callers close their side. */
    readonly closing: number;
    /** Time in which the last log lines are written. */
    readonly lastLines: number;
    /** Time in which the process exits. */
    readonly exit: number;
}

const endShares: EndShares = { answers: 250, closing: 150, lastLines: 50, exit: 50 };

/** Share of the grace period at its end in which answers may be due, however late the process is. */
const maxEndsShare = 1 / 6;

/** What a schedule depends on. Times are milliseconds. */
export interface StopTiming {
    /** When the process saw the order to stop. */
    readonly seenMs: number;
    /** By how much it may have seen the order late. */
    readonly orderLagMs: number;
    /** Time from the order until the platform kills the process. */
    readonly graceMs: number;
    /** By how much the process does late what is due. */
    readonly lagMs: number;
}

/**
 * Schedules the ends of a stop.
 *
 * @param timing - The order, the grace period, and how late the process is.
 * @returns The ends.
 * @example
 * scheduleStopEnds({ seenMs: 0, orderLagMs: 0, graceMs: 8_000, lagMs: 0 }).answersDueMs; // 7500
 */
export function scheduleStopEnds({ seenMs, orderLagMs, graceMs, lagMs }: StopTiming): StopEnds {
    const shares = Object.values(endShares) as readonly number[];
    const promptMs = shares.reduce((sum, share) => sum + share, 0);
    const lateMs = promptMs + shares.length * lagMs;
    const maxMs = Math.max(promptMs, graceMs * maxEndsShare);
    const earlierMs = Math.min(orderLagMs, maxMs - promptMs);
    const scale = Math.min(1, (maxMs - earlierMs) / lateMs);
    const lengthOf = (share: number) => (share + lagMs) * scale;
    const exitDueMs = seenMs - earlierMs + graceMs - lengthOf(endShares.exit);
    const endDueMs = exitDueMs - lengthOf(endShares.lastLines);
    const closeDueMs = endDueMs - lengthOf(endShares.closing);
    return { answersDueMs: closeDueMs - lengthOf(endShares.answers), closeDueMs, endDueMs, exitDueMs };
}
