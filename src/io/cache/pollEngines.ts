/**
 * @module
 * Polls load reports and cache events of the engines that this instance uses, with limits on calls and bytes.
 */
import type { CacheView } from "../../core/cache/createCacheView.js";
import type { EventBackoff } from "../../core/cache/createEventBackoff.js";
import type { Upstream } from "../../core/catalogue/catalogueEntry.js";
import { millisecondsPerSecond } from "../../core/constants.js";
import type { EngineLoad, EnginePort } from "../../core/ports/enginePort.js";
import type { Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";

/** Dependencies of {@link pollEngines}. */
export interface EnginePollingDependencies {
    readonly clock: Clock;
    readonly engines: Pick<EnginePort, "readLoad" | "readCacheEvents">;
    /** Lists the engines that this instance has recently sent to. */
    readonly listUsed: () => readonly Upstream[];
    readonly cache: CacheView;
    readonly backoff: EventBackoff;
    readonly onLoad: (upstream: Upstream, load: EngineLoad) => void;
    /** Maximum average rate of cache events, in bytes per second; 0 reads none. */
    readonly eventBytesPerSecond: number;
}

const periodMs = 1_000;

/** Maximum number of engines polled in one period; more engines are polled round-robin. */
const maxPolls = 16;

/** Approximate size of one event and of a page on the wire. */
const eventBytes = 64;
const pageBytes = 256;

/** Burst of the byte limit, in seconds of its rate. */
const burstSeconds = 2;

/**
 * Starts polling.
 *
 * @param dependencies - Engines, views and limits.
 * @returns A function that stops polling.
 */
export function pollEngines(dependencies: EnginePollingDependencies): () => void {
    const { clock, engines, cache, backoff } = dependencies;
    const busy = new Set<string>();
    const maxBytes = dependencies.eventBytesPerSecond * burstSeconds;
    let bytesLeft = maxBytes;
    let turn = 0;
    let isStopped = false;

    async function readEvents({ id, address }: Upstream): Promise<void> {
        if (bytesLeft <= 0 || !backoff.isDue(id, clock.now())) {
            return;
        }
        const page = await engines.readCacheEvents(address, cache.nextSequence(id));
        if (page.isOk && !isStopped) {
            bytesLeft -= pageBytes + page.value.events.length * eventBytes;
            backoff.recordRead(id, cache.applyEvents(id, page.value, clock.now()), clock.now());
        }
    }

    async function poll(upstream: Upstream): Promise<void> {
        busy.add(upstream.id);
        const load = await engines.readLoad(upstream.address);
        if (load.isOk && !isStopped) {
            dependencies.onLoad(upstream, load.value);
        }
        await readEvents(upstream);
        busy.delete(upstream.id);
    }

    function tick(): void {
        bytesLeft = Math.min(
            maxBytes,
            bytesLeft + (dependencies.eventBytesPerSecond * periodMs) / millisecondsPerSecond,
        );
        const used = dependencies.listUsed();
        const count = Math.min(maxPolls, used.length);
        for (let index = 0; index < count; index += 1) {
            const upstream = used[(turn + index) % used.length]!;
            if (!busy.has(upstream.id)) {
                void poll(upstream);
            }
        }
        turn += count;
    }

    tick();
    const stopPolling = repeatEvery(clock, periodMs, tick);
    return () => {
        isStopped = true;
        stopPolling();
    };
}
