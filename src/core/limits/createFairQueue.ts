/**
 * @module
 * Queues of waiting requests, one per customer, dispatched by start-time fair queueing over tokens. It answers a load that
 * exceeds what all customers may use together: each gets a share by weight, however much the others send.
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

/** Options of {@link createFairQueue}. */
export interface FairQueueOptions<T> {
    /** Order of one customer's requests; by default that of their arrival. */
    readonly isBefore?: (left: T, right: T) => boolean;
    /** Number of a customer's requests that are passed to `accept` after one that was not accepted; by default 0. */
    readonly maxSkipped?: number;
    /**
     * Whether a customer is owed its first request while that is not accepted: true where all customers wait for the
     * same capacity, false where its own limits keep it waiting. By default false.
     */
    readonly keepsTurn?: boolean;
}

interface CustomerQueue<T> {
    items: readonly T[];
    tokens: number;
    /** Tokens dispatched per weight; the customer with the fewest goes first. */
    served: number;
}

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
 * @param options - The order of one customer's requests, and what happens to those that are not accepted.
 * @returns Empty queues.
 * @example
 * createFairQueue().totalTokens(); // 0
 */
export function createFairQueue<T extends QueuedRequest>(options: FairQueueOptions<T> = {}): FairQueue<T> {
    const { isBefore = () => false, maxSkipped = 0, keepsTurn = false } = options;
    const queues = new Map<string, CustomerQueue<T>>();
    const customers = new Map<string, string>();
    /** Tokens served per weight to customers without waiting requests, as far as they exceed `level`. */
    const left = new Map<string, number>();
    let totalTokens = 0;
    /** What the customer of the latest dispatched request had been served before. */
    let level = 0;

    function createQueue(customer: string): CustomerQueue<T> {
        return { items: [], tokens: 0, served: Math.max(level, left.get(customer) ?? 0) };
    }

    function enqueue(req: T): void {
        const queue = queues.get(req.customer) ?? createQueue(req.customer);
        const index = queue.items.findIndex(item => isBefore(req, item));
        const at = index === -1 ? queue.items.length : index;
        queue.items = [...queue.items.slice(0, at), req, ...queue.items.slice(at)];
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
            left.set(customer, queue.served);
        }
        return found;
    }

    function raiseLevel(served: number): void {
        level = Math.max(level, served);
        left.forEach((value, customer) => {
            if (value <= level) {
                left.delete(customer);
            }
        });
    }

    /** Finds the customer that was served least; among equals the one that has waited longest. */
    function findNext(passedOver: ReadonlySet<CustomerQueue<T>>): CustomerQueue<T> | undefined {
        let next: CustomerQueue<T> | undefined;
        for (const queue of queues.values()) {
            if (!passedOver.has(queue) && (next === undefined || queue.served < next.served)) {
                next = queue;
            }
        }
        return next;
    }

    /** What a customer is owed at most: the request with which it waits. Otherwise it would later keep all others waiting. */
    const owedFor = ({ items: [head] }: CustomerQueue<T>) => head === undefined ? 0 : head.tokens / head.weight;

    /** Dispatches one request of a customer; returns false when none was accepted. */
    function dispatchFrom(queue: CustomerQueue<T>, accept: (req: T) => boolean, canContinue: () => boolean): boolean {
        for (const req of queue.items.slice(0, maxSkipped + 1)) {
            if (!canContinue()) {
                return false;
            }
            if (accept(req)) {
                const { served } = queue;
                queue.served += req.tokens / req.weight;
                remove(req.requestId);
                raiseLevel(served);
                return true;
            }
        }
        queue.served = Math.max(queue.served, level - (keepsTurn ? owedFor(queue) : 0));
        return false;
    }

    function dispatch(accept: (req: T) => boolean, canContinue: () => boolean): void {
        const passedOver = new Set<CustomerQueue<T>>();
        while (canContinue()) {
            const queue = findNext(passedOver);
            if (queue === undefined) {
                return;
            }
            if (!dispatchFrom(queue, accept, canContinue)) {
                passedOver.add(queue);
            }
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
