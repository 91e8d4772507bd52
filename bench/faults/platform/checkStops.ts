/**
 * @module
 * Checks a history of stops against what callers are promised.
 */
import { graceSeconds, type InstanceBounds } from "../../support/platformSettings.js";
import type { AttemptRecord, LifeRecord, RunRecord, StopHistory } from "./stopTypes.js";

/** What was found. */
export interface StopFindings {
    readonly violations: readonly string[];
    readonly counts: Readonly<Record<string, number>>;
}

const millisecondsPerSecond = 1_000;
const graceMs = graceSeconds * millisecondsPerSecond;

/** Time after the grace period in which an end still belongs to the stop, in milliseconds. */
const afterGraceMs = 1_000;

/** Time after its last byte from which on a request that was read must be answered, in milliseconds. */
const lossSlackMs = 200;

/** Requests that were sent by then may be cut late in the grace period if their upstream still works on them. */
const excusedSendMs = 3_000;

/** Start of the part of the grace period in which they may be. */
const excusedEndMs = graceMs * 5 / 6;

/** Time within which a started instance is ready, in milliseconds. */
const maxStartMs = 10_000;

/** Time beyond the work itself after which a request counts as late, in milliseconds. */
const lateMs = 500;

/** Time in which an instance learns of a signal, on this machine, in milliseconds. */
const signalSlackMs = 50;

const promiseStatuses = [408, 421, 429, 503];

/** The life that took an attempt and was told to stop around it. */
function findStoppedLife(attempt: AttemptRecord, lives: readonly LifeRecord[]): LifeRecord | undefined {
    return lives.find(life =>
        life.address === attempt.address && life.termMs !== undefined
        && attempt.endMs > life.termMs - signalSlackMs
        && attempt.endMs < life.termMs + graceMs + afterGraceMs
    );
}

function describe(name: string, attempt: AttemptRecord, life: LifeRecord | undefined): string {
    const sinceMs = (atMs: number | undefined) =>
        atMs === undefined || life?.termMs === undefined ? "?" : String(Math.round(atMs - life.termMs));
    return `${name} ${attempt.id} ${attempt.kind}${attempt.isChunked ? " in chunks" : ""} at ${attempt.address}: sent ${
        sinceMs(attempt.sentMs)
    } ms and cut ${sinceMs(attempt.endMs)} ms after the order to stop, status ${attempt.status} ${attempt.error ?? ""}`;
}

function findLost(history: StopHistory, runs: ReadonlyMap<string, readonly RunRecord[]>): readonly string[] {
    return history.requests.flatMap(request => request.attempts).flatMap(attempt => {
        if (attempt.isComplete || attempt.sentMs === undefined || attempt.error === "ECONNREFUSED") {
            return [];
        }
        const run = runs.get(attempt.id)?.[0];
        const life = findStoppedLife(attempt, history.lives);
        const wasTaken = run !== undefined || attempt.endMs - attempt.sentMs > lossSlackMs;
        if (!wasTaken) {
            return [];
        }
        const termMs = life?.termMs;
        const isExcused = termMs !== undefined && run !== undefined
            && (run.endMs ?? Infinity) > termMs + excusedEndMs && attempt.sentMs <= termMs + excusedSendMs;
        return isExcused ? [] : [describe("LOST", attempt, life)];
    });
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

/**
 * Checks a history.
 *
 * @param history - What was recorded.
 * @param bounds - The bounds of the instances.
 * @returns The violations, and how the requests ended.
 */
export function checkStops(history: StopHistory, bounds: InstanceBounds): StopFindings {
    const runs = new Map<string, RunRecord[]>();
    for (const run of history.runs) {
        runs.set(run.attempt, [...(runs.get(run.attempt) ?? []), run]);
    }
    const violations = [
        ...findLost(history, runs),
        ...findRunTwice(history, runs),
        ...findFaults(history),
        ...findOldVersions(history, bounds),
    ];
    return { violations, counts: countOutcomes(history) };
}
