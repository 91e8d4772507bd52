/**
 * @module
 * Assembles the quotas of customers: what this instance grants to others, and what its own requests are charged.
 */
import { memoizeFor } from "../core/_lib/memoizeFor.js";
import { createRefusal } from "../core/errors/createRefusal.js";
import type { FleetMember } from "../core/fleet/createFleetView.js";
import type { FleetInstance } from "../core/fleet/heartbeat.js";
import type { ProxyRequest } from "../core/proxy/proxyTypes.js";
import { createCustomerQuotas, type CustomerQuotas } from "../core/quotas/createCustomerQuotas.js";
import { createInstanceCensus } from "../core/quotas/createInstanceCensus.js";
import type { QuotaAskResult, QuotaWaitLimits } from "../core/quotas/createQuotaAsker.js";
import { listQuotaCandidates } from "../core/quotas/listQuotaCandidates.js";
import type { QuotaMessage } from "../core/quotas/quotaMessage.js";
import { pledgeTermMs } from "../core/quotas/quotaTimes.js";
import type { CustomerQuota } from "../core/quotas/quotaTypes.js";
import type { ChargeQuota } from "../io/proxy/createRequestRunner.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** The other instances, as quotas see them. */
export interface QuotaPeers {
    readonly listLive: () => readonly FleetMember[];
    /** Number of other instances that are known or may run at a known address; undefined before the addresses are read. */
    readonly countAddresses: () => number | undefined;
    readonly send: (names: readonly string[], message: QuotaMessage) => void;
    /** Whether this instance starts, serves or leaves. */
    readonly ownState: () => FleetInstance["state"] | undefined;
    /** Detects a pause of the process, after which nothing may be granted on what was known before. */
    readonly checkPause: () => void;
}

/** Quotas of this instance. */
export interface InstanceQuotas extends Pick<CustomerQuotas, "receive" | "update" | "countWaiting" | "clear" | "stop"> {
    readonly charge: ChargeQuota;
    /** Number of pools of customers of which this instance grants a share. */
    readonly countOwnedPools: () => number;
}

/** Time after the start for which addresses count at which no instance has been heard of, in milliseconds. */
const contactRetentionMs = 60_000;

/** Part of the latency objective for which a request waits until its customer's quota allows it. */
const spentWaitShare = 0.25;

/** Part of the time until its deadline for which a request waits for an owner. */
const unreadyWaitShare = 1 / 3;

/** Lifetime of lists that are read for each request or message, in milliseconds. */
const viewLifetimeMs = 50;

/** Change of a share from which on it is logged. */
const loggedChange = 0.1;

function findWaitLimits({ arrivedMs, deadlineMs, route }: ProxyRequest): QuotaWaitLimits {
    return {
        spentMs: Math.min(deadlineMs, arrivedMs + route.targetLatencyMs * spentWaitShare),
        unreadyMs: arrivedMs + (deadlineMs - arrivedMs) * unreadyWaitShare,
    };
}

/**
 * Assembles the quotas.
 *
 * @param context - The instance.
 * @param views - The configuration in force.
 * @param peers - The other instances.
 * @returns The quotas.
 */
export function assembleQuotas(context: InstanceContext, views: InstanceViews, peers: QuotaPeers): InstanceQuotas {
    const { clock, random, settings, metrics, writeLog } = context;
    const census = createInstanceCensus();
    const startedMs = clock.now();
    const ageMs = () => clock.now() - startedMs;
    const loggedShares = new Map<number, number>();

    const quotas = memoizeFor(viewLifetimeMs, clock.now, (): ReadonlyMap<string, CustomerQuota> => {
        const customers = views.routes()?.table.customers ?? [];
        return new Map(customers.flatMap(({ name, quota }) => (quota === undefined ? [] : [[name, quota] as const])));
    });

    function countInstances(): number | undefined {
        const addresses = peers.countAddresses();
        if (addresses === undefined) {
            return undefined;
        }
        const others = census.countOthers(clock.now());
        return 1 + (ageMs() < contactRetentionMs ? Math.max(addresses, others) : others);
    }

    /** An earlier process of this instance may have pledged its share to the owners that the others see. */
    function mayPledge(): boolean {
        const size = countInstances();
        return ageMs() >= pledgeTermMs || (size !== undefined && (peers.listLive().length + 1) * 2 > size);
    }

    function listCandidates(): readonly string[] {
        const state = peers.ownState();
        const own = state === undefined ? [] : [{ name: settings.instance, state }];
        return listQuotaCandidates([...own, ...peers.listLive().map(({ instance }) => instance)]);
    }
    const mayOwn = memoizeFor(viewLifetimeMs, clock.now, () => listCandidates().includes(settings.instance));

    const customerQuotas = createCustomerQuotas({
        clock,
        random,
        self: settings.instance,
        bounds: settings.quotaBounds,
        quotas,
        listCandidates,
        countInstances,
        starts: memoizeFor(
            viewLifetimeMs,
            clock.now,
            () => new Map(peers.listLive().map(({ instance }) => [instance.name, instance.startedAtMs])),
        ),
        mayPledge,
        mayOwn,
        send: (to, message) => peers.send([to], message),
        onSilentOwner: owner => writeLog("quotaOwnerSilent", { owner }),
    });

    function logShares(): void {
        const shares = new Map(customerQuotas.describeShares().map(({ pool, share }) => [pool, share]));
        const pools = new Set([...shares.keys(), ...loggedShares.keys()]);
        const isChanged = (pool: number) =>
            Math.abs((shares.get(pool) ?? 0) - (loggedShares.get(pool) ?? 0)) > loggedChange;
        const changed = [...pools].filter(isChanged).map(pool => ({ pool, share: shares.get(pool) ?? 0 }));
        if (changed.length > 0) {
            changed.forEach(({ pool, share }) => loggedShares.set(pool, share));
            writeLog("quotaSharesChanged", { changed, instances: countInstances(), live: peers.listLive().length + 1 });
        }
    }

    function logRefused(req: ProxyRequest, quota: CustomerQuota, result: QuotaAskResult): void {
        if (result.kind === "refused") {
            writeLog("quotaRefused", {
                requestId: req.id,
                customer: req.customer?.name,
                ...quota,
                tokenCount: req.tokenCount,
                isSpent: result.isSpent,
                owners: result.owners,
                waitedMs: Math.round(clock.now() - req.arrivedMs),
                retryAfterMs: Math.round(result.retryAfterMs),
            });
        }
    }

    const charge: ChargeQuota = (req, quota, onResult) => {
        peers.checkPause();
        const request = {
            customer: req.customer?.name ?? "",
            quota,
            tokenCount: req.tokenCount,
            waitUntil: findWaitLimits(req),
        };
        return customerQuotas.charge(request, result => {
            logRefused(req, quota, result);
            if (result.kind === "granted") {
                const { grant } = result;
                metrics.quotaUse.inc({ unit: quota.unit, use: "granted" }, grant.cost);
                const giveBack = () => {
                    metrics.quotaUse.inc({ unit: quota.unit, use: "givenBack" }, grant.cost);
                    customerQuotas.giveBack(grant);
                };
                onResult({ kind: "charged", giveBack });
                return;
            }
            const { isSpent, retryAfterMs } = result;
            metrics.quotaRefusals.inc({ cause: isSpent ? "spent" : "unready" });
            const detail = isSpent ? "" : "no owner of the quota answers";
            const refusal = createRefusal(isSpent ? "quotaSpent" : "quotaUnavailable", detail, { retryAfterMs });
            onResult({ kind: "refused", refusal });
        });
    };

    return {
        charge,
        receive: customerQuotas.receive,
        update: () => {
            const live = peers.listLive().map(({ instance: { name, state } }) => ({
                name,
                isLeaving: state === "leaving",
            }));
            census.update(live, clock.now());
            customerQuotas.update();
            logShares();
        },
        countOwnedPools: () => customerQuotas.describeShares().length,
        countWaiting: customerQuotas.countWaiting,
        clear: customerQuotas.clear,
        stop: customerQuotas.stop,
    };
}
