/**
 * @module
 * Checks a history of stops against what callers are promised.
 */
import type { InstanceBounds } from "../../support/platformSettings.js";
import { describeLoss } from "./describeLoss.js";
import { findLosses, type Loss, type LossExcuse } from "./findLosses.js";
import { findOldVersions } from "./findOldVersions.js";
import { type AttemptRecord, promiseStatuses, type RunRecord, type StopHistory } from "./stopTypes.js";

/** What was found. */
export interface StopFindings {
    readonly violations: readonly string[];
    readonly counts: Readonly<Record<string, number>>;
    /** Attempts by how they ended; the numbers add up to all attempts. */
    readonly ends: Readonly<Record<string, number>>;
}

/** Time within which a started instance is ready, in milliseconds. */
const maxStartMs = 10_000;

/** Time beyond the work itself after which a request counts as late, in milliseconds. */
const lateMs = 500;

/** Time for which two runs of a stream may overlap, in milliseconds. */
const overlapMs = 400;

/** How an attempt ended, as its caller saw it; the others are the excuses of a loss. */
type AttemptEnd = "answered" | "promised" | "failed" | "truncated" | "unsent" | "doorRefused" | "unread" | "lost";

function findTruncated(history: StopHistory): readonly string[] {
    return history.requests.flatMap(request => request.attempts)
        .filter(attempt => attempt.isTruncated)
        .map(attempt => `ORDER ${attempt.id} at ${attempt.address} ended as complete before its last event`);
}

/** Describes a run that an upstream still had some time after the next one had arrived; undefined if there is none. */
function describeOverlap(runs: readonly RunRecord[]): string | undefined {
    const index = runs.findIndex((run, at) => at > 0 && (runs[at - 1]!.endMs ?? Infinity) > run.arrivedMs + overlapMs);
    if (index < 0) {
        return undefined;
    }
    const [before, after] = [runs[index - 1]!, runs[index]!];
    const overlap = (before.endMs ?? Infinity) - after.arrivedMs;
    return `${after.upstream} ${Math.round(overlap)} ms before ${before.upstream} had ended, ${
        Math.round(after.arrivedMs - before.arrivedMs)
    } ms after it arrived`;
}

/** An upstream may work on what has arrived before its run begins, so whatever was not rejected counts as run. */
function findRunTwice(history: StopHistory, runs: ReadonlyMap<string, readonly RunRecord[]>): readonly string[] {
    return history.requests.flatMap(request => request.attempts).flatMap(attempt => {
        const arrived = runs.get(attempt.id) ?? [];
        const count = arrived.length;
        const isPromise = attempt.isComplete && promiseStatuses.includes(attempt.status);
        const found: string[] = [];
        const mayRunAgain = attempt.kind === "idempotent" || attempt.canResume;
        const overlap = attempt.canResume ? describeOverlap(arrived) : undefined;
        if (overlap !== undefined) {
            found.push(`TWICE ${attempt.id} went on at ${overlap}`);
        }
        if (!mayRunAgain && count > 1) {
            found.push(`TWICE ${attempt.id} ran ${count} times`);
        }
        if (!mayRunAgain && isPromise && count > 0) {
            found.push(`REFUSED ${attempt.id} was answered ${attempt.status} and ran`);
        }
        return found;
    });
}

function findFaults(history: StopHistory): readonly string[] {
    const atMs = Math.max(0, ...history.lives.map(life => life.endedMs ?? life.startedMs));
    const ends = history.lives.flatMap(life => {
        const lasted = (life.endedMs ?? atMs) - life.startedMs;
        const wasStopped = life.termMs !== undefined;
        if (life.end !== undefined && !wasStopped) {
            return [`FAULT ${life.address} ended by itself after ${Math.round(lasted)} ms: ${life.end}`];
        }
        if (wasStopped && life.end !== "code 0" && life.readyMs !== undefined) {
            const pause = life.longestPauseMs > 0
                ? `, kept from running for up to ${Math.round(life.longestPauseMs)} ms`
                : "";
            const afterMs = Math.round((life.endedMs ?? atMs) - (life.termMs ?? life.startedMs));
            return [`FAULT ${life.address} did not stop in time: ${life.end} after ${afterMs} ms${pause}`];
        }
        return [];
    });
    const starts = history.lives
        .filter(life =>
            life.readyMs === undefined && (life.termMs ?? life.endedMs ?? atMs) - life.startedMs > maxStartMs
        )
        .map(life => `FAULT ${life.address} was not ready within ${maxStartMs} ms`);
    const refused = history.refusedWhileReady.map(address => `FAULT ${address} refused a connection while ready`);
    return [...ends, ...starts, ...refused];
}

function findMemory(history: StopHistory, memoryKb: number): readonly string[] {
    return history.lives
        .filter(life => (life.peakMemoryKb ?? 0) > memoryKb)
        .map(life => `MEMORY ${life.address} held ${life.peakMemoryKb} kB, ${memoryKb} kB are allowed`);
}

/** The most that any process used, and what its limits did to it. */
function countUse(history: StopHistory): Readonly<Record<string, number>> {
    return {
        peakMemoryKb: Math.max(0, ...history.lives.map(life => life.peakMemoryKb ?? 0)),
        maxPauseMs: Math.round(Math.max(0, ...history.lives.map(life => life.longestPauseMs))),
        troubles: history.troubles.length,
    };
}

function countOutcomes(history: StopHistory): Readonly<Record<string, number>> {
    const counts = { requests: 0, inTime: 0, late: 0, refused: 0, failed: 0, unsent: 0, refusedAttempts: 0, cut: 0 };
    for (const request of history.requests) {
        const last = request.attempts.at(-1);
        counts.requests += 1;
        const isLate = request.endMs - request.beganMs > request.workMs + lateMs;
        if (last === undefined) {
            counts.unsent += 1;
        }
        else if (last.isComplete && last.status === 200) {
            counts[isLate ? "late" : "inTime"] += 1;
        }
        else {
            counts[last.isComplete && promiseStatuses.includes(last.status) ? "refused" : "failed"] += 1;
        }
        for (const attempt of request.attempts) {
            counts.refusedAttempts += attempt.isComplete && promiseStatuses.includes(attempt.status) ? 1 : 0;
            counts.cut += attempt.isComplete || attempt.error === "ECONNREFUSED" ? 0 : 1;
        }
    }
    return { ...counts, lives: history.lives.length };
}

/** Failures of instances by their status: 502 says that it is not known whether the request has run. */
function countFailures(history: StopHistory): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const attempt of history.requests.flatMap(request => request.attempts)) {
        if (attempt.isComplete && attempt.status >= 400) {
            const name = `status${attempt.status}`;
            counts[name] = (counts[name] ?? 0) + 1;
        }
    }
    return counts;
}

function findEnd(attempt: AttemptRecord, loss: Loss | undefined): AttemptEnd | `excused:${LossExcuse}` {
    if (attempt.isComplete) {
        const isAnswered = attempt.status < 400;
        return isAnswered ? "answered" : promiseStatuses.includes(attempt.status) ? "promised" : "failed";
    }
    if (attempt.isTruncated) {
        return "truncated";
    }
    if (loss !== undefined) {
        return loss.excuse === undefined ? "lost" : `excused:${loss.excuse}`;
    }
    if (attempt.error === "ECONNREFUSED") {
        return "doorRefused";
    }
    return attempt.sentMs === undefined ? "unsent" : "unread";
}

/** Ends of all attempts by their form; each attempt is counted once. */
function countEnds(history: StopHistory, losses: readonly Loss[]): Readonly<Record<string, number>> {
    const lossOf = new Map(losses.map(loss => [loss.attempt, loss]));
    const counts: Record<string, number> = {};
    for (const attempt of history.requests.flatMap(request => request.attempts)) {
        const end = findEnd(attempt, lossOf.get(attempt));
        counts[end] = (counts[end] ?? 0) + 1;
    }
    return counts;
}

function countLosses(losses: readonly Loss[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = { lostLate: 0, lostEarly: 0, lostElsewhere: 0 };
    const momentNames = { late: "lostLate", early: "lostEarly", elsewhere: "lostElsewhere" } as const;
    for (const { moment } of losses.filter(loss => loss.excuse === undefined)) {
        counts[momentNames[moment]] = (counts[momentNames[moment]] ?? 0) + 1;
    }
    return counts;
}

/**
 * Checks a history.
 *
 * @param history - What was recorded.
 * @param bounds - The bounds of the instances.
 * @param memoryKb - Memory that a process may hold, in kilobytes.
 * @returns The violations, and how the requests ended.
 */
export function checkStops(history: StopHistory, bounds: InstanceBounds, memoryKb = Infinity): StopFindings {
    const runs = new Map<string, RunRecord[]>();
    for (const run of history.runs.toSorted((one, other) => one.arrivedMs - other.arrivedMs)) {
        runs.set(run.attempt, [...(runs.get(run.attempt) ?? []), run]);
    }
    const losses = findLosses(history, runs);
    const violations = [
        ...losses.filter(loss => loss.excuse === undefined).map(loss => describeLoss(loss, history)),
        ...findTruncated(history),
        ...findRunTwice(history, runs),
        ...findFaults(history),
        ...findMemory(history, memoryKb),
        ...findOldVersions(history, bounds),
    ];
    return {
        violations,
        counts: { ...countOutcomes(history), ...countFailures(history), ...countLosses(losses), ...countUse(history) },
        ends: countEnds(history, losses),
    };
}
