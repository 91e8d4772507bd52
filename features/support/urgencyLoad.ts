/**
 * @module
 * Plays a load of several kinds of requests on placers that share engines, on a virtual clock.
 */
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest, createRoute } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";

/** Callers of one kind of request. */
export interface CallerKind {
    readonly kind: string;
    readonly customer: string;
    readonly priority: number;
    /** Requests a second of all instances, and the factor by which they rise during the peak. */
    readonly rate: number;
    readonly peak: number;
    readonly tokens: number;
    /** Time for which an engine is busy with a request, in milliseconds. */
    readonly holdMs: number;
    readonly aimMs: number;
    readonly deadlineMs: number;
}

/** What one caller got. */
export interface CallerResult {
    readonly caller: CallerKind;
    /** Time from its first request to the start of its run; undefined when it was not served. */
    readonly startedMs: number | undefined;
    readonly arrivedMs: number;
    readonly refusedMs: number | undefined;
}

/** A load and the fleet on which it is played. */
export interface UrgencyLoad {
    readonly clock: VirtualClock;
    readonly seed: number;
    readonly fixtures: readonly PlacerFixture[];
    /** Instances that neither send reports to peers nor get any. */
    readonly alone: ReadonlySet<number>;
    readonly hasReports: boolean;
    readonly results: CallerResult[];
    readonly engines: ReadonlyMap<string, Engine>;
}

interface QueuedRun {
    readonly priority: number;
    readonly start: () => void;
}

/** An engine that runs as many requests as it has slots, the most urgent first. */
interface Engine {
    running: number;
    waiting: readonly QueuedRun[];
}

const engineSlots = 8;
const reportIntervalMs = 300;

/** Time after the last arrival by which all callers have an answer, in milliseconds. */
const endMs = 20_000;
const millisecondsPerSecond = 1_000;

/** Options of {@link createUrgencyLoad}. */
export interface UrgencyLoadOptions {
    readonly instances: number;
    readonly engines: readonly string[];
    /** Instances that see no peers; by default none. */
    readonly alone?: readonly number[];
    /** Whether instances report their use to each other; by default they do. */
    readonly hasReports?: boolean;
    readonly seed?: number;
}

/** Creates a fleet without load. */
export function createUrgencyLoad(options: UrgencyLoadOptions): UrgencyLoad {
    const { instances, engines, alone = [], hasReports = true, seed = 59 } = options;
    const clock = createVirtualClock(seed);
    const countInstances = (index: number) => alone.includes(index) ? 1 : instances;
    const fixtures = Array.from(
        { length: instances },
        (_, index) =>
            createPlacerFixture(clock, engines, true, undefined, undefined, {
                countInstances: () => countInstances(index),
            }),
    );
    return {
        clock,
        seed,
        fixtures,
        alone: new Set(alone),
        hasReports,
        results: [],
        engines: new Map(engines.map(id => [id, { running: 0, waiting: [] }])),
    };
}

function runOn(
    load: UrgencyLoad,
    engine: Engine,
    req: ProxyRequest,
    holdMs: number,
    onEvent: (isEnd: boolean) => void,
) {
    const start = () => {
        engine.running += 1;
        onEvent(false);
        load.clock.after(holdMs, () => {
            engine.running -= 1;
            onEvent(true);
            const next = engine.waiting.toSorted((left, right) => left.priority - right.priority)[0];
            engine.waiting = engine.waiting.filter(run => run !== next);
            next?.start();
        });
    };
    if (engine.running < engineSlots) {
        start();
        return;
    }
    engine.waiting = [...engine.waiting, { priority: req.priority, start }];
}

function createCallerRequest(load: UrgencyLoad, caller: CallerKind, deadlineMs: number): ProxyRequest {
    const { priority, tokens, aimMs, customer } = caller;
    const id = `${caller.kind}-${load.clock.random()}`;
    const prompt = createPrompt({ parts: [{ id: `own-${id}`, tokens }], promptTokens: tokens, outputTokens: 0 });
    const route = createRoute({ kind: "stream", targetLatencyMs: aimMs, priority });
    return {
        ...createProxyRequest("stream", { id, prompt, priority, arrivedMs: load.clock.now(), deadlineMs }),
        customer: { name: customer, keys: [], priority: undefined, isIsolated: false, quota: undefined },
        route,
    };
}

/** Serves a caller, which comes back once after a refusal. */
function serveCaller(load: UrgencyLoad, caller: CallerKind, firstMs: number, entry: number, returns = 0): void {
    const { clock, fixtures } = load;
    const { placer } = fixtures[(entry + returns) % fixtures.length]!;
    const deadlineMs = firstMs + caller.deadlineMs;
    const req = createCallerRequest(load, caller, deadlineMs);
    placer.place(req, { kind: "place", excluded: [] }, result => {
        if (result.kind === "placed") {
            runOn(load, load.engines.get(result.placement.upstream.id)!, req, caller.holdMs, isEnd => {
                if (isEnd) {
                    placer.end(req);
                    return;
                }
                const startedMs = clock.now() - firstMs;
                load.results.push({ caller, startedMs, arrivedMs: firstMs, refusedMs: undefined });
            });
            return;
        }
        const retryAfterMs = result.kind === "refused" ? result.refusal.retryAfterMs ?? 0 : 0;
        if (returns === 0 && clock.now() + retryAfterMs < deadlineMs) {
            clock.after(retryAfterMs, () => serveCaller(load, caller, firstMs, entry, 1));
            return;
        }
        const refusedMs = clock.now() - firstMs;
        load.results.push({ caller, startedMs: undefined, arrivedMs: firstMs, refusedMs });
    });
}

/** Plays the load for a time with a peak, and until all callers have an answer. */
export function playUrgencyLoad(
    load: UrgencyLoad,
    callers: readonly CallerKind[],
    { untilMs, peakFromMs, peakUntilMs }: Record<"untilMs" | "peakFromMs" | "peakUntilMs", number>,
): void {
    const { clock, fixtures } = load;

    /** `random` is the kind's own, so that its requests are the same whatever becomes of those before. */
    function arrive(caller: CallerKind, random: () => number): void {
        const isPeak = clock.now() >= peakFromMs && clock.now() < peakUntilMs;
        const meanMs = millisecondsPerSecond / (caller.rate * (isPeak ? caller.peak : 1));
        clock.after(-Math.log(1 - random()) * meanMs, () => {
            if (clock.now() < untilMs) {
                serveCaller(load, caller, clock.now(), Math.floor(random() * fixtures.length));
                arrive(caller, random);
            }
        });
    }

    function report(): void {
        load.fixtures.forEach((from, index) => {
            const uses = from.use.listOwn();
            load.fixtures.forEach((to, other) => {
                if (load.hasReports && index !== other && !load.alone.has(index) && !load.alone.has(other)) {
                    to.use.updatePeer(`instance-${index}`, uses);
                    to.placer.dispatch();
                }
            });
        });
        if (clock.now() < untilMs + endMs) {
            clock.after(reportIntervalMs, report);
        }
    }
    callers.forEach((caller, index) => arrive(caller, createVirtualClock(load.seed * callers.length + index).random));
    report();
    clock.runUntil(untilMs + endMs);
}
