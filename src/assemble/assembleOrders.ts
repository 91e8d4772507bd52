/**
 * @module
 * Assembles the execution of operators' orders to engines, under a lease on the log.
 */
import { randomUUID } from "node:crypto";
import type { WriteLog } from "../core/logEvents/logEventTable.js";
import type { MembershipView } from "../core/membership/memberTypes.js";
import { rankMembers } from "../core/membership/rankMembers.js";
import { hasUnfinishedWork } from "../core/orders/hasUnfinishedWork.js";
import type { EnginePort } from "../core/ports/enginePort.js";
import type { LogPort } from "../core/ports/logPort.js";
import type { ReadWeightVersions } from "../core/ports/platformPort.js";
import type { Clock } from "../core/time/clock.js";
import type { CatalogueFollower } from "../io/catalogue/followCatalogue.js";
import type { Metrics } from "../io/metrics/createMetrics.js";
import { createWeightStoreView } from "../io/orders/createWeightStoreView.js";
import { maintainLease } from "../io/orders/maintainLease.js";
import { runOrders } from "../io/orders/runOrders.js";

/** What the orders need from the instance. */
export interface OrdersContext {
    readonly instance: string;
    readonly log: LogPort;
    readonly clock: Clock;
    readonly writeLog: WriteLog;
    readonly metrics: Metrics;
    readonly engines: EnginePort;
    readonly follower: CatalogueFollower;
    /** The members of the fleet; undefined before the instance has joined it and while it stops. */
    readonly membership: () => MembershipView | undefined;
    /** Undefined when there is no weight store. */
    readonly readVersions: ReadWeightVersions | undefined;
}

/** Number of instances that contend for the lease under which orders are sent. */
const leaseContenders = 3;

/**
 * Starts to execute orders whenever this instance holds the lease.
 *
 * @param context - The instance.
 * @returns A function that stops it.
 */
export function assembleOrders(context: OrdersContext): () => void {
    const { instance, log, clock, writeLog, metrics, engines, follower, membership } = context;

    /** Only a few instances contend for the lease, so that not all of them read the log while orders are pending. */
    function isContender(): boolean {
        const members = membership()?.members ?? [];
        return rankMembers(members, "orders").slice(0, leaseContenders).includes(instance);
    }

    const lease = maintainLease({
        log,
        clock,
        random: Math.random,
        createSession: randomUUID,
        writeLog,
        instance,
        isWanted: () => membership() !== undefined && hasUnfinishedWork(follower.current()) && isContender(),
    });
    const stopRunning = runOrders({
        log,
        clock,
        engines,
        lease,
        instance,
        catalogue: follower.current,
        countOrder: (action, result) => metrics.orders.inc({ action, result }),
        hasWeights: createWeightStoreView(context.readVersions, clock).has,
        writeLog,
    });
    return () => {
        stopRunning();
        lease.stop();
    };
}
