/**
 * @module
 * Types of the routing simulation: requests, engines, policies, sites and results.
 */
import type { Policy } from "../../src/core/catalogue/catalogueEntry.js";
import type { CacheEventPage, EngineLoad } from "../../src/core/ports/enginePort.js";
import type { RouteRequest } from "../../src/core/routing/routeTypes.js";

/** Name of a routing preset. */
export type PresetName = Policy["preset"];

/** One simulated request. */
export interface SimRequest {
    readonly atMs: number;
    readonly daemon: number;
    /** Daemons to which the customer's requests are sent. */
    readonly entries: readonly number[];
    readonly req: RouteRequest;
    /** Ids of the prompt's blocks, in the order of `req.blocks`. */
    readonly ids: readonly number[];
    readonly outputTokens: number;
}

/** Data in the head of a simulated answer. */
export interface SimHead {
    readonly cachedBlocks: number;
    readonly incarnation: string;
    readonly load: EngineLoad;
}

/** A routing policy for all daemons. Engines are identified by their index. */
export interface SimPolicy {
    readonly choose: (request: SimRequest, excluded: ReadonlySet<string>) => number;
    readonly onHead?: (request: SimRequest, engine: number, head: SimHead) => void;
    /** The request has ended at the engine, complete or failed. */
    readonly onEnd?: (request: SimRequest, engine: number) => void;
    readonly onReport?: (daemon: number, engine: number, load: EngineLoad) => void;
    readonly onEvents?: (daemon: number, engine: number, page: CacheEventPage) => void;
    /** Sequence number from which to read cache events; undefined to skip this poll. */
    readonly nextSequence?: (daemon: number, engine: number) => number | undefined;
    /** A daemon restarts without its state and may copy the state of a survivor. */
    readonly restart?: (daemon: number, survivor: number) => void;
}

/** Faults that a run can inject. */
export const faultNames = ["none", "crash", "eventLoss", "loadLag", "herdRestart", "hotShift", "domainGone"] as const;

/** Name of a fault. */
export type FaultName = typeof faultNames[number];

/** Sizes of a simulated site. */
export interface SiteShape {
    readonly preset: PresetName;
    readonly engines: number;
    readonly failureDomains: number;
    readonly daemons: number;
    readonly customers: number;
    /** Number of entries to which a customer's requests are sent. */
    readonly entriesPerCustomer: number;
    readonly requestsPerSecond: number;
    readonly slots: number;
    readonly prefillTokensPerSecond: number;
    readonly tokenIntervalMs: number;
    /** Capacity of an engine's cache, in blocks. */
    readonly cacheBlocks: number;
    readonly typesPerCustomer: number;
    /** Exponents of the Zipf distributions of customers and document types. */
    readonly customerSkew: number;
    readonly typeSkew: number;
    /** Bounds of uniform distributions, both inclusive, for this field and the following five. */
    readonly houseBlocks: readonly [number, number];
    readonly typeBlocks: readonly [number, number];
    readonly caseBlocks: readonly [number, number];
    readonly tailBlocks: readonly [number, number];
    readonly requestsPerCase: readonly [number, number];
    readonly outputTokens: readonly [number, number];
    /** Mean time between two requests of a case, in milliseconds. */
    readonly caseGapMs: number;
    /** One-way network latency between a daemon and an engine, in milliseconds. */
    readonly networkMs: number;
}

/** The sites of the two users, by routing preset. */
export const siteShapes: Readonly<Record<PresetName, SiteShape>> = {
    lectura: {
        preset: "lectura",
        engines: 6,
        failureDomains: 4,
        daemons: 8,
        customers: 8,
        entriesPerCustomer: 4,
        requestsPerSecond: 11,
        slots: 64,
        prefillTokensPerSecond: 8000,
        tokenIntervalMs: 20,
        cacheBlocks: 1000,
        typesPerCustomer: 8,
        customerSkew: 1.2,
        typeSkew: 1.5,
        houseBlocks: [8, 14],
        typeBlocks: [20, 36],
        caseBlocks: [40, 90],
        tailBlocks: [1, 3],
        requestsPerCase: [3, 7],
        outputTokens: [150, 400],
        caseGapMs: 3000,
        networkMs: 1,
    },
    compagnon: {
        preset: "compagnon",
        engines: 13,
        failureDomains: 4,
        daemons: 8,
        customers: 8,
        entriesPerCustomer: 4,
        requestsPerSecond: 80,
        slots: 32,
        prefillTokensPerSecond: 8000,
        tokenIntervalMs: 20,
        cacheBlocks: 700,
        typesPerCustomer: 10,
        customerSkew: 1.2,
        typeSkew: 1.5,
        houseBlocks: [6, 10],
        typeBlocks: [8, 14],
        caseBlocks: [8, 16],
        tailBlocks: [1, 3],
        requestsPerCase: [2, 6],
        outputTokens: [40, 120],
        caseGapMs: 2000,
        networkMs: 1.5,
    },
};

/** Timing of a run. */
export interface RunPlan {
    readonly seed: number;
    readonly fault: FaultName;
    /** Requests that arrive before this time are served but not measured. */
    readonly warmUpMs: number;
    readonly endMs: number;
    /** Time at which the fault is injected. */
    readonly faultMs: number;
    /** Fraction of cache events that are lost. */
    readonly eventLoss: number;
    readonly eventDelayMs: number;
    /** Age of the load that engines report. */
    readonly loadLagMs: number;
}

/** The result of one policy. */
export interface PolicyResult {
    readonly hitRate: number;
    readonly ttftP50Ms: number;
    readonly ttftP95Ms: number;
    readonly ttftP99Ms: number;
    readonly wastedTokens: number;
    readonly loadWorstOverMean: number;
    /** Hit rate before the fault and in the 5, 10 and 30 s after it; only set when a fault is injected. */
    readonly hitRateAround?: {
        readonly before: number;
        readonly first5s: number;
        readonly first10s: number;
        readonly first30s: number;
    };
    /** Number of requests that failed at every upstream tried; only set when there were any. */
    readonly failed?: number;
}
