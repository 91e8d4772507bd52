/**
 * @module
 * Observes the requests of a service that arrive at this instance, by priority, and for how long upstreams are busy with them.
 */

/** Requests of some priorities as they arrive at this instance. */
export interface Demand {
    readonly requestsPerMs: number;
    /** Mean memory that one of them needs for its own parts, in tokens. */
    readonly meanTokens: number;
    /** Mean latency objective, in milliseconds. */
    readonly meanObjectiveMs: number;
}

/** What is observed of an arriving request. */
export interface ArrivedRequest {
    readonly service: string;
    readonly priority: number;
    /** Memory for its own parts. */
    readonly tokens: number;
    readonly objectiveMs: number;
}

/** Observed demand by service. Times are milliseconds on the instance's clock. */
export interface ServiceDemand {
    readonly recordArrival: (arrived: ArrivedRequest, nowMs: number) => void;
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
    /** Tokens of arrivals, or times of holds. */
    amount: number;
    objectiveMs: number;
    atMs: number;
}

function decay(sum: DecayingSum, nowMs: number): void {
    const factor = Math.exp((sum.atMs - nowMs) / windowMs);
    sum.requests *= factor;
    sum.amount *= factor;
    sum.objectiveMs *= factor;
    sum.atMs = nowMs;
}

function add<K>(sums: Map<K, DecayingSum>, key: K, nowMs: number, amount: number, objectiveMs = 0): void {
    const sum = sums.get(key) ?? { requests: 0, amount: 0, objectiveMs: 0, atMs: nowMs };
    decay(sum, nowMs);
    sum.requests += 1;
    sum.amount += amount;
    sum.objectiveMs += objectiveMs;
    sums.set(key, sum);
}

/**
 * Creates the observation, without requests.
 *
 * @returns The observed demand.
 * @example
 * const demand = createServiceDemand();
 * demand.recordArrival({ service: "adapt", priority: 0, tokens: 900, objectiveMs: 500 }, clock.now());
 * demand.readMoreUrgent("adapt", 2, clock.now()).meanTokens; // 900
 */
export function createServiceDemand(): ServiceDemand {
    const arrivals = new Map<string, Map<number, DecayingSum>>();
    const holds = new Map<string, DecayingSum>();

    function arrivalsOf(service: string): Map<number, DecayingSum> {
        const known = arrivals.get(service) ?? new Map<number, DecayingSum>();
        arrivals.set(service, known);
        return known;
    }

    return {
        recordArrival: ({ service, priority, tokens, objectiveMs }, nowMs) =>
            add(arrivalsOf(service), priority, nowMs, tokens, objectiveMs),
        recordHold: (service, heldMs, nowMs) => add(holds, service, nowMs, heldMs),
        readMoreUrgent: (service, priority, nowMs) => {
            const sum = { requests: 0, tokens: 0, objectiveMs: 0 };
            arrivals.get(service)?.forEach((one, key) => {
                if (key < priority) {
                    decay(one, nowMs);
                    sum.requests += one.requests;
                    sum.tokens += one.amount;
                    sum.objectiveMs += one.objectiveMs;
                }
            });
            const mean = (amount: number) => sum.requests === 0 ? 0 : amount / sum.requests;
            return {
                requestsPerMs: sum.requests / windowMs,
                meanTokens: mean(sum.tokens),
                meanObjectiveMs: mean(sum.objectiveMs),
            };
        },
        readHoldMs: service => {
            const sum = holds.get(service);
            return sum === undefined || sum.requests === 0 ? undefined : sum.amount / sum.requests;
        },
    };
}
