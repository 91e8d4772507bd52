/**
 * @module
 * Deterministic fold of orders and their progress.
 */
import type { Catalogue, HeldEntry } from "./catalogue.js";
import type { FoldResult } from "./foldVerdict.js";
import type { AnnouncedLoad, HeldOrder, Order, OrderProgress } from "./orderRecord.js";

/** Maximum number of unfinished orders; a further one has no effect. */
export const maxUnfinishedOrders = 512;

/** Number of ended orders that are retained for `reedwardctl orders`. */
const maxEndedOrders = 256;

/**
 * Folds an operator's order.
 *
 * @param catalogue - The catalogue, with its offset after the record.
 * @param order - The order.
 * @returns The catalogue and whether the order was accepted; a repeated id or an order over the maximum is not.
 * @example
 * foldOrder(catalogue, order).verdict;
 */
export function foldOrder(catalogue: Catalogue, order: Order): FoldResult {
    const unfinished = [...catalogue.orders.values()].filter(held => held.end === undefined).length;
    const isTaken = !catalogue.orders.has(order.orderId) && unfinished < maxUnfinishedOrders;
    const verdict = { kind: "order", orderId: order.orderId, isTaken } as const;
    if (!isTaken) {
        return { catalogue, verdict };
    }
    return { catalogue: { ...catalogue, orders: new Map(catalogue.orders).set(order.orderId, { order }) }, verdict };
}

function endOrders(catalogue: Catalogue, progress: OrderProgress): Catalogue["orders"] {
    const orders = new Map<string, HeldOrder>(catalogue.orders);
    for (const { orderId, outcome, detail } of progress.ordersEnded) {
        const held = orders.get(orderId);
        if (held !== undefined && held.end === undefined) {
            orders.set(orderId, { order: held.order, end: { outcome, detail } });
        }
    }
    const ended = [...orders].filter(([, held]) => held.end !== undefined);
    ended.slice(0, Math.max(0, ended.length - maxEndedOrders)).forEach(([orderId]) => orders.delete(orderId));
    return orders;
}

function moveUpstream(entries: Map<string, HeldEntry>, upstream: string, load: AnnouncedLoad): void {
    const key = `model/${load.model}`;
    const held = entries.get(key);
    if (held?.rollout !== undefined) {
        const moved = { ...held.rollout.moved, [upstream]: load.weightsVersion };
        entries.set(key, { ...held, rollout: { ...held.rollout, moved } });
    }
}

function endRollout(entries: Map<string, HeldEntry>, weights: string): void {
    const key = `model/${weights.slice(0, weights.indexOf("@"))}`;
    const held = entries.get(key);
    if (held?.entry.kind === "model" && `${held.entry.id}@${held.entry.weightsVersion}` === weights) {
        entries.set(key, { entry: held.entry, revision: held.revision });
    }
}

/**
 * Folds progress of orders and rollouts. Progress under a lease that has passed to a later holder has no effect.
 *
 * @param catalogue - The catalogue, with its offset after the record.
 * @param progress - The progress.
 * @returns The catalogue and whether the progress was applied.
 * @example
 * foldOrderProgress(catalogue, progress).verdict;
 */
export function foldOrderProgress(catalogue: Catalogue, progress: OrderProgress): FoldResult {
    const { fencingNumber } = progress;
    if (fencingNumber < catalogue.fence) {
        return { catalogue, verdict: { kind: "progress", fencingNumber, isTaken: false } };
    }
    const entries = new Map(catalogue.entries);
    const loads = new Map(catalogue.loads);
    for (const { upstream, isLoaded } of progress.ended) {
        const load = loads.get(upstream);
        loads.delete(upstream);
        if (load !== undefined && isLoaded) {
            moveUpstream(entries, upstream, load);
        }
    }
    for (const { upstream, ...load } of progress.begun) {
        loads.set(upstream, load as AnnouncedLoad);
    }
    progress.rolledOut.forEach(weights => endRollout(entries, weights));
    const orders = endOrders(catalogue, progress);
    const verdict = { kind: "progress", fencingNumber, isTaken: true } as const;
    return { catalogue: { ...catalogue, entries, loads, orders, fence: fencingNumber }, verdict };
}
