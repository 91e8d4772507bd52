/**
 * @module
 * Draws the parameters of a history, and the limits of its upstreams, from a seed.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type HistoryPlan, historyTimes, type LimitPhase } from "./rateLimitTypes.js";

/** Largest fleet that is drawn, unless a run asks for a larger one. */
const instanceCounts = [1, 2, 3, 7, 8, 14, 19] as const;

/** Draws a plan; `instances` fixes the size of the fleet. */
export function drawRateLimitPlan(seed: number, instances?: number): HistoryPlan {
    const generator = xoroshiro128plus(seed);
    const draw = (from: number, to: number) => uniformInt(generator, from, to);
    const choose = <T>(list: readonly T[]): T => list[draw(0, list.length - 1)]!;
    const isCalm = draw(0, 2) === 0;
    return {
        seed,
        instances: instances ?? choose(instanceCounts),
        upstreams: choose([3, 6, 13, 24]),
        limitedShare: choose(["one", "third", "all"] as const),
        hasChanges: isCalm ? draw(0, 3) === 0 : draw(0, 1) === 1,
        hasOldHeads: draw(0, 2) === 0,
        highestLimit: choose([3, 30, 1_000]),
        load: choose([0.1, 0.3, 0.6, 0.9]),
        messageLoss: isCalm ? 0 : choose([0, 0.01, 0.05]),
        lateMessages: isCalm ? 0 : choose([0, 0.02, 0.1]),
        restarts: isCalm ? 0 : choose([0, 1, 2]),
        freezes: isCalm ? 0 : choose([0, 1, 2]),
        cuts: isCalm ? 0 : choose([0, 1, 2]),
    };
}

/** Lowest limit, in requests per second; low ones are drawn more often. */
const lowestLimit = 0.1;
const lowLimitExponent = 1.5;

/** Draws the limits of one upstream over time. */
export function drawPhases(plan: HistoryPlan, random: () => number): readonly LimitPhase[] {
    const { firstLimitMs, lastLimitMs, minPhaseMs, maxPhaseMs, endMs } = historyTimes;
    const range = plan.highestLimit / lowestLimit;
    const drawLimit = () => Math.round(lowestLimit * range ** (random() ** lowLimitExponent) * 10) / 10;
    const first = firstLimitMs + random() * (lastLimitMs - firstLimitMs);
    const phases: LimitPhase[] = [{ atMs: first, requestsPerSecond: drawLimit() }];
    const drawPhaseMs = () => minPhaseMs + random() * (maxPhaseMs - minPhaseMs);
    for (let atMs = first + drawPhaseMs(); plan.hasChanges && atMs < endMs; atMs += drawPhaseMs()) {
        const isEnd = phases.at(-1)?.requestsPerSecond !== undefined && random() < 0.5;
        phases.push({ atMs, requestsPerSecond: isEnd ? undefined : drawLimit() });
    }
    return phases;
}
