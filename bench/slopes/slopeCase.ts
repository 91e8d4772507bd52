/**
 * @module
 * A cost that is measured over a range of sizes and extrapolated to the two-year size.
 */

/** What is measured: processor time of a call, memory of a state, or bytes on the wire of a message. */
export type SlopeQuantity = "cpuMicroseconds" | "memoryBytes" | "wireBytes";

/** One measured cost. */
export interface SlopeCase {
    /** Role in docs/CAPACITY.md. */
    readonly role: string;
    /** Call, state or message that is measured. */
    readonly subject: string;
    readonly quantity: SlopeQuantity;
    /** Unit of the size. */
    readonly sizeName: string;
    readonly sizes: readonly number[];
    readonly measure: (size: number) => number;
    /** Size per daemon in two years. */
    readonly twoYearSize: number;
    /** Calls or messages per second of one daemon in two years; 1 for a state in memory. */
    readonly twoYearRate: number;
    /** Whether the cost counts against the budget of the control plane. */
    readonly isControl: boolean;
    /** Mechanism that keeps the cost from growing with the fleet. */
    readonly mechanism: string;
}

/** Sizes of the fleet in two years, as the users state them. */
export const twoYears = {
    daemons: 380,
    upstreams: 3_700,
    customers: 220,
    models: 21,
    requestsPerSecond: 38_000,
    tokensPerSecond: 13_000_000,
    cachedBlocks: 110_000_000,
    cacheEventsPerSecond: 1_300_000,
    changesPerDay: 12_000,
} as const;

/** Requests per second of one daemon in two years. */
export const requestsPerDaemon = twoYears.requestsPerSecond / twoYears.daemons;

/** Stream events per second of one daemon in two years. */
export const eventsPerDaemon = twoYears.tokensPerSecond / twoYears.daemons;

/** Catalogue changes per second in two years. */
export const changesPerSecond = twoYears.changesPerDay / 86_400;

/** Candidate upstreams of one model in two years. */
export const candidatesPerModel = twoYears.upstreams / twoYears.models;
