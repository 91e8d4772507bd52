/**
 * @module
 * Deployments whose stops are played: how many instances and upstreams there are, what callers ask for, and the bounds.
 */
import {
    defaultBounds,
    grownBounds,
    type InstanceBounds,
    type ProcessSettings,
} from "../../support/platformSettings.js";
import type { DrawnTime } from "./createTimedRuns.js";
import type { CallKind } from "./stopTypes.js";

/** A kind of request of a deployment, which has a route of its own. */
export interface CallShape {
    readonly name: string;
    readonly kind: CallKind;
    /** Relative frequency. */
    readonly weight: number;
    /** Shortest and longest time of a run, in milliseconds; short ones are more frequent. */
    readonly minWorkMs: number;
    readonly maxWorkMs: number;
    /** Time after which callers give up, in milliseconds. */
    readonly deadlineMs: number;
    /** The route's timeout, in milliseconds. */
    readonly timeoutMs: number;
    readonly targetLatencyMs: number;
    /** How many runs the route allows a request. */
    readonly attempts: number;
    /** Whether another upstream may go on with a stream that broke off. */
    readonly canResume?: boolean;
    /** Sizes of its bodies, which arrive in several parts; if left out, they are small. */
    readonly bodyBytes?: SizeRange;
    /** Sizes of its plain answers; if left out, they are small. */
    readonly answerBytes?: SizeRange;
}

/** Sizes from the smallest to the largest, in bytes; small ones are more frequent. */
export interface SizeRange {
    readonly min: number;
    readonly max: number;
}

/** Upstreams of one service. */
export interface UpstreamShape {
    readonly count: number;
    /** Requests that each runs at once. */
    readonly slots: number;
    /** Time from the begin of work to the first event of a stream; undefined if it is short. */
    readonly firstEvent?: DrawnTime;
    /** Whether they reject all orders, so that they keep their weights. */
    readonly rejectsOrders?: boolean;
    /** Whether they work on a request to its end although its connection has closed. */
    readonly keepsClosedRuns?: boolean;
}

/** What each instance's process may use. */
export interface InstanceLimits {
    /** Arguments of Node.js. */
    readonly nodeArguments: readonly string[];
    readonly memoryKb: number;
    /** Share of a core. */
    readonly processorShare: number;
}

/** A deployment. */
export interface StopShape {
    readonly instances: number;
    /** Instances of each failure domain, in the order of the instances; the last one takes those that are left. */
    readonly failureDomains: readonly number[];
    readonly bounds: InstanceBounds;
    readonly calls: readonly CallShape[];
    readonly engines: UpstreamShape;
    readonly servers: UpstreamShape;
    readonly callersPerInstance: number;
    /** Mean pause of a caller between two requests, in milliseconds. */
    readonly pauseMs: number;
    /** Share of the runs that their upstream breaks off. */
    readonly brokenRunShare: number;
    /** Whether every second caller stays at an entry until it refuses connections, whatever it answers. */
    readonly keepsEntries?: boolean;
    /** Whether the store's answers state its era; true if undefined. */
    readonly statesEra?: boolean;
    readonly limits?: InstanceLimits;
    /** What the settings file allows each process; the program's default values if undefined. */
    readonly settings?: ProcessSettings;
    /** Whether each configuration changes the limits and moves the plain routes to the other one of two services. */
    readonly changesLimits?: boolean;
}

const stream = { kind: "stream", weight: 1, targetLatencyMs: 400, attempts: 2 } as const;
const plain = { weight: 1, targetLatencyMs: 400, attempts: 2 } as const;

const evenCalls: readonly CallShape[] = [
    {
        ...plain,
        name: "glossary",
        kind: "idempotent",
        minWorkMs: 10,
        maxWorkMs: 500,
        deadlineMs: 3_000,
        timeoutMs: 4_000,
    },
    {
        ...plain,
        name: "documents",
        kind: "nonIdempotent",
        minWorkMs: 10,
        maxWorkMs: 500,
        deadlineMs: 3_000,
        timeoutMs: 4_000,
    },
    { ...stream, name: "adapt", minWorkMs: 50, maxWorkMs: 2_500, deadlineMs: 12_000, timeoutMs: 15_000 },
];

const small: StopShape = {
    instances: 4,
    failureDomains: [2, 2],
    bounds: defaultBounds,
    calls: evenCalls,
    engines: { count: 3, slots: 64 },
    servers: { count: 2, slots: 64 },
    callersPerInstance: 12,
    pauseMs: 60,
    brokenRunShare: 0,
};

/** Short checks and longer texts in streams, beside quick requests that must not run twice. */
function mixCalls(plainDeadlineMs: number, plainWorkMs: number, checkMs: number, textMs: number): readonly CallShape[] {
    const quick = {
        ...plain,
        targetLatencyMs: Math.min(400, plainDeadlineMs / 5),
        minWorkMs: plainWorkMs / 2,
        maxWorkMs: plainWorkMs * 2,
        deadlineMs: plainDeadlineMs,
        timeoutMs: plainDeadlineMs,
    };
    return [
        { ...stream, name: "check", weight: 4, minWorkMs: 50, maxWorkMs: 400, deadlineMs: checkMs, timeoutMs: checkMs },
        {
            ...stream,
            name: "adapt",
            weight: 4,
            minWorkMs: 200,
            maxWorkMs: 4_000,
            deadlineMs: textMs,
            timeoutMs: textMs,
        },
        { ...quick, name: "documents", kind: "nonIdempotent", weight: 2 },
        { ...quick, name: "glossary", kind: "idempotent", weight: 1 },
    ];
}

const grown: StopShape = {
    instances: 24,
    failureDomains: [23, 1],
    bounds: grownBounds,
    calls: mixCalls(1_046, 21, 5_126, 15_122),
    engines: { count: 26, slots: 12 },
    servers: { count: 4, slots: 6 },
    callersPerInstance: 6,
    pauseMs: 400,
    brokenRunShare: 0,
};

/** Little memory and processor time. */
const scarceLimits: InstanceLimits = {
    nodeArguments: ["--single-threaded", "--max-old-space-size=120", "--expose-gc"],
    memoryKb: 200 * 1_024,
    processorShare: 0.675,
};

/** Streams most of which take 50 to 1,250 ms, beside quick requests, at instances of little memory and processor time. */
const limitedInstances: StopShape = {
    instances: 7,
    failureDomains: [2, 2, 2, 1],
    bounds: defaultBounds,
    calls: [
        {
            ...stream,
            name: "check",
            weight: 32.7,
            minWorkMs: 50,
            maxWorkMs: 1_250,
            deadlineMs: 5_000,
            timeoutMs: 5_000,
            targetLatencyMs: 600,
            canResume: true,
        },
        {
            ...stream,
            name: "answer",
            weight: 73.1,
            minWorkMs: 50,
            maxWorkMs: 1_250,
            deadlineMs: 15_000,
            timeoutMs: 15_000,
            targetLatencyMs: 600,
            attempts: 1,
        },
        ...([["submit", "nonIdempotent", 26.5], ["read", "idempotent", 10.6]] as const).map(([name, kind, weight]) => ({
            ...plain,
            name,
            kind,
            weight,
            minWorkMs: 5,
            maxWorkMs: 110,
            deadlineMs: 1_000,
            timeoutMs: 1_000,
            targetLatencyMs: 100,
        })),
    ],
    engines: { count: 18, slots: 48 },
    servers: { count: 4, slots: 6 },
    callersPerInstance: 14,
    pauseMs: 300,
    brokenRunShare: 0,
    keepsEntries: true,
    statesEra: false,
    limits: scarceLimits,
};

/** Few engines with many slots, slower plain requests. */
const wideEngines: StopShape = {
    ...small,
    instances: 8,
    failureDomains: [2, 2, 2, 2],
    calls: mixCalls(3_000, 86, 5_000, 15_000),
    engines: { count: 6, slots: 128 },
    servers: { count: 4, slots: 6 },
    callersPerInstance: 8,
    pauseMs: 200,
};

/** Weights of the calls of {@link mixCalls} where texts are most frequent, in their order. */
const textWeights = [28, 44, 18, 7] as const;

/** The same at instances of little memory and processor time, with large uploads and answers, and limits that change. */
const largeBodies: StopShape = {
    ...wideEngines,
    calls: wideEngines.calls.map((call, index) => ({
        ...call,
        weight: textWeights[index]!,
        bodyBytes: { min: 600, max: 400_000 },
        answerBytes: { min: 800, max: 500_000 },
    })),
    keepsEntries: true,
    statesEra: false,
    limits: scarceLimits,
    settings: { memoryMb: 200, maxDescriptors: 4_100 },
    changesLimits: true,
};

/** Every deployment by its name. */
export const stopShapes: Readonly<Record<string, StopShape>> = {
    small,
    /** Streams that take up to the grace period. */
    longStreams: {
        ...small,
        calls: evenCalls.map(call => call.kind === "stream" ? { ...call, maxWorkMs: 7_000 } : call),
    },
    /** Many engines with few slots, short deadlines of plain requests. */
    shortDeadlines: {
        ...small,
        instances: 7,
        failureDomains: [2, 2, 2, 1],
        calls: mixCalls(600, 21, 4_000, 12_000),
        engines: { count: 13, slots: 48 },
        servers: { count: 4, slots: 6 },
        callersPerInstance: 8,
        pauseMs: 200,
    },
    wideEngines,
    largeBodies,
    /** The same with so few descriptors that idle connections of callers are closed. */
    fewDescriptors: {
        ...largeBodies,
        settings: { memoryMb: 200, maxDescriptors: 540 },
    },
    /** Upstreams that break off a part of their runs. */
    brokenRuns: { ...small, brokenRunShare: 0.03 },
    limitedInstances,
    /** The same with engines that work on a request to its end although its connection has closed. */
    keptRuns: {
        ...limitedInstances,
        engines: { ...limitedInstances.engines, keepsClosedRuns: true },
    },
    /** Engines that keep their weights and whose first events come late. */
    keptWeights: {
        ...small,
        instances: 3,
        failureDomains: [1, 1, 1],
        engines: { count: 4, slots: 64, firstEvent: { minMs: 2_500, maxMs: 3_000 }, rejectsOrders: true },
    },
    grown,
    grownMore: {
        ...grown,
        instances: 60,
        failureDomains: [23, 13, 12, 12],
        engines: { count: 48, slots: 12 },
        callersPerInstance: 4,
        pauseMs: 800,
    },
    grownMost: {
        ...grown,
        instances: 120,
        failureDomains: [30, 30, 30, 30],
        engines: { count: 60, slots: 12 },
        callersPerInstance: 2,
        pauseMs: 1_000,
    },
};
