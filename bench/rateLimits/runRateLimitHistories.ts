/**
 * @module
 * Plays and checks many histories of upstreams that state rate limits.
 */
import { checkRateLimitHistory, findUsedShare } from "./checkRateLimitHistory.js";
import { drawRateLimitPlan } from "./drawRateLimitPlan.js";
import { playRateLimitHistory } from "./playRateLimitHistory.js";
import { historyTimes } from "./rateLimitTypes.js";

/** Options of {@link runRateLimitHistories}. */
export interface RateLimitRunOptions {
    readonly firstSeed: number;
    readonly histories: number;
    /** Size of the fleet; drawn for each history when it is undefined. */
    readonly instances?: number | undefined;
}

/** Results of many histories. */
export interface RateLimitRunResult {
    /** Violations with the seeds of their histories. */
    readonly violations: readonly string[];
    /** Requests that reached upstreams. */
    readonly arrivals: number;
    /** Fractions of what all limits allow that were used, where callers ask for more. */
    readonly usedShares: readonly number[];
    /** Largest bytes per second of messages about limits, of an instance on average over a history. */
    readonly maxBytesPerSecond: number;
}

const millisecondsPerSecond = 1_000;

/** Plays and checks histories with consecutive seeds. */
export function runRateLimitHistories(options: RateLimitRunOptions): RateLimitRunResult {
    const violations: string[] = [];
    const usedShares: number[] = [];
    let arrivals = 0;
    let maxBytesPerSecond = 0;
    for (let seed = options.firstSeed; seed < options.firstSeed + options.histories; seed += 1) {
        const history = playRateLimitHistory(drawRateLimitPlan(seed, options.instances));
        violations.push(...checkRateLimitHistory(history).map(text => `seed ${seed}: ${text}`));
        arrivals += history.arrivals.length;
        const usedShare = findUsedShare(history);
        usedShares.push(...(usedShare === undefined ? [] : [usedShare]));
        const seconds = (historyTimes.endMs - historyTimes.trafficMs) / millisecondsPerSecond;
        const bytesPerSecond = history.messageBytes / history.plan.instances / seconds;
        maxBytesPerSecond = Math.max(maxBytesPerSecond, bytesPerSecond);
    }
    return { violations, arrivals, usedShares, maxBytesPerSecond };
}
