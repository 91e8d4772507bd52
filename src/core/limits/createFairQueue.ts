/**
 * @module
 * Queues of waiting requests, one for each customer, served by deficit round robin over tokens.
 */

/** A request that waits. */
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
    /** Hands heads to `accept` in fair order until none is accepted or `canContinue` says stop. */
    readonly dispatch: (accept: (req: T) => boolean, canContinue: () => boolean) => void;
    readonly listHeads: () => readonly T[];
    readonly listByCustomer: (customer: string) => readonly T[];
    /** Request that is given up first when the queues hold too much; undefined when no customer exceeds its part. */
    readonly findVictim: (maxTokens: number, order: VictimOrder) => T | undefined;
    readonly totalTokens: () => number;
}

/** Which request of the chosen customer is given up: the newest, or the one that costs the most recomputation. */
export type VictimOrder = "newestFirst" | "recomputeFirst";

interface Line<T> {
    items: readonly T[];
    deficit: number;
    tokens: number;
}

/** Tokens that a customer of weight 1 may send in each round. */
const quantumTokens = 512;

function chooseVictim<T extends QueuedRequest>(items: readonly T[], order: VictimOrder): T {
    const newest = items[items.length - 1]!;
    if (order === "newestFirst") {
        return newest;
    }
    return items.reduce((most, item) => item.recomputeTokens >= most.recomputeTokens ? item : most, items[0]!);
}

/**
 * Creates the queues.
 *
 * @returns Empty queues.
 * @example
 * createFairQueue().totalTokens(); // 0
 */
export function createFairQueue<T extends QueuedRequest>(): FairQueue<T> {
    const lines = new Map<string, Line<T>>();
    const customers = new Map<string, string>();
    let totalTokens = 0;

    function push(req: T): void {
        const line = lines.get(req.customer) ?? { items: [], deficit: 0, tokens: 0 };
        line.items = [...line.items, req];
        line.tokens += req.tokens;
        totalTokens += req.tokens;
        customers.set(req.requestId, req.customer);
        lines.set(req.customer, line);
    }

    function remove(requestId: string): T | undefined {
        const customer = customers.get(requestId);
        const line = customer === undefined ? undefined : lines.get(customer);
        const found = line?.items.find(item => item.requestId === requestId);
        if (customer === undefined || line === undefined || found === undefined) {
            return undefined;
        }
        customers.delete(requestId);
        line.items = line.items.filter(item => item !== found);
        line.tokens -= found.tokens;
        totalTokens -= found.tokens;
        if (line.items.length === 0) {
            lines.delete(customer);
        }
        return found;
    }

    /** Serves one customer for one round; tells whether its head is only short of deficit. */
    function serveLine(line: Line<T>, accept: (req: T) => boolean, canContinue: () => boolean): boolean {
        line.deficit += quantumTokens * line.items[0]!.weight;
        while (line.items.length > 0 && canContinue()) {
            const head = line.items[0]!;
            if (head.tokens > line.deficit) {
                return true;
            }
            if (!accept(head)) {
                line.deficit = 0;
                return false;
            }
            line.deficit -= head.tokens;
            remove(head.requestId);
        }
        return false;
    }

    /** Moves a served customer behind the others, so that the next call begins with the next customer. */
    function rotate(customer: string): void {
        const line = lines.get(customer);
        if (line !== undefined) {
            lines.delete(customer);
            lines.set(customer, line);
        }
    }

    function serve(accept: (req: T) => boolean, canContinue: () => boolean): void {
        let waitingForDeficit = new Set(lines.keys());
        while (waitingForDeficit.size > 0) {
            const next = new Set<string>();
            for (const customer of waitingForDeficit) {
                if (!canContinue()) {
                    return;
                }
                const line = lines.get(customer);
                if (line !== undefined && serveLine(line, accept, canContinue)) {
                    next.add(customer);
                }
                rotate(customer);
            }
            waitingForDeficit = next;
        }
    }

    function findVictim(maxTokens: number, order: VictimOrder): T | undefined {
        if (totalTokens <= maxTokens) {
            return undefined;
        }
        const weightOf = (line: Line<T>) => line.items[0]!.weight;
        const weights = [...lines.values()].reduce((sum, line) => sum + weightOf(line), 0);
        const excessive = [...lines.values()].filter(line => line.tokens > (maxTokens * weightOf(line)) / weights);
        excessive.sort((left, right) => weightOf(left) - weightOf(right) || right.tokens - left.tokens);
        const chosen = excessive[0];
        return chosen === undefined ? undefined : chooseVictim(chosen.items, order);
    }

    return {
        enqueue: push,
        remove,
        dispatch: serve,
        listHeads: () => [...lines.values()].map(line => line.items[0]!),
        listByCustomer: customer => lines.get(customer)?.items ?? [],
        findVictim,
        totalTokens: () => totalTokens,
    };
}
