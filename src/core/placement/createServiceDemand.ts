/**
 * @module
 * Observes the requests of a service that arrive at this instance, by priority, and for how long upstreams are busy with them.
 */

/** Requests of some priorities as they arrive at this instance. */
export interface Demand {
    readonly requestsPerMs: number;
    /** Mean memory that one of them needs for its own parts, in tokens. */
    readonly meanTokens: number;
}

/** Observed demand by service. Times are milliseconds on the instance's clock. */
export interface ServiceDemand {
    readonly recordArrival: (service: string, priority: number, tokens: number, nowMs: number) => void;
    /** Records that an upstream was busy with a request for `heldMs`. */
    readonly recordHold: (service: string, heldMs: number, nowMs: number) => void;
    /** Demand of requests that are more urgent than `priority`. */
    readonly readMoreUrgent: (service: string, priority: number, nowMs: number) => Demand;
    /** Mean time for which an upstream is busy with a request; undefined before the first one has ended. */
    readonly readHoldMs: (service: string) => number | undefined;
}

/**
 * Time over which arrivals are averaged, in milliseconds: a burst shows within it, and an instance among hundreds still sees
 * several requests in it.
 */
const windowMs = 4_000;

/** Amounts that decay over the window. */
interface DecayingSum {
    requests: number;
    amount: number;
    atMs: number;
}

function decay(sum: DecayingSum, nowMs: number): void {
    const factor = Math.exp((sum.atMs - nowMs) / windowMs);
    sum.requests *= factor;
    sum.amount *= factor;
    sum.atMs = nowMs;
}

function add(sums: Map<string | number, DecayingSum>, key: string | number, amount: number, nowMs: number): void {
    const sum = sums.get(key) ?? { requests: 0, amount: 0, atMs: nowMs };
    decay(sum, nowMs);
    sum.requests += 1;
    sum.amount += amount;
    sums.set(key, sum);
}

/**
 * Creates the observation, without requests.
 *
 * @returns The observed demand.
 * @example
 * const demand = createServiceDemand();
 * demand.recordArrival("adapt", 0, 900, clock.now());
 * demand.readMoreUrgent("adapt", 2, clock.now()).meanTokens; // 900
 */
export function createServiceDemand(): ServiceDemand {
    const arrivals = new Map<string, Map<string | number, DecayingSum>>();
    const holds = new Map<string | number, DecayingSum>();

    function arrivalsOf(service: string): Map<string | number, DecayingSum> {
        const known = arrivals.get(service) ?? new Map<string | number, DecayingSum>();
        arrivals.set(service, known);
        return known;
    }

    return {
        recordArrival: (service, priority, tokens, nowMs) => add(arrivalsOf(service), priority, tokens, nowMs),
        recordHold: (service, heldMs, nowMs) => add(holds, service, heldMs, nowMs),
        readMoreUrgent: (service, priority, nowMs) => {
            let requests = 0;
            let tokens = 0;
            arrivals.get(service)?.forEach((sum, key) => {
                if (Number(key) < priority) {
                    decay(sum, nowMs);
                    requests += sum.requests;
                    tokens += sum.amount;
                }
            });
            return { requestsPerMs: requests / windowMs, meanTokens: requests === 0 ? 0 : tokens / requests };
        },
        readHoldMs: service => {
            const sum = holds.get(service);
            return sum === undefined || sum.requests === 0 ? undefined : sum.amount / sum.requests;
        },
    };
}
