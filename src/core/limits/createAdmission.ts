/**
 * @module
 * Admission control: customer quotas, fair queueing in front of upstream capacity, deadlines and load shedding.
 */
import type { ClassOfService, Policy } from "../catalogue/catalogueEntry.js";
import { millisecondsPerSecond } from "../constants.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ErrorKind } from "../errors/errorTable.js";
import type { Clock } from "../time/clock.js";
import type { Admission, AdmissionRequest, AdmissionVerdict, RequestCost } from "./admissionTypes.js";
import { createDemandMeter } from "./createDemandMeter.js";
import { createFairQueue, type QueuedRequest } from "./createFairQueue.js";
import type { Permit } from "./createPermitPool.js";
import type { CustomerQuota, QuotaRegistry } from "./createQuotaRegistry.js";
import { findShortage } from "./findShortage.js";
import { maxLimitWaitMs, maxQueuedTokensPerSlot, maxQueueLength } from "./limitConstants.js";
import { combineAmounts, getRates, rateDimensions, zeroAmounts } from "./quotaMath.js";
import type { Amounts, LimitDimension } from "./quotaTypes.js";

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

interface WaitingRequest extends QueuedRequest {
    readonly req: AdmissionRequest;
    readonly cost: Amounts;
    readonly waitDeadlineMs: number;
    readonly decide: (verdict: AdmissionVerdict) => void;
}

interface RunningRequest {
    readonly quota: CustomerQuota;
    readonly cost: Amounts;
    readonly permit: Permit;
}

/** Queue weights by class of service. */
const queueWeights: Readonly<Record<ClassOfService, number>> = { interactive: 4, standard: 2, batch: 1 };

/** Kind of refusal by the limit that was reached. */
const refusalKinds: Readonly<Record<LimitDimension, ErrorKind>> = {
    requests: "requestRateLimited",
    promptTokens: "promptTokensLimited",
    outputTokens: "outputTokensLimited",
    requestsInFlight: "inFlightLimited",
};

/** Estimated time until a permit for one more request becomes free, in milliseconds. */
const permitRetryMs = 1_000;

/** Fraction of the limits up to which an instance counts as one that has no quota yet. */
const negligibleFraction = 0.01;

/** Maximum number of requests of one customer that wait for borrowed quota. */
const maxWaitingForGrant = 8;

/** Minimum delay until the next scheduled re-evaluation, in milliseconds. */
const minReevaluationDelayMs = 5;

/** Maximum delay until the next re-evaluation while a request waits, in milliseconds. */
const maxReevaluationDelayMs = 50;

function toAmounts(cost: RequestCost): Amounts {
    return { requests: 1, promptTokens: cost.promptTokens, outputTokens: cost.outputTokens };
}

function addAmounts(left: Amounts, right: Amounts): Amounts {
    return combineAmounts(left, right, (one, other) => one + other);
}

function findOversized(quota: CustomerQuota, cost: Amounts): keyof Amounts | undefined {
    const limits = quota.limits();
    const rates = getRates(limits);
    return rateDimensions.find(dimension => cost[dimension] > Math.max(1, rates[dimension] * limits.burstSeconds));
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

    function refuse(waiting: WaitingRequest, kind: ErrorKind, retryAfterMs: number | undefined, detail = ""): void {
        const options = retryAfterMs === undefined ? {} : { retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)) };
        const text = `customer "${waiting.customer}"${detail === "" ? "" : `: ${detail}`}`;
        decide(waiting, { kind: "refused", refusal: createRefusal(kind, text, options) });
    }

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

    /** Predicts how long a request behind others waits for the customer's limits, at the quota that is held now. */
    function predictLimitWait(quota: CustomerQuota, ahead: readonly WaitingRequest[], cost: Amounts) {
        const total = ahead.reduce((sum, item) => addAmounts(sum, item.cost), cost);
        return findShortage(quota.rateBuckets, getRates(quota.limits()), total);
    }

    /** Predicts the wait for upstream capacity from the customer's own queue and its weighted share of throughput. */
    function predictCapacityWait(waiting: Pick<WaitingRequest, "customer" | "tokens" | "weight">): number {
        const rate = served.rate().promptTokens;
        if (running.size < dependencies.countSlots() || rate <= 0) {
            return 0;
        }
        const heads = queue.listHeads().filter(head => head.customer !== waiting.customer);
        const weights = heads.reduce((sum, head) => sum + head.weight, waiting.weight);
        const ahead = queue.listByCustomer(waiting.customer).reduce((sum, item) => sum + item.tokens, waiting.tokens);
        return (ahead / ((rate * waiting.weight) / weights)) * millisecondsPerSecond;
    }

    /** Returns whether more quota may still be borrowed; the number of requests that wait for that is bounded. */
    function canBorrowMore(quota: CustomerQuota, waitingCount: number): boolean {
        const fraction = quota.rateBuckets.fraction();
        const isWithoutQuota = fraction <= negligibleFraction;
        return isWithoutQuota || (fraction < quota.neededFraction() && waitingCount < maxWaitingForGrant);
    }

    function findRefusal(waiting: WaitingRequest, quota: CustomerQuota): Refusal | undefined {
        let refusal: Refusal | undefined;
        const probe = {
            ...waiting,
            decide: (verdict: AdmissionVerdict) => {
                refusal = verdict.kind === "refused" ? verdict.refusal : undefined;
            },
        };
        const oversized = findOversized(quota, waiting.cost);
        if (oversized !== undefined) {
            refuse(probe, refusalKinds[oversized], undefined, "the request is larger than the burst");
            return refusal;
        }
        const ahead = queue.listByCustomer(waiting.customer);
        const shortage = predictLimitWait(quota, ahead, waiting.cost);
        const remainingMs = waiting.waitDeadlineMs - clock.now();
        const limitWaitMs = Number.isFinite(shortage.waitMs) ? shortage.waitMs : maxLimitWaitMs;
        if (shortage.dimension !== undefined && shortage.waitMs > remainingMs && !canBorrowMore(quota, ahead.length)) {
            refuse(probe, refusalKinds[shortage.dimension], limitWaitMs);
        }
        else if (ahead.length >= maxQueueLength) {
            refuse(probe, "queueFull", Math.max(limitWaitMs, permitRetryMs));
        }
        else {
            const capacityMs = predictCapacityWait(waiting);
            if (clock.now() + capacityMs > waiting.req.deadlineMs) {
                refuse(probe, "deadlineTooShort", capacityMs);
            }
        }
        return refusal;
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

    /** Returns whether a request can no longer be admitted in time. */
    function isExpired(waiting: WaitingRequest): boolean {
        if (clock.now() >= waiting.req.deadlineMs) {
            return true;
        }
        return clock.now() >= waiting.waitDeadlineMs && isWaitingForLimits(waiting);
    }

    function refuseExpired(waiting: WaitingRequest): void {
        const quota = quotas.find(waiting.customer);
        if (quota === undefined) {
            refuse(waiting, "unknownCustomer", undefined);
            return;
        }
        const shortage = predictLimitWait(quota, [], waiting.cost);
        if (shortage.dimension !== undefined) {
            const limitWaitMs = Number.isFinite(shortage.waitMs) ? shortage.waitMs : maxLimitWaitMs;
            refuse(waiting, refusalKinds[shortage.dimension], limitWaitMs);
        }
        else if (quota.permitPool.countFree() <= 0) {
            refuse(waiting, "inFlightLimited", permitRetryMs);
        }
        else {
            refuse(waiting, "deadlineTooShort", Math.max(permitRetryMs, predictCapacityWait(waiting)));
        }
    }

    function shed(): void {
        const maxTokens = dependencies.countSlots() * maxQueuedTokensPerSlot;
        const order = dependencies.preset() === "lectura" ? "recomputeFirst" : "newestFirst";
        for (;;) {
            const victim = queue.findVictim(maxTokens, order);
            if (victim === undefined) {
                return;
            }
            refuse(victim, "overloaded", Math.max(permitRetryMs, predictCapacityWait(victim)));
        }
    }

    function isWaitingForLimits(head: WaitingRequest): boolean {
        const quota = quotas.find(head.customer);
        return quota === undefined || predictLimitWait(quota, [], head.cost).dimension !== undefined
            || quota.permitPool.countFree() <= 0;
    }

    function scheduleReevaluation(): void {
        let nextMs = Infinity;
        for (const head of queue.listHeads()) {
            const quota = quotas.find(head.customer);
            const waitMs = quota === undefined ? 0 : predictLimitWait(quota, [], head.cost).waitMs;
            const delayMs = isWaitingForLimits(head)
                ? Math.min(waitMs, maxReevaluationDelayMs)
                : maxReevaluationDelayMs;
            nextMs = Math.min(nextMs, clock.now() + Math.max(minReevaluationDelayMs, delayMs));
        }
        if (nextMs < reevaluationMs) {
            cancelReevaluation?.();
            reevaluationMs = nextMs;
            cancelReevaluation = clock.after(nextMs - clock.now(), reevaluate);
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
            queue.listByCustomer(head.customer).filter(isExpired).forEach(refuseExpired);
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
        const refusal = findRefusal(waiting, quota);
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
