/**
 * @module
 * The deterministic fold of orders and of their progress.
 */
import type { Catalogue, HeldEntry } from "./catalogue.js";
import type { FoldResult } from "./foldVerdict.js";
import type { HeldOrder, LoadMark, Order, OrderProgress } from "./orderRecord.js";

/** Orders that may be unfinished at the same time; a further one has no effect. */
export const maxUnfinishedOrders = 512;

/** Ended orders that are kept for `reedwardctl orders`. */
const keptEndedOrders = 256;

/**
 * Folds an operator's order.
 *
 * @param catalogue - The catalogue, with its offset after the record.
 * @param order - The order.
 * @returns The catalogue and whether the order was taken; a repeated id and one too many are not.
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
    ended.slice(0, Math.max(0, ended.length - keptEndedOrders)).forEach(([orderId]) => orders.delete(orderId));
    return orders;
}

function moveUpstream(entries: Map<string, HeldEntry>, upstream: string, mark: LoadMark): void {
    const key = `model/${mark.model}`;
    const held = entries.get(key);
    if (held?.rollout !== undefined) {
        const moved = { ...held.rollout.moved, [upstream]: mark.weightsVersion };
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
 * Folds progress of orders and rollouts. Progress under a lease that a later holder has followed has no effect.
 *
 * @param catalogue - The catalogue, with its offset after the record.
 * @param progress - The progress.
 * @returns The catalogue and whether the progress was taken.
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
        const mark = loads.get(upstream);
        loads.delete(upstream);
        if (mark !== undefined && isLoaded) {
            moveUpstream(entries, upstream, mark);
        }
    }
    for (const { upstream, ...mark } of progress.begun) {
        loads.set(upstream, mark as LoadMark);
    }
    progress.rolledOut.forEach(weights => endRollout(entries, weights));
    const orders = endOrders(catalogue, progress);
    const verdict = { kind: "progress", fencingNumber, isTaken: true } as const;
    return { catalogue: { ...catalogue, entries, loads, orders, fence: fencingNumber }, verdict };
}
