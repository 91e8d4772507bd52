/**
 * @module
 * Admission by an equal static share of each customer's limits.
 */
import type { Customer } from "../catalogue/catalogueEntry.js";
import { millisecondsPerSecond } from "../constants.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { Clock } from "../time/clock.js";
import type { Admission, AdmissionRequest, AdmissionVerdict } from "./admissionTypes.js";

interface Bucket {
    tokens: number;
    updatedMs: number;
}

interface CustomerState {
    readonly requests: Bucket;
    inFlight: number;
}

/** What static admission reads. */
export interface StaticAdmissionDependencies {
    readonly clock: Clock;
    /** Instances that share the limits, this one included. */
    readonly countInstances: () => number;
}

function refill(bucket: Bucket, ratePerSecond: number, burstSeconds: number, nowMs: number): void {
    const gained = ((nowMs - bucket.updatedMs) * ratePerSecond) / millisecondsPerSecond;
    bucket.tokens = Math.min(bucket.tokens + gained, Math.max(1, ratePerSecond * burstSeconds));
    bucket.updatedMs = nowMs;
}

/**
 * Creates admission by static shares. A new instance starts with empty buckets.
 *
 * @param dependencies - The clock and the number of instances.
 * @returns The admission.
 * @example
 * createStaticAdmission({ clock, countInstances: () => 8 });
 */
export function createStaticAdmission(dependencies: StaticAdmissionDependencies): Admission {
    const states = new Map<string, CustomerState>();
    const admitted = new Map<string, CustomerState>();

    function findState(customer: Customer): CustomerState {
        const found = states.get(customer.id);
        if (found !== undefined) {
            return found;
        }
        const created = { requests: { tokens: 1, updatedMs: dependencies.clock.now() }, inFlight: 0 };
        states.set(customer.id, created);
        return created;
    }

    function findRefusal(state: CustomerState, customer: Customer): Refusal | undefined {
        const share = 1 / dependencies.countInstances();
        const rate = customer.limits.requestsPerSecond * share;
        refill(state.requests, rate, customer.limits.burstSeconds, dependencies.clock.now());
        if (state.requests.tokens < 1) {
            const retryAfterMs = Math.ceil(((1 - state.requests.tokens) / rate) * millisecondsPerSecond);
            return createRefusal("requestRateLimited", `customer "${customer.id}"`, { retryAfterMs });
        }
        if (state.inFlight >= Math.max(1, Math.floor(customer.limits.requestsInFlight * share))) {
            return createRefusal("inFlightLimited", `customer "${customer.id}"`, {
                retryAfterMs: millisecondsPerSecond,
            });
        }
        return undefined;
    }

    function admit(req: AdmissionRequest, decide: (verdict: AdmissionVerdict) => void): void {
        const state = findState(req.customer);
        const refusal = findRefusal(state, req.customer);
        if (refusal !== undefined) {
            decide({ kind: "refused", refusal });
            return;
        }
        state.requests.tokens -= 1;
        state.inFlight += 1;
        admitted.set(req.requestId, state);
        decide({ kind: "admitted" });
    }

    function settle(requestId: string): void {
        const state = admitted.get(requestId);
        if (state !== undefined) {
            admitted.delete(requestId);
            state.inFlight -= 1;
        }
    }

    return { admit, cancel: () => undefined, settle };
}
