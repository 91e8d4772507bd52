/**
 * @module
 * Quotas of customers on one instance: pledges its share to the owners, grants what others have pledged to it, and asks for what its
 * own requests count as.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import { askOwnersForParts } from "./askOwnersForParts.js";
import { computeQuotaLimit } from "./computeQuotaLimit.js";
import { computeRequestCost } from "./computeRequestCost.js";
import { createPledger } from "./createPledger.js";
import { createQuotaAsker, type QuotaAskResult, type QuotaGrant, type QuotaWaitLimits } from "./createQuotaAsker.js";
import { createQuotaOwner, type QuotaShare } from "./createQuotaOwner.js";
import { findQuotaPool } from "./findQuotaPool.js";
import type { QuotaMessage } from "./quotaMessage.js";
import type { CustomerQuota, QuotaBounds } from "./quotaTypes.js";

/** A request that is charged to its customer's quota. */
export interface QuotaRequest {
    readonly customer: string;
    readonly quota: CustomerQuota;
    /** Prompt and maximum output tokens; undefined when the request states none. */
    readonly tokenCount: number | undefined;
    readonly waitUntil: QuotaWaitLimits;
}

/** Quotas on one instance. */
export interface CustomerQuotas {
    /** Charges a request; returns a function that gives it up. */
    readonly charge: (request: QuotaRequest, onResult: (result: QuotaAskResult) => void) => CancelTimer;
    /** Gives back what a request that has not run was charged. */
    readonly giveBack: (grant: QuotaGrant) => void;
    readonly receive: (from: string, message: QuotaMessage) => void;
    /** Takes note of the fleet and the configuration; called often. */
    readonly update: () => void;
    /** Shares that this instance grants. */
    readonly describeShares: () => readonly QuotaShare[];
    readonly countWaiting: () => number;
    /** Forgets what it may grant, after a pause of the process. */
    readonly clear: () => void;
    readonly stop: () => void;
}

/** Dependencies of {@link createCustomerQuotas}. */
export interface CustomerQuotasDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly self: string;
    readonly bounds: QuotaBounds;
    /** Quotas in force, by customer. */
    readonly quotas: () => ReadonlyMap<string, CustomerQuota>;
    /** Names of the instances that may own quotas, this one included if it may. */
    readonly listCandidates: () => readonly string[];
    /** Upper bound on the instances that run; undefined while it is not known. */
    readonly countInstances: () => number | undefined;
    /** When the processes of the other live instances started, by name. */
    readonly starts: () => ReadonlyMap<string, number>;
    /** Whether this instance may pledge: what an earlier process of it has pledged is over, or goes to the same owners. */
    readonly mayPledge: () => boolean;
    /** Whether this instance may own quotas. */
    readonly mayOwn: () => boolean;
    readonly send: (to: string, message: QuotaMessage) => void;
    /** Receives an owner that does not answer. */
    readonly onSilentOwner: (owner: string) => void;
}

/**
 * Creates the quotas of an instance.
 *
 * @param deps - The fleet and the quotas in force.
 * @returns The quotas.
 * @example
 * createCustomerQuotas(deps).charge({ customer: "clinic", quota, tokenCount: 900, waitUntil }, resume);
 */
export function createCustomerQuotas(deps: CustomerQuotasDependencies): CustomerQuotas {
    const { clock, random, self, bounds } = deps;
    /** Starts of the processes whose pledges count, by instance. */
    const pledgerStarts = new Map<string, number | undefined>();

    function countInstances(): number | undefined {
        const own = deps.countInstances();
        const told = pledger?.largestSize();
        return own === undefined && told === undefined ? undefined : Math.max(own ?? 0, told ?? 0);
    }

    const owner = createQuotaOwner({
        self,
        now: clock.now,
        random,
        bounds,
        quotas: deps.quotas,
        countInstances: deps.countInstances,
        mayOwn: deps.mayOwn,
        isCurrent: from => deps.starts().get(from) === pledgerStarts.get(from),
    });
    const send = (to: string, quota: QuotaMessage["quota"]) => deps.send(to, { quota });

    function listPools(): readonly number[] {
        const pools = [...deps.quotas()].map(([customer, quota]) => findQuotaPool(customer, quota, bounds));
        return [...new Set(pools)].toSorted((left, right) => left - right);
    }

    let pledger: ReturnType<typeof createPledger> | undefined = undefined;
    const startedPledger = createPledger({
        clock,
        random,
        self,
        listCandidates: deps.listCandidates,
        listPools,
        mayPledge: deps.mayPledge,
        countInstances,
        send,
        pledgeSelf: owner.pledgeSelf,
        onSilent: deps.onSilentOwner,
    });
    pledger = startedPledger;

    const asker = createQuotaAsker({
        clock,
        random,
        findOwners: startedPledger.findOwners,
        sendAsk: (to, items) => {
            if (to === self) {
                const { epoch, items: answers } = owner.grant(items);
                asker.receiveAnswer(self, epoch, answers);
                return;
            }
            send(to, { kind: "ask", items });
        },
        sendReturn: (to, epoch, items) => {
            if (to === self) {
                owner.takeBack(epoch, items);
                return;
            }
            send(to, { kind: "return", epoch, items });
        },
    });

    function receive(from: string, { quota: message }: QuotaMessage): void {
        switch (message.kind) {
            case "pledge":
                pledgerStarts.set(from, deps.starts().get(from));
                send(from, owner.receivePledge(from, message));
                break;
            case "receipt":
                startedPledger.receiveReceipt(from, message);
                break;
            case "ask":
                send(from, owner.grant(message.items));
                break;
            case "answer":
                asker.receiveAnswer(from, message.epoch, message.items);
                break;
            case "return":
                owner.takeBack(message.epoch, message.items);
                break;
        }
    }

    return {
        charge: ({ customer, quota, tokenCount, waitUntil }, onResult) => {
            const cost = computeRequestCost(quota, tokenCount, bounds);
            const pool = findQuotaPool(customer, quota, bounds);
            const request = { customer, cost, pool, waitUntil };
            const owners = startedPledger.findOwners(pool);
            const isLarge = cost > computeQuotaLimit(quota, 1 / Math.max(1, owners.length), bounds).capacity;
            return isLarge && owners.length > 1
                ? askOwnersForParts(asker, request, owners, onResult)
                : asker.ask(request, onResult);
        },
        giveBack: asker.giveBack,
        receive,
        update: () => {
            startedPledger.update();
            owner.update();
            const starts = deps.starts();
            [...pledgerStarts.keys()].filter(name => !starts.has(name)).forEach(name => pledgerStarts.delete(name));
        },
        describeShares: owner.describeShares,
        countWaiting: asker.countOpen,
        clear: owner.clear,
        stop: startedPledger.stop,
    };
}
