/**
 * @module
 * Admission in force: limits by shares, fair queueing in front of upstream capacity, deadlines and shedding.
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

/** What admission needs. */
export interface AdmissionDependencies {
    readonly clock: Clock;
    readonly quotas: QuotaRegistry;
    /** Requests that this instance may have at upstreams side by side. */
    readonly countSlots: () => number;
    readonly preset: () => Policy["preset"];
    /** Called with every request. */
    readonly onDemand: (customer: string) => void;
    /** Called when a request is refused or has to wait. */
    readonly onShortage: () => void;
}

/** Admission with a hook for changes of shares. */
export interface QuotaAdmission extends Admission {
    /** Decides what can be decided now; to be called when shares have changed. */
    readonly reevaluate: () => void;
}

interface Waiting extends QueuedRequest {
    readonly req: AdmissionRequest;
    readonly cost: Amounts;
    readonly giveUpMs: number;
    readonly decide: (verdict: AdmissionVerdict) => void;
}

interface Running {
    readonly account: CustomerQuota;
    readonly cost: Amounts;
    readonly permit: Permit;
}

/** Queue weights by class of service. */
const queueWeights: Readonly<Record<ClassOfService, number>> = { interactive: 4, standard: 2, batch: 1 };

/** Refusals by the limit that was reached. */
const refusalKinds: Readonly<Record<LimitDimension, ErrorKind>> = {
    requests: "requestRateLimited",
    promptTokens: "promptTokensLimited",
    outputTokens: "outputTokensLimited",
    requestsInFlight: "inFlightLimited",
};

/** Time after which a permit for one more request in flight may be free, in milliseconds. */
const permitRetryMs = 1_000;

/** Fraction of the limits below which an instance counts as one that has no share yet. */
const leastShare = 0.01;

/** Requests of one customer that wait for a loan to come at the most. */
const maxWaitingForLoan = 8;

/** Shortest time between two reviews, in milliseconds. */
const leastReviewMs = 5;

/** Time between two reviews while something waits for a share or a permit, in milliseconds. */
const shareReviewMs = 50;

function toAmounts(cost: RequestCost): Amounts {
    return { requests: 1, promptTokens: cost.promptTokens, outputTokens: cost.outputTokens };
}

function addAmounts(left: Amounts, right: Amounts): Amounts {
    return combineAmounts(left, right, (one, other) => one + other);
}

function findOversized(account: CustomerQuota, cost: Amounts): keyof Amounts | undefined {
    const limits = account.limits();
    const rates = getRates(limits);
    return rateDimensions.find(dimension => cost[dimension] > Math.max(1, rates[dimension] * limits.burstSeconds));
}

/**
 * Creates admission. A request waits only while it can still be admitted before its deadline and within the longest wait
 * for limits; otherwise it is refused at once, with the time after which a retry may succeed.
 *
 * @param dependencies - The clock, the accounts and the capacity.
 * @returns The admission.
 * @example
 * createAdmission({ clock, book, countSlots: () => 64, preset, onDemand, onShortage });
 */
export function createAdmission(dependencies: AdmissionDependencies): QuotaAdmission {
    const { clock, quotas: book } = dependencies;
    const queue = createFairQueue<Waiting>();
    const running = new Map<string, Running>();
    const served = createDemandMeter(clock.now);
    let cancelReview: (() => void) | undefined;
    let reviewMs = Infinity;

    function refuse(waiting: Waiting, kind: ErrorKind, retryAfterMs: number | undefined, detail = ""): void {
        const options = retryAfterMs === undefined ? {} : { retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)) };
        const text = `customer "${waiting.customer}"${detail === "" ? "" : `: ${detail}`}`;
        decide(waiting, { kind: "refused", refusal: createRefusal(kind, text, options) });
    }

    function decide(waiting: Waiting, verdict: AdmissionVerdict): void {
        queue.remove(waiting.requestId);
        noteWaiting(waiting.customer);
        waiting.decide(verdict);
    }

    function noteWaiting(customer: string): void {
        const items = queue.listByCustomer(customer);
        const largest = items.reduce(
            (most, item) => combineAmounts(most, item.cost, Math.max),
            zeroAmounts,
        );
        book.find(customer)?.setWaiting(items.length, largest);
    }

    /** Wait for the customer's limits of a request behind others, at the share that is held now. */
    function predictLimitWait(account: CustomerQuota, ahead: readonly Waiting[], cost: Amounts) {
        const total = ahead.reduce((sum, item) => addAmounts(sum, item.cost), cost);
        return findShortage(account.rateBuckets, getRates(account.limits()), total);
    }

    /** Wait for upstream capacity behind the customer's own queue and its part of the others'. */
    function predictCapacityWait(waiting: Pick<Waiting, "customer" | "tokens" | "weight">): number {
        const rate = served.rate().promptTokens;
        if (running.size < dependencies.countSlots() || rate <= 0) {
            return 0;
        }
        const heads = queue.listHeads().filter(head => head.customer !== waiting.customer);
        const weights = heads.reduce((sum, head) => sum + head.weight, waiting.weight);
        const ahead = queue.listByCustomer(waiting.customer).reduce((sum, item) => sum + item.tokens, waiting.tokens);
        return (ahead / ((rate * waiting.weight) / weights)) * millisecondsPerSecond;
    }

    /** True while more of the limits may still be lent to this instance; few requests wait for that. */
    function mayGrow(account: CustomerQuota, waitingCount: number): boolean {
        const fraction = account.rateBuckets.fraction();
        const isWithoutShare = fraction <= leastShare;
        return isWithoutShare || (fraction < account.neededFraction() && waitingCount < maxWaitingForLoan);
    }

    function findRefusal(waiting: Waiting, account: CustomerQuota): Refusal | undefined {
        let refusal: Refusal | undefined;
        const probe = {
            ...waiting,
            decide: (verdict: AdmissionVerdict) => {
                refusal = verdict.kind === "refused" ? verdict.refusal : undefined;
            },
        };
        const oversized = findOversized(account, waiting.cost);
        if (oversized !== undefined) {
            refuse(probe, refusalKinds[oversized], undefined, "the request is larger than the burst");
            return refusal;
        }
        const ahead = queue.listByCustomer(waiting.customer);
        const shortage = predictLimitWait(account, ahead, waiting.cost);
        const remainingMs = waiting.giveUpMs - clock.now();
        const retryMs = Number.isFinite(shortage.waitMs) ? shortage.waitMs : maxLimitWaitMs;
        if (shortage.dimension !== undefined && shortage.waitMs > remainingMs && !mayGrow(account, ahead.length)) {
            refuse(probe, refusalKinds[shortage.dimension], retryMs);
        }
        else if (ahead.length >= maxQueueLength) {
            refuse(probe, "queueFull", Math.max(retryMs, permitRetryMs));
        }
        else {
            const capacityMs = predictCapacityWait(waiting);
            if (clock.now() + capacityMs > waiting.req.deadlineMs) {
                refuse(probe, "deadlineTooShort", capacityMs);
            }
        }
        return refusal;
    }

    function tryAdmit(waiting: Waiting): boolean {
        const account = book.find(waiting.customer);
        if (account === undefined) {
            return false;
        }
        const rates = getRates(account.limits());
        if (findShortage(account.rateBuckets, rates, waiting.cost).dimension !== undefined) {
            return false;
        }
        const permit = account.permitPool.tryAcquire(waiting.req.deadlineMs);
        if (permit === undefined) {
            return false;
        }
        account.rateBuckets.credit(combineAmounts(zeroAmounts, waiting.cost, (zero, cost) => zero - cost));
        account.admitted.add(waiting.cost);
        running.set(waiting.requestId, { account, cost: waiting.cost, permit });
        return true;
    }

    /** True when a request cannot be admitted in time any more. */
    function isHopeless(waiting: Waiting): boolean {
        if (clock.now() >= waiting.req.deadlineMs) {
            return true;
        }
        return clock.now() >= waiting.giveUpMs && isWaitingForLimits(waiting);
    }

    function giveUp(waiting: Waiting): void {
        const account = book.find(waiting.customer);
        if (account === undefined) {
            refuse(waiting, "unknownCustomer", undefined);
            return;
        }
        const shortage = predictLimitWait(account, [], waiting.cost);
        if (shortage.dimension !== undefined) {
            const retryMs = Number.isFinite(shortage.waitMs) ? shortage.waitMs : maxLimitWaitMs;
            refuse(waiting, refusalKinds[shortage.dimension], retryMs);
        }
        else if (account.permitPool.countFree() <= 0) {
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

    function isWaitingForLimits(head: Waiting): boolean {
        const account = book.find(head.customer);
        return account === undefined || predictLimitWait(account, [], head.cost).dimension !== undefined
            || account.permitPool.countFree() <= 0;
    }

    function scheduleReview(): void {
        let nextMs = Infinity;
        for (const head of queue.listHeads()) {
            const account = book.find(head.customer);
            const waitMs = account === undefined ? 0 : predictLimitWait(account, [], head.cost).waitMs;
            const reviewInMs = isWaitingForLimits(head) ? Math.min(waitMs, shareReviewMs) : shareReviewMs;
            nextMs = Math.min(nextMs, clock.now() + Math.max(leastReviewMs, reviewInMs));
        }
        if (nextMs < reviewMs) {
            cancelReview?.();
            reviewMs = nextMs;
            cancelReview = clock.after(nextMs - clock.now(), review);
        }
    }

    function review(): void {
        cancelReview?.();
        cancelReview = undefined;
        reviewMs = Infinity;
        const accepted: Waiting[] = [];
        queue.dispatch(waiting => {
            const isAdmitted = tryAdmit(waiting);
            if (isAdmitted) {
                accepted.push(waiting);
            }
            return isAdmitted;
        }, () => running.size < dependencies.countSlots());
        for (const waiting of accepted) {
            noteWaiting(waiting.customer);
            waiting.decide({ kind: "admitted" });
        }
        for (const head of queue.listHeads()) {
            queue.listByCustomer(head.customer).filter(isHopeless).forEach(giveUp);
        }
        scheduleReview();
    }

    function admit(req: AdmissionRequest, answer: (verdict: AdmissionVerdict) => void): void {
        const customer = req.customer.id;
        const account = book.find(customer);
        if (account === undefined) {
            answer({ kind: "refused", refusal: createRefusal("unknownCustomer", `customer "${customer}"`) });
            return;
        }
        const cost = toAmounts(req.cost);
        const waiting: Waiting = {
            requestId: req.requestId,
            customer,
            tokens: 1 + req.cost.promptTokens + req.cost.outputTokens,
            recomputeTokens: req.cost.recomputeTokens ?? req.cost.promptTokens,
            weight: queueWeights[req.customer.classOfService],
            req,
            cost,
            giveUpMs: Math.min(req.deadlineMs, clock.now() + maxLimitWaitMs),
            decide: answer,
        };
        account.offered.add(cost);
        dependencies.onDemand(customer);
        const refusal = findRefusal(waiting, account);
        if (refusal !== undefined) {
            dependencies.onShortage();
            answer({ kind: "refused", refusal });
            return;
        }
        queue.enqueue(waiting);
        noteWaiting(customer);
        shed();
        review();
        if (queue.listByCustomer(customer).length > 0) {
            dependencies.onShortage();
        }
    }

    function settle(requestId: string, used: RequestCost): void {
        const entry = running.get(requestId);
        if (entry === undefined) {
            return;
        }
        running.delete(requestId);
        const { account, cost, permit } = entry;
        account.permitPool.release(permit);
        account.rateBuckets.credit(
            combineAmounts(cost, { ...toAmounts(used), requests: cost.requests }, (had, one) => had - one),
        );
        served.add({ requests: 1, promptTokens: 1 + used.promptTokens + used.outputTokens, outputTokens: 0 });
        review();
    }

    return {
        admit,
        cancel: requestId => {
            const waiting = queue.remove(requestId);
            if (waiting !== undefined) {
                noteWaiting(waiting.customer);
                waiting.decide({ kind: "refused", refusal: createRefusal("cancelled", "") });
            }
        },
        complete: settle,
        reevaluate: review,
    };
}
