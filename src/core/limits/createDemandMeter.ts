/**
 * @module
 * Exponentially decaying average of amounts per second.
 */
import { millisecondsPerSecond } from "../constants.js";
import { demandWindowMs } from "./limitConstants.js";
import { combineAmounts, zeroAmounts } from "./quotaMath.js";
import type { Amounts } from "./quotaTypes.js";

/** Averages amounts over time. */
export interface DemandMeter {
    readonly add: (amounts: Amounts) => void;
    /** Average amounts per second. */
    readonly rate: () => Amounts;
}

/**
 * Creates a meter.
 *
 * @param now - The instance's clock, in milliseconds.
 * @returns The meter; its rate starts at 0.
 * @example
 * createDemandMeter(clock.now).rate().requests; // 0
 */
export function createDemandMeter(now: () => number): DemandMeter {
    let sum = zeroAmounts;
    let updatedMs = now();

    function decay(): void {
        const factor = Math.exp((updatedMs - now()) / demandWindowMs);
        sum = combineAmounts(sum, zeroAmounts, value => value * factor);
        updatedMs = now();
    }

    return {
        add: amounts => {
            decay();
            sum = combineAmounts(sum, amounts, (left, right) => left + right);
        },
        rate: () => {
            decay();
            return combineAmounts(sum, zeroAmounts, value => (value * millisecondsPerSecond) / demandWindowMs);
        },
    };
}
