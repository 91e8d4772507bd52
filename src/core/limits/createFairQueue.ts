/**
 * @module
 * Queues of waiting requests, one per customer, dispatched by deficit round robin over tokens.
 */

/** A waiting request. */
export interface QueuedRequest {
    readonly requestId: string;
    readonly customer: string;
    /** Cost in tokens, at least 1. */
    readonly tokens: number;
    /** Prompt tokens that no cache is expected to hold. */
    readonly recomputeTokens: number;
    /** Weight of the customer's class of service. */
    readonly weight: number;
}

/** The queues of an instance. */
export interface FairQueue<T extends QueuedRequest> {
    readonly enqueue: (req: T) => void;
    readonly remove: (requestId: string) => T | undefined;
    /** Passes queue heads to `accept` in fair order until none is accepted or `canContinue` returns false. */
    readonly dispatch: (accept: (req: T) => boolean, canContinue: () => boolean) => void;
    readonly listHeads: () => readonly T[];
    readonly listByCustomer: (customer: string) => readonly T[];
    /** Returns the request to shed when the queues exceed `maxTokens`; undefined when no customer exceeds its share. */
    readonly findVictim: (maxTokens: number, order: VictimOrder) => T | undefined;
    readonly totalTokens: () => number;
}

/** Which request of the chosen customer is shed: the newest, or the one that needs the most recomputation. */
export type VictimOrder = "newestFirst" | "recomputeFirst";

interface CustomerQueue<T> {
    items: readonly T[];
    deficit: number;
    tokens: number;
}

/** Tokens that a customer of weight 1 may dispatch in each round. */
const quantumTokens = 512;

function chooseVictim<T extends QueuedRequest>(items: readonly T[], order: VictimOrder): T {
    const newest = items[items.length - 1]!;
    if (order === "newestFirst") {
        return newest;
    }
    return items.reduce((most, item) => item.recomputeTokens >= most.recomputeTokens ? item : most, items[0]!);
}

/**
 * Creates fair queues.
 *
 * @returns Empty queues.
 * @example
 * createFairQueue().totalTokens(); // 0
 */
export function createFairQueue<T extends QueuedRequest>(): FairQueue<T> {
    const queues = new Map<string, CustomerQueue<T>>();
    const customers = new Map<string, string>();
    let totalTokens = 0;

    function enqueue(req: T): void {
        const queue = queues.get(req.customer) ?? { items: [], deficit: 0, tokens: 0 };
        queue.items = [...queue.items, req];
        queue.tokens += req.tokens;
        totalTokens += req.tokens;
        customers.set(req.requestId, req.customer);
        queues.set(req.customer, queue);
    }

    function remove(requestId: string): T | undefined {
        const customer = customers.get(requestId);
        const queue = customer === undefined ? undefined : queues.get(customer);
        const found = queue?.items.find(item => item.requestId === requestId);
        if (customer === undefined || queue === undefined || found === undefined) {
            return undefined;
        }
        customers.delete(requestId);
        queue.items = queue.items.filter(item => item !== found);
        queue.tokens -= found.tokens;
        totalTokens -= found.tokens;
        if (queue.items.length === 0) {
            queues.delete(customer);
        }
        return found;
    }

    /** Dispatches from one customer's queue for one round; returns true when its head only lacks deficit. */
    function dispatchFrom(queue: CustomerQueue<T>, accept: (req: T) => boolean, canContinue: () => boolean): boolean {
        queue.deficit += quantumTokens * queue.items[0]!.weight;
        while (queue.items.length > 0 && canContinue()) {
            const head = queue.items[0]!;
            if (head.tokens > queue.deficit) {
                return true;
            }
            if (!accept(head)) {
                queue.deficit = 0;
                return false;
            }
            queue.deficit -= head.tokens;
            remove(head.requestId);
        }
        return false;
    }

    /** Moves a customer behind the others after its round, so that the next call begins with the next customer. */
    function rotate(customer: string): void {
        const queue = queues.get(customer);
        if (queue !== undefined) {
            queues.delete(customer);
            queues.set(customer, queue);
        }
    }

    function dispatch(accept: (req: T) => boolean, canContinue: () => boolean): void {
        let shortOfDeficit = new Set(queues.keys());
        while (shortOfDeficit.size > 0) {
            const next = new Set<string>();
            for (const customer of shortOfDeficit) {
                if (!canContinue()) {
                    return;
                }
                const queue = queues.get(customer);
                if (queue !== undefined && dispatchFrom(queue, accept, canContinue)) {
                    next.add(customer);
                }
                rotate(customer);
            }
            shortOfDeficit = next;
        }
    }

    function findVictim(maxTokens: number, order: VictimOrder): T | undefined {
        if (totalTokens <= maxTokens) {
            return undefined;
        }
        const weightOf = (queue: CustomerQueue<T>) => queue.items[0]!.weight;
        const weights = [...queues.values()].reduce((sum, queue) => sum + weightOf(queue), 0);
        const exceeding = [...queues.values()].filter(queue => queue.tokens > (maxTokens * weightOf(queue)) / weights);
        exceeding.sort((left, right) => weightOf(left) - weightOf(right) || right.tokens - left.tokens);
        const chosen = exceeding[0];
        return chosen === undefined ? undefined : chooseVictim(chosen.items, order);
    }

    return {
        enqueue,
        remove,
        dispatch,
        listHeads: () => [...queues.values()].map(queue => queue.items[0]!),
        listByCustomer: customer => queues.get(customer)?.items ?? [],
        findVictim,
        totalTokens: () => totalTokens,
    };
}
