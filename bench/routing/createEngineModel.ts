/**
 * @module
 * Simplified model of an engine: one prefill at a time, continuous decoding in slots, an LRU prefix cache, and delayed
 * cache events and load reports.
 */
import { blockTokens } from "../../src/core/constants.js";
import type { CacheEvent, CacheEventPage, EngineLoad } from "../../src/core/ports/enginePort.js";
import type { Clock } from "../../src/core/time/clock.js";
import type { RunPlan, SimHead, SimRequest, SiteShape } from "./simTypes.js";

/** Callbacks of a submitted request. */
export interface JobHooks {
    /** The first token was generated. */
    readonly onHead: (head: SimHead, computedIds: readonly number[]) => void;
    readonly onComplete: () => void;
    /** The engine crashed while it held the request, or was down on submission. */
    readonly onFail: () => void;
}

/** The engine model. */
export interface EngineModel {
    readonly submit: (request: SimRequest, hooks: JobHooks) => void;
    /** Exact milliseconds until a new request's prefill would begin. */
    readonly backlogMs: () => number;
    /** Exact number of leading blocks that a new request would find cached, including those of requests ahead of it. */
    readonly countCached: (ids: readonly number[]) => number;
    /** As `countCached`, by the hashes of the blocks. */
    readonly countCachedBlocks: (blocks: readonly bigint[]) => number;
    /** Load as it was `loadLagMs` ago. */
    readonly readLoad: () => EngineLoad;
    readonly readEvents: (from: number) => CacheEventPage;
    /** Takes the engine down; restarts it with an empty cache after the given time, or never if undefined. */
    readonly crash: (restartAfterMs: number | undefined) => void;
    readonly isUp: () => boolean;
    /** Sum of the times that completed requests spent on this engine, in milliseconds. */
    readonly occupancyMs: () => number;
}

interface Job {
    readonly arrival: SimRequest;
    readonly hooks: JobHooks;
    readonly submittedMs: number;
}

interface TimedEvent {
    readonly atMs: number;
    readonly event: CacheEvent;
}

/** Fraction of the prefill rate that is lost to decoding when all slots are in use. */
const decodeShare = 0.3;

/** Interval at which the load is sampled for delayed reports, in milliseconds. */
const loadSampleMs = 250;

const maxPageEvents = 1000;
const eventRetentionMs = 20_000;

function countCommon(left: readonly number[], right: readonly number[]): number {
    let count = 0;
    while (count < left.length && left[count] === right[count]) {
        count += 1;
    }
    return count;
}

/** Creates an empty engine. `clock.random` decides which cache events are lost. */
export function createEngineModel(
    name: string,
    shape: SiteShape,
    plan: RunPlan,
    clock: Clock & { readonly random: () => number; },
): EngineModel {
    let incarnationNumber = 1;
    let isUp = true;
    let cache = new Map<number, bigint>();
    let queue: Job[] = [];
    let prefilling: Job | undefined;
    let prefillEndMs = 0;
    let running = new Set<Job>();
    let events: TimedEvent[] = [];
    let nextSequence = 0;
    let occupancyMs = 0;
    const loads: EngineLoad[] = [];
    const formatIncarnation = () => `${name}/${incarnationNumber}`;

    function emit(action: CacheEvent["action"], block: bigint): void {
        const event: CacheEvent = { sequence: nextSequence, action, block: block.toString(16) };
        nextSequence += 1;
        if (clock.random() >= plan.eventLoss) {
            events.push({ atMs: clock.now(), event });
        }
    }

    function countHits(ids: readonly number[]): number {
        const missing = ids.findIndex(id => !cache.has(id));
        return missing === -1 ? ids.length : missing;
    }

    /** Marks blocks as most recently used, the deepest first: a prefix is evicted after the blocks that follow it. */
    function storeBlocks(request: SimRequest, count: number): void {
        for (let index = count - 1; index >= 0; index -= 1) {
            const id = request.ids[index]!;
            const block = request.req.blocks[index]!;
            if (!cache.delete(id)) {
                emit("stored", block);
            }
            cache.set(id, block);
        }
        for (const [id, block] of cache) {
            if (cache.size <= shape.cacheBlocks) {
                return;
            }
            cache.delete(id);
            emit("evicted", block);
        }
    }

    function ratePerMs(): number {
        return (shape.prefillTokensPerSecond / 1000) * (1 - decodeShare * Math.min(1, running.size / shape.slots));
    }

    function startNext(): void {
        if (prefilling !== undefined || queue.length === 0 || running.size >= shape.slots) {
            return;
        }
        const job = queue.shift()!;
        const ownIncarnation = incarnationNumber;
        const hits = countHits(job.arrival.ids);
        storeBlocks(job.arrival, hits);
        prefilling = job;
        const prefillMs = ((job.arrival.ids.length - hits) * blockTokens) / ratePerMs();
        prefillEndMs = clock.now() + prefillMs;
        clock.after(prefillMs, () => {
            if (incarnationNumber === ownIncarnation && isUp) {
                finishPrefill(job, hits);
            }
        });
    }

    function finishPrefill(job: Job, hits: number): void {
        prefilling = undefined;
        const computed = job.arrival.ids.slice(hits);
        storeBlocks(job.arrival, job.arrival.ids.length);
        running.add(job);
        const ownIncarnation = incarnationNumber;
        clock.after(shape.tokenIntervalMs, () => {
            if (incarnationNumber === ownIncarnation && isUp) {
                job.hooks.onHead({ cachedBlocks: hits, incarnation: formatIncarnation(), load: readLoad() }, computed);
            }
        });
        clock.after(shape.tokenIntervalMs * job.arrival.outputTokens, () => {
            if (incarnationNumber === ownIncarnation && isUp) {
                running.delete(job);
                occupancyMs += clock.now() - job.submittedMs;
                job.hooks.onComplete();
                startNext();
            }
        });
        startNext();
    }

    function submit(request: SimRequest, hooks: JobHooks): void {
        if (!isUp) {
            hooks.onFail();
            return;
        }
        queue.push({ arrival: request, hooks, submittedMs: clock.now() });
        startNext();
    }

    function countCached(ids: readonly number[]): number {
        const pending = prefilling === undefined ? queue : [prefilling, ...queue];
        return pending.reduce((max, job) => Math.max(max, countCommon(job.arrival.ids, ids)), countHits(ids));
    }

    function countCachedBlocks(blocks: readonly bigint[]): number {
        const cachedBlocks = new Set(cache.values());
        const pending = prefilling === undefined ? queue : [prefilling, ...queue];
        pending.forEach(job => job.arrival.req.blocks.forEach(block => cachedBlocks.add(block)));
        const missing = blocks.findIndex(block => !cachedBlocks.has(block));
        return missing === -1 ? blocks.length : missing;
    }

    function backlogMs(): number {
        let sumMs = prefilling === undefined ? 0 : prefillEndMs - clock.now();
        const ahead: Job[] = prefilling === undefined ? [] : [prefilling];
        for (const job of queue) {
            const hits = ahead.reduce(
                (max, request) => Math.max(max, countCommon(request.arrival.ids, job.arrival.ids)),
                countHits(job.arrival.ids),
            );
            sumMs += ((job.arrival.ids.length - hits) * blockTokens) / ratePerMs();
            ahead.push(job);
        }
        return sumMs;
    }

    function sampleLoad(): void {
        const queuedPromptTokens = queue.reduce((sum, job) => sum + job.arrival.req.promptTokens, 0);
        loads.push({
            incarnation: formatIncarnation(),
            weightsVersion: "v1",
            queuedRequests: queue.length,
            runningRequests: running.size + (prefilling === undefined ? 0 : 1),
            queuedPromptTokens,
            leaving: false,
        });
        if (loads.length > Math.floor(plan.loadLagMs / loadSampleMs) + 1) {
            loads.shift();
        }
        if (clock.now() < plan.endMs) {
            clock.after(loadSampleMs, sampleLoad);
        }
    }

    function readLoad(): EngineLoad {
        return loads[0]!;
    }

    function readEvents(from: number): CacheEventPage {
        const nowMs = clock.now();
        events = events.filter(({ atMs }) => atMs + eventRetentionMs > nowMs);
        const page = events
            .filter(({ atMs, event }) => event.sequence >= from && atMs + plan.eventDelayMs <= nowMs)
            .slice(0, maxPageEvents)
            .map(({ event }) => event);
        return {
            incarnation: formatIncarnation(),
            nextSequence: (page.at(-1)?.sequence ?? from - 1) + 1,
            events: page,
        };
    }

    function crash(restartAfterMs: number | undefined): void {
        isUp = false;
        const lost = [...queue, ...(prefilling === undefined ? [] : [prefilling]), ...running];
        queue = [];
        prefilling = undefined;
        running = new Set();
        cache = new Map();
        events = [];
        nextSequence = 0;
        incarnationNumber += 1;
        lost.forEach(job => job.hooks.onFail());
        if (restartAfterMs !== undefined) {
            clock.after(restartAfterMs, () => {
                isUp = true;
            });
        }
    }

    sampleLoad();
    return {
        submit,
        backlogMs,
        countCached,
        countCachedBlocks,
        readLoad,
        readEvents,
        crash,
        isUp: () => isUp,
        occupancyMs: () => occupancyMs,
    };
}
