/**
 * @module
 * Runs orders while this instance holds the lease: polls engines, sends orders and records progress. A load is
 * announced in a folded record before its order is sent.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { findEntry } from "../../core/catalogue/catalogue.js";
import type { OrderProgress } from "../../core/catalogue/orderRecord.js";
import { orderValidMs } from "../../core/leases/leaseView.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import { listWatchedEngines } from "../../core/orders/listWatchedEngines.js";
import { type Plan, type PlannedOrder, planOrders } from "../../core/orders/planOrders.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { PortFailure } from "../../core/ports/portFailure.js";
import type { Clock } from "../../core/time/clock.js";
import { createEngineObserver } from "./createEngineObserver.js";
import type { LeaseManager } from "./maintainLease.js";

/** Dependencies of running orders. */
export interface OrderRunnerDependencies {
    readonly log: LogPort;
    readonly clock: Clock;
    readonly engines: Pick<EnginePort, "readState" | "readLoad" | "sendOrder">;
    readonly lease: LeaseManager;
    readonly instance: string;
    readonly catalogue: () => Catalogue;
    /** Whether the weight store holds "model@version". */
    readonly hasWeights: (weights: string) => boolean;
    readonly writeLog: WriteLog;
    /** Counts the calls to engines by result. */
    readonly countOrder?: (action: PlannedOrder["action"], result: "sent" | PortFailure["kind"]) => void;
    readonly plan?: typeof planOrders;
}

const tickMs = 500;

/** Interval after which an order whose effect was not observed is sent again, in milliseconds. */
const resendMs = 3_000;

/** Time to wait until recorded progress is folded, in milliseconds. */
const foldTimeoutMs = 4_000;
const foldPollMs = 20;

function isEmpty(progress: Plan["progress"]): boolean {
    return Object.values(progress).every(list => list.length === 0);
}

/**
 * Starts to run orders.
 *
 * @param dependencies - The lease, the log and the engines.
 * @returns A function that stops it.
 */
export function runOrders(dependencies: OrderRunnerDependencies): () => void {
    const { log, clock, lease, writeLog } = dependencies;
    const plan = dependencies.plan ?? planOrders;
    const observer = createEngineObserver(dependencies.engines, clock);
    const loadSeenMs = new Map<string, number>();
    const sentMs = new Map<string, number>();
    let isStopped = false;
    let cancelTimer: () => void = () => undefined;

    function pause(durationMs: number): Promise<void> {
        return new Promise(resolve => {
            cancelTimer = clock.after(durationMs, resolve);
        });
    }

    /** Returns whether the record is folded; later decisions depend only on the fold. */
    async function record(progress: Plan["progress"], fencingNumber: number): Promise<boolean> {
        const payload: OrderProgress = {
            kind: "orderProgress",
            author: dependencies.instance,
            fencingNumber,
            ...progress,
        };
        const appended = await log.append("catalogue", [JSON.stringify(payload)]);
        const endMs = clock.now() + foldTimeoutMs;
        while (appended.isOk && clock.now() < endMs && !isStopped) {
            if (dependencies.catalogue().nextOffset > appended.value.firstOffset) {
                return true;
            }
            await pause(foldPollMs);
        }
        return false;
    }

    /** Appends the first record of a lease; once it is folded, no earlier holder can announce anything. */
    async function raiseFence(fencingNumber: number): Promise<boolean> {
        if (dependencies.catalogue().fence >= fencingNumber) {
            return dependencies.catalogue().fence === fencingNumber;
        }
        return await record({ begun: [], ended: [], ordersEnded: [], rolledOut: [] }, fencingNumber);
    }

    function updateSeenLoads(): void {
        const { loads } = dependencies.catalogue();
        for (const upstream of loads.keys()) {
            if (!loadSeenMs.has(upstream)) {
                loadSeenMs.set(upstream, clock.now());
            }
        }
        for (const upstream of loadSeenMs.keys()) {
            if (!loads.has(upstream)) {
                loadSeenMs.delete(upstream);
            }
        }
    }

    async function send(order: PlannedOrder): Promise<void> {
        const upstream = findEntry(dependencies.catalogue(), "upstream", order.upstream);
        // The lease is checked directly before the call, after all waits.
        const fencingNumber = lease.findFencingNumber();
        if (upstream === undefined || fencingNumber === undefined) {
            return;
        }
        const { orderId, action, model, weightsVersion, role } = order;
        sentMs.set(orderId, clock.now());
        const answer = await dependencies.engines.sendOrder(upstream.address, {
            orderId,
            action,
            model,
            weightsVersion,
            role,
            fencingNumber,
            validForMs: orderValidMs,
        });
        dependencies.countOrder?.(action, answer.isOk ? "sent" : answer.error.kind);
        const fields = { upstream: order.upstream, action, model, weightsVersion, fencingNumber };
        writeLog(answer.isOk ? "orderSent" : "orderFailed", answer.isOk ? fields : { ...fields, ...answer.error });
    }

    function isSendDue(order: PlannedOrder): boolean {
        return clock.now() - (sentMs.get(order.orderId) ?? -Infinity) >= resendMs;
    }

    function forgetOldSends(): void {
        for (const [orderId, atMs] of sentMs) {
            if (clock.now() - atMs >= resendMs) {
                sentMs.delete(orderId);
            }
        }
    }

    function logEnds(progress: Plan["progress"]): void {
        progress.ordersEnded.forEach(one => writeLog("orderEnded", { ...one }));
        progress.rolledOut.forEach(weights => writeLog("rolloutDone", { weights }));
    }

    async function tick(fencingNumber: number): Promise<void> {
        if (!await raiseFence(fencingNumber)) {
            return;
        }
        const watched = listWatchedEngines(dependencies.catalogue());
        await observer.observe(watched, dependencies.catalogue().loads.size);
        updateSeenLoads();
        forgetOldSends();
        const { progress, sends } = plan({
            catalogue: dependencies.catalogue(),
            engines: observer.findFresh(watched),
            loadAgeMs: upstream => clock.now() - (loadSeenMs.get(upstream) ?? clock.now()),
            wallMs: clock.wallNow(),
            hasWeights: dependencies.hasWeights,
        });
        await Promise.all(sends.filter(isSendDue).map(send));
        if (!isEmpty(progress) && lease.findFencingNumber() === fencingNumber) {
            const isFolded = await record(progress, fencingNumber);
            if (isFolded) {
                logEnds(progress);
            }
        }
    }

    async function run(): Promise<void> {
        while (!isStopped) {
            const fencingNumber = lease.findFencingNumber();
            if (fencingNumber !== undefined) {
                await tick(fencingNumber);
            }
            await pause(tickMs);
        }
    }

    void run();
    return () => {
        isStopped = true;
        cancelTimer();
    };
}
