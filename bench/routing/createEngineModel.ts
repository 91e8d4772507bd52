/**
 * @module
 * A small model of an engine: one prefill at a time, continuous decoding in slots, an LRU prefix cache, and cache events
 * and load reports that come late.
 */
import { blockTokens } from "../../src/core/constants.js";
import type { CacheEvent, CacheEventPage, EngineLoad } from "../../src/core/ports/enginePort.js";
import type { Clock } from "../../src/core/time/clock.js";
import type { RunPlan, SimHead, SimRequest, SiteShape } from "./simTypes.js";

/** Calls that a submitted request leads to. */
export interface JobHooks {
    /** The first token was generated. */
    readonly onHead: (head: SimHead, computedIds: readonly number[]) => void;
    readonly onComplete: () => void;
    /** The engine crashed or was down. */
    readonly onFail: () => void;
}

/** The engine model. */
export interface EngineModel {
    readonly submit: (one: SimRequest, hooks: JobHooks) => void;
    /** Exact milliseconds until a new request's prefill would begin. */
    readonly backlogMs: () => number;
    /** Exact leading blocks that a new request would find cached, with what is being computed before it. */
    readonly countCached: (ids: readonly number[]) => number;
    /** The same by the blocks' hashes. */
    readonly countCachedBlocks: (blocks: readonly bigint[]) => number;
    /** The load as of the report lag ago. */
    readonly readLoad: () => EngineLoad;
    readonly readEvents: (from: number) => CacheEventPage;
    /** Goes down, and comes back empty after a time if one is given. */
    readonly crash: (backAfterMs: number | undefined) => void;
    readonly isUp: () => boolean;
    /** Sum over its requests of the time they spent here, in milliseconds. */
    readonly occupancyMs: () => number;
}

interface Job {
    readonly one: SimRequest;
    readonly hooks: JobHooks;
    readonly submittedMs: number;
}

interface TimedEvent {
    readonly atMs: number;
    readonly event: CacheEvent;
}

/** Share of the prefill rate that full slots take away. */
const decodeShare = 0.3;

/** Period at which the load is sampled for the lagging report, in milliseconds. */
const loadSampleMs = 250;

const maxEventsOfPage = 1000;
const keepEventsMs = 20_000;

function countCommon(left: readonly number[], right: readonly number[]): number {
    let count = 0;
    while (count < left.length && left[count] === right[count]) {
        count += 1;
    }
    return count;
}

/** Creates an empty engine. `random` decides which events are lost. */
export function createEngineModel(
    name: string,
    shape: SiteShape,
    plan: RunPlan,
    clock: Clock & { readonly random: () => number; },
): EngineModel {
    let life = 1;
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
    const incarnation = () => `${name}/${life}`;

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

    /** Renews blocks, the deepest first, so that a prefix outlives what follows it. */
    function storeBlocks(one: SimRequest, count: number): void {
        for (let index = count - 1; index >= 0; index -= 1) {
            const id = one.ids[index]!;
            const block = one.req.blocks[index]!;
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
        const ownLife = life;
        const hits = countHits(job.one.ids);
        storeBlocks(job.one, hits);
        prefilling = job;
        const prefillMs = ((job.one.ids.length - hits) * blockTokens) / ratePerMs();
        prefillEndMs = clock.now() + prefillMs;
        clock.after(prefillMs, () => {
            if (life === ownLife && isUp) {
                finishPrefill(job, hits);
            }
        });
    }

    function finishPrefill(job: Job, hits: number): void {
        prefilling = undefined;
        const computed = job.one.ids.slice(hits);
        storeBlocks(job.one, job.one.ids.length);
        running.add(job);
        const ownLife = life;
        clock.after(shape.tokenIntervalMs, () => {
            if (life === ownLife && isUp) {
                job.hooks.onHead({ cachedBlocks: hits, incarnation: incarnation(), load: readLoad() }, computed);
            }
        });
        clock.after(shape.tokenIntervalMs * job.one.outputTokens, () => {
            if (life === ownLife && isUp) {
                running.delete(job);
                occupancyMs += clock.now() - job.submittedMs;
                job.hooks.onComplete();
                startNext();
            }
        });
        startNext();
    }

    function submit(one: SimRequest, hooks: JobHooks): void {
        if (!isUp) {
            hooks.onFail();
            return;
        }
        queue.push({ one, hooks, submittedMs: clock.now() });
        startNext();
    }

    function countCached(ids: readonly number[]): number {
        const pending = prefilling === undefined ? queue : [prefilling, ...queue];
        return pending.reduce((most, job) => Math.max(most, countCommon(job.one.ids, ids)), countHits(ids));
    }

    function countCachedBlocks(blocks: readonly bigint[]): number {
        const held = new Set(cache.values());
        const pending = prefilling === undefined ? queue : [prefilling, ...queue];
        pending.forEach(job => job.one.req.blocks.forEach(block => held.add(block)));
        const missing = blocks.findIndex(block => !held.has(block));
        return missing === -1 ? blocks.length : missing;
    }

    function backlogMs(): number {
        let sumMs = prefilling === undefined ? 0 : prefillEndMs - clock.now();
        const ahead: Job[] = prefilling === undefined ? [] : [prefilling];
        for (const job of queue) {
            const hits = ahead.reduce(
                (most, one) => Math.max(most, countCommon(one.one.ids, job.one.ids)),
                countHits(job.one.ids),
            );
            sumMs += ((job.one.ids.length - hits) * blockTokens) / ratePerMs();
            ahead.push(job);
        }
        return sumMs;
    }

    function sampleLoad(): void {
        const waiting = queue.reduce((sum, job) => sum + job.one.req.promptTokens, 0);
        loads.push({
            incarnation: incarnation(),
            weightsVersion: "v1",
            queuedRequests: queue.length,
            runningRequests: running.size + (prefilling === undefined ? 0 : 1),
            queuedPromptTokens: waiting,
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
        events = events.filter(({ atMs }) => atMs + keepEventsMs > nowMs);
        const page = events
            .filter(({ atMs, event }) => event.sequence >= from && atMs + plan.eventDelayMs <= nowMs)
            .slice(0, maxEventsOfPage)
            .map(({ event }) => event);
        return { incarnation: incarnation(), nextSequence: (page.at(-1)?.sequence ?? from - 1) + 1, events: page };
    }

    function crash(backAfterMs: number | undefined): void {
        isUp = false;
        const lost = [...queue, ...(prefilling === undefined ? [] : [prefilling]), ...running];
        queue = [];
        prefilling = undefined;
        running = new Set();
        cache = new Map();
        events = [];
        nextSequence = 0;
        life += 1;
        lost.forEach(job => job.hooks.onFail());
        if (backAfterMs !== undefined) {
            clock.after(backAfterMs, () => {
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
