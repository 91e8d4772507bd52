/**
 * @module
 * Admission control: customer quotas, fair queueing in front of upstream capacity, deadlines and load shedding.
 */
import type { ClassOfService, Policy } from "../catalogue/catalogueEntry.js";
import { createRefusal } from "../errors/createRefusal.js";
import type { Clock } from "../time/clock.js";
import type { Admission, AdmissionRequest, AdmissionVerdict, RequestCost } from "./admissionTypes.js";
import { createDemandMeter } from "./createDemandMeter.js";
import { createFairQueue } from "./createFairQueue.js";
import type { Permit } from "./createPermitPool.js";
import type { CustomerQuota, QuotaRegistry } from "./createQuotaRegistry.js";
import { createRefusalRules, type WaitingRequest } from "./createRefusalRules.js";
import { findShortage } from "./findShortage.js";
import { maxLimitWaitMs, maxQueuedTokensPerSlot } from "./limitConstants.js";
import { combineAmounts, getRates, zeroAmounts } from "./quotaMath.js";
import type { Amounts } from "./quotaTypes.js";

/** What admission depends on. */
export interface AdmissionDependencies {
    readonly clock: Clock;
    readonly quotas: QuotaRegistry;
    /** Maximum number of requests that this instance may have at upstreams concurrently. */
    readonly countSlots: () => number;
    readonly preset: () => Policy["preset"];
    /** Called with every request. */
    readonly onDemand: (customer: string) => void;
    /** Called when a request is refused on arrival or has to wait. */
    readonly onShortage: () => void;
}

/** Admission that is notified of changed quotas. */
export interface QuotaAdmission extends Admission {
    /** Decides the waiting requests that can be decided now; to be called when quotas have changed. */
    readonly reevaluate: () => void;
}

interface RunningRequest {
    readonly quota: CustomerQuota;
    readonly cost: Amounts;
    readonly permit: Permit;
}

/** Queue weights by class of service. */
const queueWeights: Readonly<Record<ClassOfService, number>> = { interactive: 4, standard: 2, batch: 1 };

/** Minimum delay until the next scheduled re-evaluation, in milliseconds. */
const minReevaluationDelayMs = 5;

/** Maximum delay until the next re-evaluation while a request waits, in milliseconds. */
const maxReevaluationDelayMs = 50;

function toAmounts(cost: RequestCost): Amounts {
    return { requests: 1, promptTokens: cost.promptTokens, outputTokens: cost.outputTokens };
}

/**
 * Creates admission. A request waits only while it can still be admitted before its deadline and within the maximum
 * wait for limits; otherwise it is refused immediately, with the time after which a retry may succeed.
 *
 * @param dependencies - The clock, the quotas and the capacity.
 * @returns The admission.
 * @example
 * createAdmission({ clock, quotas, countSlots: () => 64, preset, onDemand, onShortage });
 */
export function createAdmission(dependencies: AdmissionDependencies): QuotaAdmission {
    const { clock, quotas } = dependencies;
    const queue = createFairQueue<WaitingRequest>();
    const running = new Map<string, RunningRequest>();
    const served = createDemandMeter(clock.now);
    let cancelReevaluation: (() => void) | undefined;
    let reevaluationMs = Infinity;

    const rules = createRefusalRules({
        clock,
        quotas,
        queue,
        served,
        hasFreeSlot: () => running.size < dependencies.countSlots(),
    });

    function decide(waiting: WaitingRequest, verdict: AdmissionVerdict): void {
        queue.remove(waiting.requestId);
        updateWaiting(waiting.customer);
        waiting.decide(verdict);
    }

    function updateWaiting(customer: string): void {
        const items = queue.listByCustomer(customer);
        const largest = items.reduce(
            (most, item) => combineAmounts(most, item.cost, Math.max),
            zeroAmounts,
        );
        quotas.find(customer)?.setWaiting(items.length, largest);
    }

    function tryAdmit(waiting: WaitingRequest): boolean {
        const quota = quotas.find(waiting.customer);
        if (quota === undefined) {
            return false;
        }
        const rates = getRates(quota.limits());
        if (findShortage(quota.rateBuckets, rates, waiting.cost).dimension !== undefined) {
            return false;
        }
        const permit = quota.permitPool.tryAcquire(waiting.req.deadlineMs);
        if (permit === undefined) {
            return false;
        }
        quota.rateBuckets.credit(combineAmounts(zeroAmounts, waiting.cost, (zero, cost) => zero - cost));
        quota.admitted.add(waiting.cost);
        running.set(waiting.requestId, { quota, cost: waiting.cost, permit });
        return true;
    }

    function shed(): void {
        const maxTokens = dependencies.countSlots() * maxQueuedTokensPerSlot;
        const order = dependencies.preset() === "lectura" ? "recomputeFirst" : "newestFirst";
        for (;;) {
            const victim = queue.findVictim(maxTokens, order);
            if (victim === undefined) {
                return;
            }
            decide(victim, { kind: "refused", refusal: rules.createShedRefusal(victim) });
        }
    }

    function scheduleReevaluation(): void {
        let nextMs = Infinity;
        for (const head of queue.listHeads()) {
            const waitMs = rules.findLimitWaitMs(head) ?? maxReevaluationDelayMs;
            const delayMs = Math.min(waitMs, maxReevaluationDelayMs);
            nextMs = Math.min(nextMs, clock.now() + Math.max(minReevaluationDelayMs, delayMs));
        }
        if (nextMs < reevaluationMs) {
            cancelReevaluation?.();
            reevaluationMs = nextMs;
            cancelReevaluation = clock.after(nextMs - clock.now(), reevaluate);
        }
    }

    function refuseExpired(waiting: WaitingRequest): void {
        const refusal = rules.findExpiry(waiting);
        if (refusal !== undefined) {
            decide(waiting, { kind: "refused", refusal });
        }
    }

    function reevaluate(): void {
        cancelReevaluation?.();
        cancelReevaluation = undefined;
        reevaluationMs = Infinity;
        const accepted: WaitingRequest[] = [];
        queue.dispatch(waiting => {
            const isAdmitted = tryAdmit(waiting);
            if (isAdmitted) {
                accepted.push(waiting);
            }
            return isAdmitted;
        }, () => running.size < dependencies.countSlots());
        for (const waiting of accepted) {
            updateWaiting(waiting.customer);
            waiting.decide({ kind: "admitted" });
        }
        for (const head of queue.listHeads()) {
            queue.listByCustomer(head.customer).forEach(refuseExpired);
        }
        scheduleReevaluation();
    }

    function admit(req: AdmissionRequest, onVerdict: (verdict: AdmissionVerdict) => void): void {
        const customer = req.customer.id;
        const quota = quotas.find(customer);
        if (quota === undefined) {
            onVerdict({ kind: "refused", refusal: createRefusal("unknownCustomer", `customer "${customer}"`) });
            return;
        }
        const cost = toAmounts(req.cost);
        const waiting: WaitingRequest = {
            requestId: req.requestId,
            customer,
            tokens: 1 + req.cost.promptTokens + req.cost.outputTokens,
            recomputeTokens: req.cost.recomputeTokens ?? req.cost.promptTokens,
            weight: queueWeights[req.customer.classOfService],
            req,
            cost,
            waitDeadlineMs: Math.min(req.deadlineMs, clock.now() + maxLimitWaitMs),
            decide: onVerdict,
        };
        quota.offered.add(cost);
        dependencies.onDemand(customer);
        const refusal = rules.findRefusal(waiting, quota);
        if (refusal !== undefined) {
            dependencies.onShortage();
            onVerdict({ kind: "refused", refusal });
            return;
        }
        queue.enqueue(waiting);
        updateWaiting(customer);
        shed();
        reevaluate();
        if (queue.listByCustomer(customer).length > 0) {
            dependencies.onShortage();
        }
    }

    function complete(requestId: string, used: RequestCost): void {
        const entry = running.get(requestId);
        if (entry === undefined) {
            return;
        }
        running.delete(requestId);
        const { quota, cost, permit } = entry;
        quota.permitPool.release(permit);
        quota.rateBuckets.credit(
            combineAmounts(cost, { ...toAmounts(used), requests: cost.requests }, (had, one) => had - one),
        );
        served.add({ requests: 1, promptTokens: 1 + used.promptTokens + used.outputTokens, outputTokens: 0 });
        reevaluate();
    }

    return {
        admit,
        cancel: requestId => {
            const waiting = queue.remove(requestId);
            if (waiting !== undefined) {
                updateWaiting(waiting.customer);
                waiting.decide({ kind: "refused", refusal: createRefusal("cancelled", "") });
            }
        },
        complete,
        reevaluate,
    };
}
