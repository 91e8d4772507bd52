/**
 * @module
 * Finds requests that an instance has read and whose connection ended without a complete answer, although nothing in the
 * record of that attempt excuses it.
 */
import { graceSeconds } from "../../support/platformSettings.js";
import type { AttemptRecord, LifeRecord, RunRecord, StopHistory } from "./stopTypes.js";

/**
 * Why an attempt may end without a complete answer.
 *
 * - `deadline`, `timeout`: it lasted until its caller's deadline or its route's timeout.
 * - `brokenRun`: its upstream broke off the run.
 * - `endless`: its upstream's answer never ends, and its caller has got the head. Before the head, a refusal is due.
 * - `lateInGrace`: it was sent early in the stop of its instance and cut at the end of the grace period, while its upstream
 *   was still at work.
 * - `seenLate`: it never ran, and its connection may have ended before it counts as read: its caller's process was held up. A
 *   run with such attempts does not show that nothing was lost.
 */
export type LossExcuse = "deadline" | "timeout" | "brokenRun" | "endless" | "lateInGrace" | "seenLate";

/** Where in the stops of the run an unexcused loss lies. */
export type LossMoment = "late" | "early" | "elsewhere";

/** An attempt that was read and ended without a complete answer. */
export interface Loss {
    readonly attempt: AttemptRecord;
    readonly runs: readonly RunRecord[];
    /** The life that took it and was told to stop around its end. */
    readonly life: LifeRecord | undefined;
    /** Undefined if the loss breaks the promise. */
    readonly excuse: LossExcuse | undefined;
    /**
     * `late`: it was sent later than requests may be that are cut late in the grace period; `early`: it was sent before that;
     * `elsewhere`: its instance was not told to stop.
     */
    readonly moment: LossMoment;
}

const millisecondsPerSecond = 1_000;
const graceMs = graceSeconds * millisecondsPerSecond;

/** Time after the grace period in which an end still belongs to the stop, in milliseconds. */
const afterGraceMs = 1_000;

/** Time after its last byte from which on a request counts as read, in milliseconds. */
const lossSlackMs = 200;

/** Time after the order to stop until which an excused request was sent, in milliseconds. */
const excusedSendMs = 3_000;

/** Start of the part of the grace period in which such a request may be cut. */
const excusedEndMs = graceMs * 5 / 6;

/** Time in which an instance learns of a signal, on this machine, in milliseconds. */
const signalSlackMs = 50;

/** Time in which an upstream learns that its connection was closed, on this machine, in milliseconds. */
const closeSlackMs = 50;

/** Inaccuracy of a timer, in milliseconds. */
const timerSlackMs = 2;

function findStoppedLife(attempt: AttemptRecord, lives: readonly LifeRecord[]): LifeRecord | undefined {
    return lives.find(life =>
        life.address === attempt.address && life.termMs !== undefined
        && attempt.endMs > life.termMs - signalSlackMs
        && attempt.endMs < life.termMs + graceMs + afterGraceMs
    );
}

function wasRead(attempt: AttemptRecord, runs: readonly RunRecord[]): boolean {
    return !attempt.isComplete && !attempt.isTruncated
        && attempt.sentMs !== undefined && attempt.error !== "ECONNREFUSED"
        && (runs.length > 0 || attempt.endMs - attempt.sentMs > lossSlackMs);
}

/** Whether an upstream was at work on the attempt until it was cut, which its caller may have seen late, and at a time. */
function wasAtWork(attempt: AttemptRecord, runs: readonly RunRecord[], atMs: number): boolean {
    const earliestCutMs = Math.min(attempt.endMs, attempt.earliestEndMs) - closeSlackMs;
    return runs.some(run =>
        run.arrivedMs < attempt.endMs && !run.isComplete && (run.endMs ?? Infinity) > Math.max(earliestCutMs, atMs)
    );
}

function findExcuse(
    attempt: AttemptRecord,
    runs: readonly RunRecord[],
    termMs: number | undefined,
): LossExcuse | undefined {
    if (runs.length === 0 && attempt.earliestEndMs - (attempt.sentMs ?? 0) <= lossSlackMs) {
        return "seenLate";
    }
    if (attempt.endMs >= attempt.deadlineMs - timerSlackMs) {
        return "deadline";
    }
    if (attempt.endMs >= attempt.timeoutMs - timerSlackMs) {
        return "timeout";
    }
    if (runs.at(-1)?.isBrokenOff === true) {
        return "brokenRun";
    }
    if (runs.at(-1)?.isEndless === true && attempt.status !== 0) {
        return "endless";
    }
    const isLateInGrace = termMs !== undefined && attempt.sentMs !== undefined
        && attempt.sentMs <= termMs + excusedSendMs && attempt.endMs >= termMs + excusedEndMs
        && wasAtWork(attempt, runs, termMs + excusedEndMs);
    return isLateInGrace ? "lateInGrace" : undefined;
}

function findMoment(attempt: AttemptRecord, termMs: number | undefined): LossMoment {
    if (termMs === undefined) {
        return "elsewhere";
    }
    return (attempt.sentMs ?? 0) > termMs + excusedSendMs ? "late" : "early";
}

/**
 * Finds the losses of a history.
 *
 * @param history - What was recorded.
 * @param runs - The runs of each attempt, in the order in which they arrived.
 * @returns The losses, excused ones too.
 */
export function findLosses(
    history: StopHistory,
    runs: ReadonlyMap<string, readonly RunRecord[]>,
): readonly Loss[] {
    return history.requests.flatMap(request => request.attempts).flatMap(attempt => {
        const own = runs.get(attempt.id) ?? [];
        if (!wasRead(attempt, own)) {
            return [];
        }
        const life = findStoppedLife(attempt, history.lives);
        const excuse = findExcuse(attempt, own, life?.termMs);
        return [{ attempt, runs: own, life, excuse, moment: findMoment(attempt, life?.termMs) }];
    });
}
