/**
 * @module
 * The time from which a target counts that this instance read without knowing when it was set: after its start, a pause of
 * its process, or a time without the store. The target may be of any age. The instance has to keep the limit for outdated
 * weights as soon as it has been undisturbed for the platform's window, so runs on older weights begin in a part of that window.
 */
import { computeBeginLimitMs } from "./computeBeginLimitMs.js";

/** What is known when such a target is read. */
export interface UnknownAgeInputs {
    /** Local time in milliseconds until which targets may have been set unnoticed: the instance's start, or a pause's end. */
    readonly blindUntilMs: number;
    /** Time without disturbance after which the instance has to keep the limit, in milliseconds. */
    readonly stableWindowMs: number;
    /** Time after which no request may begin on weights older than the target, in milliseconds. */
    readonly weightsLimitMs: number;
}

/** Part of the window in which runs on outdated weights may begin. */
const usedWindowFraction = 0.85;

/**
 * Assumes when a target of unknown age was set.
 *
 * @param inputs - Times of the instance and the limits.
 * @returns A local time in milliseconds.
 * @example
 * assumeTargetTime({ blindUntilMs: 0, stableWindowMs: 3_000, weightsLimitMs: 8_000 }); // -4_650
 */
export function assumeTargetTime(inputs: UnknownAgeInputs): number {
    const { blindUntilMs, stableWindowMs, weightsLimitMs } = inputs;
    return blindUntilMs + stableWindowMs * usedWindowFraction - computeBeginLimitMs(weightsLimitMs);
}
