/**
 * @module
 * Checks a history against the promises: few sends after the fifth engine has ended, sound requests are served, and no
 * sound part is held back.
 */
import { type CallerAttempt, historyTimes, type QuarantineHistory } from "./quarantineTypes.js";

/** Time without a disturbance after which an instance is in touch, in milliseconds; set by the platform. */
const stableWindowMs = 3_000;

/** Engines that may end under a part before the time limit begins. */
const toleratedEnds = 5;

/** Sends that may reach engines after the time limit. */
const maxLateSends = 3;

/** Sound requests on both sides of a comparison, and the least fraction of the usual share that begins. */
const minCompared = 20;
const minBegunFraction = 0.5;

function isInTouch({ disturbances }: QuarantineHistory, instance: string, atMs: number): boolean {
    return !disturbances.some(one =>
        one.instance === instance && one.fromMs <= atMs && atMs < one.toMs + stableWindowMs
    );
}

function findLateSends(history: QuarantineHistory, part: string): string | undefined {
    const fifth = history.ends.filter(end => end.part === part)[toleratedEnds - 1];
    if (fifth === undefined) {
        return undefined;
    }
    const late = history.arrivals.filter(arrival =>
        arrival.parts.includes(part) && arrival.atMs > fifth.atMs + stableWindowMs
        && isInTouch(history, arrival.instance, arrival.atMs)
    );
    return late.length > maxLateSends
        ? `${part}: ${late.length} sends reached engines later than ${stableWindowMs} ms after the fifth end`
        : undefined;
}

function computeBegunShare(attempts: readonly CallerAttempt[]): number {
    return attempts.filter(attempt => attempt.hasBegun).length / attempts.length;
}

function findLostService(history: QuarantineHistory, part: string): string | undefined {
    const ends = history.ends.filter(end => end.part === part);
    const last = ends[Math.min(ends.length, toleratedEnds) - 1];
    if (last === undefined) {
        return undefined;
    }
    const harmful = new Set(history.plan.harmfulParts.map(one => one.id));
    const isSound = (attempt: CallerAttempt) =>
        attempt.isFirst && !attempt.parts.some(one => harmful.has(one))
        && isInTouch(history, attempt.instance, attempt.atMs);
    const sound = history.attempts.filter(isSound);
    const usual = sound.filter(attempt => attempt.atMs < historyTimes.troubleMs - 1_000);
    const since = sound.filter(attempt =>
        attempt.atMs > last.atMs + 2 * stableWindowMs && attempt.atMs < historyTimes.troubleEndMs
    );
    if (usual.length < minCompared || since.length < minCompared) {
        return undefined;
    }
    const [before, after] = [computeBegunShare(usual), computeBegunShare(since)];
    return after < before * minBegunFraction
        ? `${part}: ${after.toFixed(2)} of the sound requests began, usually ${before.toFixed(2)}`
        : undefined;
}

/** Lists the violations of a history. */
export function checkQuarantineHistory(history: QuarantineHistory): readonly string[] {
    const harmful = history.plan.harmfulParts.map(part => part.id);
    const held = history.changes.find(one => one.isHeld && !harmful.includes(one.part));
    return [
        ...harmful.map(part => findLateSends(history, part)),
        ...harmful.map(part => findLostService(history, part)),
        held === undefined ? undefined : `the sound part ${held.part} was held back at ${held.atMs} ms`,
    ].filter(one => one !== undefined);
}
