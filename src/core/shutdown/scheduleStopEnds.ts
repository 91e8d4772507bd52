/**
 * @module
 * When a stop comes to its ends at the latest: answers, connections, log lines and the process, in this order and before the
 * platform kills the process.
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

/**
 * Schedules the ends of a stop.
 *
 * @param orderedMs - When the process was told to stop.
 * @param graceMs - Time from then until the platform kills it, in milliseconds.
 * @returns The ends.
 * @example
 * scheduleStopEnds(clock.now(), 8_000).answersDueMs - clock.now(); // 7500
 */
export function scheduleStopEnds(orderedMs: number, graceMs: number): StopEnds {
    const exitDueMs = orderedMs + graceMs - endShares.exit;
    const endDueMs = exitDueMs - endShares.lastLines;
    const closeDueMs = endDueMs - endShares.closing;
    return { answersDueMs: closeDueMs - endShares.answers, closeDueMs, endDueMs, exitDueMs };
}
