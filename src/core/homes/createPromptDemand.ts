/**
 * @module
 * How much of the fleet's engines the requests of one shared prompt need, estimated by each instance from its own share of
 * the requests.
 */
import { millisecondsPerSecond } from "../constants.js";
import { createFrequencySketch } from "../routing/createFrequencySketch.js";

/** Demand for one prompt. */
export interface PromptLoad {
    /** Requests a second of the fleet that the prompt has at least. */
    readonly requestsPerSecond: number;
    /** Engines that its requests keep busy. */
    readonly busyEngines: number;
    /** Share of the prompt in all requests, 0 to 1. */
    readonly share: number;
    /** Requests for it that this instance has placed lately; older ones count less. */
    readonly seen: number;
}

/** Demand for the shared prompts. Times are milliseconds on the instance's clock. */
export interface PromptDemand {
    /** Records a request of this instance for a prompt. */
    readonly record: (key: number, nowMs: number) => void;
    /** Records how long a request has occupied an engine, as if it had run alone there, in milliseconds. */
    readonly recordWork: (workMs: number) => void;
    /** Estimates the demand; `instances` is the number of those that share the requests. */
    readonly estimate: (key: number, instances: number, nowMs: number) => PromptLoad;
}

/** Time after which a request counts for 1/e: long enough for an instance that sees few requests of the fleet. */
const decayMs = 20_000;

/** Counters of a row of the sketch, which then takes 128 KB. */
const defaultWidth = 4_096;

/** Weight of a new observation in the average work of a request. */
const workWeight = 0.05;

/** Standard deviations by which a number that was seen may lie above what was to be expected. */
const deviations = 1.5;

/**
 * Estimates the least number of requests of which a number was probably seen by chance: one request of a rare prompt is no
 * sign of hundreds that other instances get.
 */
function countAtLeast(seen: number): number {
    return Math.max(0, seen - deviations * Math.sqrt(seen));
}

/**
 * Creates the demand of no request.
 *
 * @param width - Counters of a row of the sketch.
 * @returns The demand.
 * @example
 * const demand = createPromptDemand();
 * demand.record(key, clock.now());
 * demand.estimate(key, 88, clock.now()).requestsPerSecond; // 0
 */
export function createPromptDemand(width = defaultWidth): PromptDemand {
    const requests = createFrequencySketch({ width, decayMs });
    let startMs: number | undefined;
    let meanWorkMs: number | undefined;

    return {
        record: (key, nowMs) => {
            startMs ??= nowMs;
            requests.add(key, 1, nowMs);
        },
        recordWork: workMs => {
            meanWorkMs = meanWorkMs === undefined ? workMs : meanWorkMs + workWeight * (workMs - meanWorkMs);
        },
        estimate: (key, instances, nowMs) => {
            const seen = requests.ratePerSecond(key, nowMs) * decayMs / millisecondsPerSecond;
            // An instance that has just started has not observed for as long as requests count.
            const observedMs = startMs === undefined ? decayMs : decayMs * (1 - Math.exp((startMs - nowMs) / decayMs));
            const observedSeconds = Math.max(millisecondsPerSecond, observedMs) / millisecondsPerSecond;
            const requestsPerSecond = countAtLeast(seen) * instances / observedSeconds;
            return {
                requestsPerSecond,
                busyEngines: requestsPerSecond * (meanWorkMs ?? 0) / millisecondsPerSecond,
                share: requests.computeShare(key),
                seen,
            };
        },
    };
}
