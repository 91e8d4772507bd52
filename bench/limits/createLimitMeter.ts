/**
 * @module
 * Checks that admitted work stays within limit x time + burst over every interval, and requests in flight within their
 * limit.
 */
import type { Customer } from "../../src/core/catalogue/catalogueEntry.js";
import type { RequestCost } from "../../src/core/limits/admissionTypes.js";
import { combineAmounts, getRates, rateDimensions, zeroAmounts } from "../../src/core/limits/quotaMath.js";
import type { Amounts, LimitDimension } from "../../src/core/limits/quotaTypes.js";

/** The largest excess of one customer in one dimension. */
export interface Excess {
    readonly customer: string;
    readonly dimension: LimitDimension;
    /** Amount above limit x time + burst, or requests in flight above the limit. */
    readonly amount: number;
    /** The excess in percent of the limit over the run. */
    readonly percent: number;
}

/** Callbacks that measure a fleet, and the excesses found. */
export interface LimitMeter {
    readonly onCharge: (customer: string, cost: RequestCost) => void;
    readonly onComplete: (customer: string, cost: RequestCost, used: RequestCost) => void;
    readonly onInFlightChange: (customer: string, change: 1 | -1) => void;
    readonly listExcesses: () => readonly Excess[];
}

interface CustomerState {
    total: Amounts;
    minBalance: Amounts;
    maxExcess: Amounts;
    inFlight: number;
    maxInFlight: number;
}

const roundingTolerance = 1e-6;

/** Creates a meter; work counts net of the tokens that were refunded on completion. */
export function createLimitMeter(customers: readonly Customer[], nowMs: () => number): LimitMeter {
    const states = new Map<string, CustomerState>();
    for (const { id } of customers) {
        const initial = {
            total: zeroAmounts,
            minBalance: zeroAmounts,
            maxExcess: zeroAmounts,
            inFlight: 0,
            maxInFlight: 0,
        };
        states.set(id, initial);
    }
    const byId = new Map(customers.map(customer => [customer.id, customer]));

    /** The excess over any interval that ends now is the rise of (work - limit x time) above its minimum so far. */
    function recordChange(id: string, change: Amounts): void {
        const state = states.get(id)!;
        const { limits } = byId.get(id)!;
        const seconds = nowMs() / 1000;
        const allowed = combineAmounts(getRates(limits), zeroAmounts, rate => rate * seconds);
        const before = combineAmounts(state.total, allowed, (total, limit) => total - limit);
        state.minBalance = combineAmounts(state.minBalance, before, Math.min);
        state.total = combineAmounts(state.total, change, (total, one) => total + one);
        const balance = combineAmounts(state.total, allowed, (total, limit) => total - limit);
        const rise = combineAmounts(balance, state.minBalance, (now, least) => now - least);
        const burst = combineAmounts(getRates(limits), zeroAmounts, rate => rate * limits.burstSeconds);
        state.maxExcess = combineAmounts(
            state.maxExcess,
            combineAmounts(rise, burst, (one, most) => one - most),
            Math.max,
        );
        state.minBalance = combineAmounts(state.minBalance, balance, Math.min);
    }

    function listExcessesOf(id: string, state: CustomerState): readonly Excess[] {
        const { limits } = byId.get(id)!;
        const rates = getRates(limits);
        const found: Excess[] = [];
        for (const dimension of rateDimensions) {
            const amount = state.maxExcess[dimension];
            if (amount > roundingTolerance * rates[dimension]) {
                const percent = (100 * amount) / (rates[dimension] * Math.max(1, nowMs() / 1000));
                found.push({ customer: id, dimension, amount, percent });
            }
        }
        const excess = state.maxInFlight - limits.requestsInFlight;
        if (excess > 0) {
            const percent = (100 * excess) / limits.requestsInFlight;
            found.push({ customer: id, dimension: "requestsInFlight", amount: excess, percent });
        }
        return found;
    }

    return {
        onCharge: (id, cost) =>
            recordChange(id, { requests: 1, promptTokens: cost.promptTokens, outputTokens: cost.outputTokens }),
        onComplete: (id, cost, used) =>
            recordChange(id, {
                requests: 0,
                promptTokens: used.promptTokens - cost.promptTokens,
                outputTokens: used.outputTokens - cost.outputTokens,
            }),
        onInFlightChange: (id, change) => {
            const state = states.get(id)!;
            state.inFlight += change;
            state.maxInFlight = Math.max(state.maxInFlight, state.inFlight);
        },
        listExcesses: () => [...states].flatMap(([id, state]) => listExcessesOf(id, state)),
    };
}
