/**
 * @module
 * Checks a history of stops against what callers are promised.
 */
import type { InstanceBounds } from "../../support/platformSettings.js";
import { describeLoss } from "./describeLoss.js";
import { findLosses, type Loss } from "./findLosses.js";
import { type LifeRecord, promiseStatuses, type RunRecord, type StopHistory } from "./stopTypes.js";

/** What was found. */
export interface StopFindings {
    readonly violations: readonly string[];
    readonly counts: Readonly<Record<string, number>>;
}

/** Time within which a started instance is ready, in milliseconds. */
const maxStartMs = 10_000;

/** Time beyond the work itself after which a request counts as late, in milliseconds. */
const lateMs = 500;

function findTruncated(history: StopHistory): readonly string[] {
    return history.requests.flatMap(request => request.attempts)
        .filter(attempt => attempt.isTruncated)
        .map(attempt => `ORDER ${attempt.id} at ${attempt.address} ended as complete before its last event`);
}

function findRunTwice(history: StopHistory, runs: ReadonlyMap<string, readonly RunRecord[]>): readonly string[] {
    return history.requests.flatMap(request => request.attempts).flatMap(attempt => {
        const count = runs.get(attempt.id)?.length ?? 0;
        const isPromise = attempt.isComplete && promiseStatuses.includes(attempt.status);
        const found: string[] = [];
        if (attempt.kind !== "idempotent" && count > 1) {
            found.push(`TWICE ${attempt.id} ran ${count} times`);
        }
        if (attempt.kind !== "idempotent" && isPromise && count > 0) {
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
            return [`FAULT ${life.address} did not stop in time: ${life.end}`];
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

/** Whether an instance has run undisturbed for the stable window. */
function isInTouch(
    address: string,
    atMs: number,
    lives: readonly LifeRecord[],
    { stableWindowMs }: InstanceBounds,
): boolean {
    const own = lives.filter(life => life.address === address && life.startedMs < atMs);
    return own.every(life =>
        life.startedMs < atMs - stableWindowMs && (life.termMs ?? Infinity) > atMs
        || (life.endedMs ?? Infinity) < atMs - stableWindowMs
    );
}

function findOldVersions(history: StopHistory, bounds: InstanceBounds): readonly string[] {
    const addresses = new Map(
        history.requests.flatMap(request => request.attempts).map(attempt => [attempt.id, attempt.address]),
    );
    return history.runs.filter(run => run.version > 0).flatMap(run => {
        const due = history.versions.filter(one => run.beganMs > one.namedMs + bounds.versionLimitMs).at(-1);
        const address = addresses.get(run.attempt) ?? "";
        return due !== undefined && run.version < due.version && isInTouch(address, run.beganMs, history.lives, bounds)
            ? [`VERSION ${run.attempt} began on ${run.version}, ${due.version} was named ${
                Math.round(run.beganMs - due.namedMs)
            } ms before`]
            : [];
    });
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

function countLosses(losses: readonly Loss[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = { lostLate: 0, lostEarly: 0, lostElsewhere: 0 };
    const momentNames = { late: "lostLate", early: "lostEarly", elsewhere: "lostElsewhere" } as const;
    for (const { excuse, moment } of losses) {
        const name = excuse === undefined ? momentNames[moment] : `excused:${excuse}`;
        counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
}

/**
 * Checks a history.
 *
 * @param history - What was recorded.
 * @param bounds - The bounds of the instances.
 * @returns The violations, and how the requests ended.
 */
export function checkStops(history: StopHistory, bounds: InstanceBounds): StopFindings {
    const runs = new Map<string, RunRecord[]>();
    for (const run of history.runs.toSorted((one, other) => one.beganMs - other.beganMs)) {
        runs.set(run.attempt, [...(runs.get(run.attempt) ?? []), run]);
    }
    const losses = findLosses(history, runs);
    const violations = [
        ...losses.filter(loss => loss.excuse === undefined).map(loss => describeLoss(loss, history.lives)),
        ...findTruncated(history),
        ...findRunTwice(history, runs),
        ...findFaults(history),
        ...findOldVersions(history, bounds),
    ];
    return { violations, counts: { ...countOutcomes(history), ...countFailures(history), ...countLosses(losses) } };
}
