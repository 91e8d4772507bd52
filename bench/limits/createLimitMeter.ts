/**
 * @module
 * Checks admitted work against limit x time + burst over every interval, and requests in flight against their limit.
 */
import type { Customer } from "../../src/core/catalogue/catalogueEntry.js";
import type { RequestCost } from "../../src/core/limits/admissionTypes.js";
import { combineAmounts, getRates, rateDimensions, zeroAmounts } from "../../src/core/limits/quotaMath.js";
import type { Amounts, LimitDimension } from "../../src/core/limits/quotaTypes.js";

/** The worst excess of one customer in one dimension. */
export interface Excess {
    readonly customer: string;
    readonly dimension: LimitDimension;
    /** Amount beyond limit x time + burst, or requests in flight beyond the limit. */
    readonly amount: number;
    /** The same in percent of the limit over the run. */
    readonly percent: number;
}

/** Watches a fleet. */
export interface LimitMeter {
    readonly onCharge: (customer: string, cost: RequestCost) => void;
    readonly onSettle: (customer: string, cost: RequestCost, used: RequestCost) => void;
    readonly onFlight: (customer: string, change: 1 | -1) => void;
    readonly listExcesses: () => readonly Excess[];
}

interface State {
    total: Amounts;
    leastBalance: Amounts;
    worst: Amounts;
    inFlight: number;
    worstInFlight: number;
}

const rounding = 1e-6;

/** Creates a meter; work counts net of what was settled back. */
export function createLimitMeter(customers: readonly Customer[], nowMs: () => number): LimitMeter {
    const states = new Map<string, State>();
    for (const { id } of customers) {
        const zero = {
            total: zeroAmounts,
            leastBalance: zeroAmounts,
            worst: zeroAmounts,
            inFlight: 0,
            worstInFlight: 0,
        };
        states.set(id, zero);
    }
    const byId = new Map(customers.map(customer => [customer.id, customer]));

    /** The excess over any interval that ends now is the rise of work less limit x time since its least value. */
    function note(id: string, change: Amounts): void {
        const state = states.get(id)!;
        const { limits } = byId.get(id)!;
        const seconds = nowMs() / 1000;
        const allowed = combineAmounts(getRates(limits), zeroAmounts, rate => rate * seconds);
        const before = combineAmounts(state.total, allowed, (total, limit) => total - limit);
        state.leastBalance = combineAmounts(state.leastBalance, before, Math.min);
        state.total = combineAmounts(state.total, change, (total, one) => total + one);
        const balance = combineAmounts(state.total, allowed, (total, limit) => total - limit);
        const rise = combineAmounts(balance, state.leastBalance, (now, least) => now - least);
        const burst = combineAmounts(getRates(limits), zeroAmounts, rate => rate * limits.burstSeconds);
        state.worst = combineAmounts(state.worst, combineAmounts(rise, burst, (one, most) => one - most), Math.max);
        state.leastBalance = combineAmounts(state.leastBalance, balance, Math.min);
    }

    function listExcessesOf(id: string, state: State): readonly Excess[] {
        const { limits } = byId.get(id)!;
        const rates = getRates(limits);
        const found: Excess[] = [];
        for (const dimension of rateDimensions) {
            const amount = state.worst[dimension];
            if (amount > rounding * rates[dimension]) {
                const percent = (100 * amount) / (rates[dimension] * Math.max(1, nowMs() / 1000));
                found.push({ customer: id, dimension, amount, percent });
            }
        }
        const beyond = state.worstInFlight - limits.requestsInFlight;
        if (beyond > 0) {
            const percent = (100 * beyond) / limits.requestsInFlight;
            found.push({ customer: id, dimension: "requestsInFlight", amount: beyond, percent });
        }
        return found;
    }

    return {
        onCharge: (id, cost) =>
            note(id, { requests: 1, promptTokens: cost.promptTokens, outputTokens: cost.outputTokens }),
        onSettle: (id, cost, used) =>
            note(id, {
                requests: 0,
                promptTokens: used.promptTokens - cost.promptTokens,
                outputTokens: used.outputTokens - cost.outputTokens,
            }),
        onFlight: (id, change) => {
            const state = states.get(id)!;
            state.inFlight += change;
            state.worstInFlight = Math.max(state.worstInFlight, state.inFlight);
        },
        listExcesses: () => [...states].flatMap(([id, state]) => listExcessesOf(id, state)),
    };
}
