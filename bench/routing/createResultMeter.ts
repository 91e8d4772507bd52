/**
 * @module
 * Collects the metrics of one simulated run.
 */
import { blockTokens } from "../../src/core/constants.js";
import type { PolicyResult, RunPlan, SimHead, SimRequest } from "./simTypes.js";

export interface ResultMeter {
    /** Records a first token and the ids of the blocks that were computed for it. */
    readonly recordHead: (one: SimRequest, head: SimHead, computed: readonly number[], ttftMs: number) => void;
    readonly recordFailure: (one: SimRequest) => void;
    readonly finish: (occupanciesMs: readonly number[]) => PolicyResult;
}

interface Window {
    readonly fromMs: number;
    readonly untilMs: number;
    cached: number;
    total: number;
}

function createWindow(fromMs: number, untilMs: number): Window {
    return { fromMs, untilMs, cached: 0, total: 0 };
}

function computeHitRate(window: Window): number {
    return window.total === 0 ? 0 : window.cached / window.total;
}

function findQuantile(sorted: readonly number[], quantile: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}

/** Creates an empty meter. */
export function createResultMeter(plan: RunPlan): ResultMeter {
    const wholeRun = createWindow(plan.warmUpMs, plan.endMs);
    const before = createWindow(plan.warmUpMs, plan.faultMs);
    const after = [5_000, 10_000, 30_000].map(lengthMs => createWindow(plan.faultMs, plan.faultMs + lengthMs));
    const windows = [wholeRun, before, ...after];
    const previouslyComputed = new Set<number>();
    const ttfts: number[] = [];
    let wastedBlocks = 0;
    let failed = 0;

    function isMeasured(one: SimRequest): boolean {
        return one.atMs >= plan.warmUpMs && one.atMs < plan.endMs;
    }

    function recordHead(one: SimRequest, head: SimHead, computed: readonly number[], ttftMs: number): void {
        const recomputed = computed.filter(id => previouslyComputed.has(id)).length;
        computed.forEach(id => previouslyComputed.add(id));
        if (!isMeasured(one)) {
            return;
        }
        wastedBlocks += recomputed;
        ttfts.push(ttftMs);
        for (const window of windows) {
            if (one.atMs >= window.fromMs && one.atMs < window.untilMs) {
                window.cached += head.cachedBlocks;
                window.total += one.ids.length;
            }
        }
    }

    function finish(occupanciesMs: readonly number[]): PolicyResult {
        const sorted = [...ttfts].sort((left, right) => left - right);
        const mean = occupanciesMs.reduce((sum, one) => sum + one, 0) / occupanciesMs.length;
        const [first5s, first10s, first30s] = after.map(computeHitRate);
        return {
            hitRate: computeHitRate(wholeRun),
            ttftP50Ms: findQuantile(sorted, 0.5),
            ttftP95Ms: findQuantile(sorted, 0.95),
            ttftP99Ms: findQuantile(sorted, 0.99),
            wastedTokens: wastedBlocks * blockTokens,
            loadWorstOverMean: Math.max(...occupanciesMs) / mean,
            ...(plan.fault === "none"
                ? {}
                : {
                    hitRateAround: {
                        before: computeHitRate(before),
                        first5s: first5s!,
                        first10s: first10s!,
                        first30s: first30s!,
                    },
                }),
            ...(failed === 0 ? {} : { failed }),
        };
    }

    return {
        recordHead,
        recordFailure: one => {
            failed += isMeasured(one) ? 1 : 0;
        },
        finish,
    };
}
