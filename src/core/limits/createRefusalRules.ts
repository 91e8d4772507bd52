/**
 * @module
 * Decides when a request is refused by admission, and with which kind and retry delay. The waits are predicted from the
 * customer's quota and from the capacity of the upstreams.
 */
import { millisecondsPerSecond } from "../constants.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ErrorKind } from "../errors/errorTable.js";
import type { Clock } from "../time/clock.js";
import type { AdmissionRequest, AdmissionVerdict } from "./admissionTypes.js";
import type { DemandMeter } from "./createDemandMeter.js";
import type { FairQueue, QueuedRequest } from "./createFairQueue.js";
import type { CustomerQuota, QuotaRegistry } from "./createQuotaRegistry.js";
import { findShortage, type Shortage } from "./findShortage.js";
import { maxLimitWaitMs, maxQueueLength } from "./limitConstants.js";
import { combineAmounts, getRates, rateDimensions } from "./quotaMath.js";
import type { Amounts, LimitDimension } from "./quotaTypes.js";

/** A request that waits for admission. */
export interface WaitingRequest extends QueuedRequest {
    readonly req: AdmissionRequest;
    readonly cost: Amounts;
    /** Latest time of admission if the customer's limits are what it waits for. */
    readonly waitDeadlineMs: number;
    readonly decide: (verdict: AdmissionVerdict) => void;
}

/** What the rules depend on. */
export interface RefusalRulesDependencies {
    readonly clock: Clock;
    readonly quotas: QuotaRegistry;
    readonly queue: FairQueue<WaitingRequest>;
    /** Amounts that were served lately. */
    readonly served: DemandMeter;
    /** Whether an upstream has a free slot. */
    readonly hasFreeSlot: () => boolean;
}

/** The rules. */
export interface RefusalRules {
    /** Finds why a request is refused on arrival; undefined when it may wait. */
    readonly findRefusal: (waiting: WaitingRequest, quota: CustomerQuota) => Refusal | undefined;
    /** Refusal of a request that can no longer be admitted in time; undefined while it can. */
    readonly findExpiry: (waiting: WaitingRequest) => Refusal | undefined;
    /** Refusal of a request that is shed. */
    readonly createShedRefusal: (waiting: WaitingRequest) => Refusal;
    /** Milliseconds until the customer's limits allow the request; undefined when it waits for upstreams only. */
    readonly findLimitWaitMs: (waiting: WaitingRequest) => number | undefined;
}

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

function addAmounts(left: Amounts, right: Amounts): Amounts {
    return combineAmounts(left, right, (one, other) => one + other);
}

function findOversized(quota: CustomerQuota, cost: Amounts): keyof Amounts | undefined {
    const limits = quota.limits();
    const rates = getRates(limits);
    return rateDimensions.find(dimension => cost[dimension] > Math.max(1, rates[dimension] * limits.burstSeconds));
}

/** Returns whether more quota may still be borrowed; the number of requests that wait for that is bounded. */
function canBorrowMore(quota: CustomerQuota, waitingCount: number): boolean {
    const fraction = quota.rateBuckets.fraction();
    const isWithoutQuota = fraction <= negligibleFraction;
    return isWithoutQuota || (fraction < quota.neededFraction() && waitingCount < maxWaitingForGrant);
}

/** Predicts how long a request behind others waits for the customer's limits, at the quota that is held now. */
function predictLimitWait(quota: CustomerQuota, ahead: readonly WaitingRequest[], cost: Amounts): Shortage {
    const total = ahead.reduce((sum, item) => addAmounts(sum, item.cost), cost);
    return findShortage(quota.rateBuckets, getRates(quota.limits()), total);
}

function boundWaitMs({ waitMs }: Shortage): number {
    return Number.isFinite(waitMs) ? waitMs : maxLimitWaitMs;
}

function createCustomerRefusal(
    waiting: WaitingRequest,
    kind: ErrorKind,
    retryAfterMs: number | undefined,
    detail = "",
): Refusal {
    const options = retryAfterMs === undefined ? {} : { retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)) };
    return createRefusal(kind, `customer "${waiting.customer}"${detail === "" ? "" : `: ${detail}`}`, options);
}

/**
 * Creates the rules.
 *
 * @param dependencies - The quotas, the queue and the capacity.
 * @returns The rules.
 * @example
 * createRefusalRules({ clock, quotas, queue, served, hasFreeSlot }).findRefusal(waiting, quota);
 */
export function createRefusalRules(dependencies: RefusalRulesDependencies): RefusalRules {
    const { clock, quotas, queue, served } = dependencies;

    /** Predicts the wait for upstream capacity from the customer's own queue and its weighted share of throughput. */
    function predictCapacityWait(waiting: WaitingRequest): number {
        const rate = served.rate().promptTokens;
        if (dependencies.hasFreeSlot() || rate <= 0) {
            return 0;
        }
        const heads = queue.listHeads().filter(head => head.customer !== waiting.customer);
        const weights = heads.reduce((sum, head) => sum + head.weight, waiting.weight);
        const ahead = queue.listByCustomer(waiting.customer).reduce((sum, item) => sum + item.tokens, waiting.tokens);
        return (ahead / ((rate * waiting.weight) / weights)) * millisecondsPerSecond;
    }

    function findRefusal(waiting: WaitingRequest, quota: CustomerQuota): Refusal | undefined {
        const oversized = findOversized(quota, waiting.cost);
        if (oversized !== undefined) {
            const detail = "the request is larger than the burst";
            return createCustomerRefusal(waiting, refusalKinds[oversized], undefined, detail);
        }
        const ahead = queue.listByCustomer(waiting.customer);
        const shortage = predictLimitWait(quota, ahead, waiting.cost);
        const remainingMs = waiting.waitDeadlineMs - clock.now();
        const limitWaitMs = boundWaitMs(shortage);
        if (shortage.dimension !== undefined && shortage.waitMs > remainingMs && !canBorrowMore(quota, ahead.length)) {
            return createCustomerRefusal(waiting, refusalKinds[shortage.dimension], limitWaitMs);
        }
        if (ahead.length >= maxQueueLength) {
            return createCustomerRefusal(waiting, "queueFull", Math.max(limitWaitMs, permitRetryMs));
        }
        const capacityMs = predictCapacityWait(waiting);
        return clock.now() + capacityMs > waiting.req.deadlineMs
            ? createCustomerRefusal(waiting, "deadlineTooShort", capacityMs)
            : undefined;
    }

    function findLimitWaitMs(waiting: WaitingRequest): number | undefined {
        const quota = quotas.find(waiting.customer);
        if (quota === undefined) {
            return 0;
        }
        const shortage = predictLimitWait(quota, [], waiting.cost);
        const isLimited = shortage.dimension !== undefined || quota.permitPool.countFree() <= 0;
        return isLimited ? shortage.waitMs : undefined;
    }

    function createExpiryRefusal(waiting: WaitingRequest): Refusal {
        const quota = quotas.find(waiting.customer);
        if (quota === undefined) {
            return createCustomerRefusal(waiting, "unknownCustomer", undefined);
        }
        const shortage = predictLimitWait(quota, [], waiting.cost);
        if (shortage.dimension !== undefined) {
            return createCustomerRefusal(waiting, refusalKinds[shortage.dimension], boundWaitMs(shortage));
        }
        if (quota.permitPool.countFree() <= 0) {
            return createCustomerRefusal(waiting, "inFlightLimited", permitRetryMs);
        }
        const retryAfterMs = Math.max(permitRetryMs, predictCapacityWait(waiting));
        return createCustomerRefusal(waiting, "deadlineTooShort", retryAfterMs);
    }

    function findExpiry(waiting: WaitingRequest): Refusal | undefined {
        const nowMs = clock.now();
        const isExpired = nowMs >= waiting.req.deadlineMs
            || (nowMs >= waiting.waitDeadlineMs && findLimitWaitMs(waiting) !== undefined);
        return isExpired ? createExpiryRefusal(waiting) : undefined;
    }

    return {
        findRefusal,
        findExpiry,
        createShedRefusal: waiting =>
            createCustomerRefusal(waiting, "overloaded", Math.max(permitRetryMs, predictCapacityWait(waiting))),
        findLimitWaitMs,
    };
}
