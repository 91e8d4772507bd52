/**
 * @module
 * Polls the engines of unfinished work, a bounded number at a time.
 */
import type { Upstream } from "../../core/catalogue/catalogueEntry.js";
import type { ObservedEngine } from "../../core/orders/planOrders.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import type { Clock } from "../../core/time/clock.js";

/** Polls engines and holds their last states. */
export interface EngineObserver {
    /** Polls the first `always` engines of the list on every call, the others in turn. */
    readonly observe: (watched: readonly Upstream[], always: number) => Promise<void>;
    /** Returns the watched engines that were polled recently. */
    readonly findFresh: (watched: readonly Upstream[]) => ReadonlyMap<string, ObservedEngine>;
}

/** Maximum number of engines polled at a time. */
const maxParallelReads = 16;

/** Time for which a state stays fresh, beyond the time of two rounds, in milliseconds. */
const freshMs = 5_000;

/**
 * Creates the observer.
 *
 * @param engines - Reads of an engine's state and load.
 * @param clock - The instance's clock.
 * @returns The observer.
 */
export function createEngineObserver(
    engines: Pick<EnginePort, "readState" | "readLoad">,
    clock: Clock,
): EngineObserver {
    const observed = new Map<string, { readonly engine: ObservedEngine; readonly atMs: number; }>();
    let position = 0;
    let roundStartMs = clock.now();
    let roundMs = 0;

    async function poll(upstream: Upstream): Promise<void> {
        const atMs = clock.now();
        const [state, load] = await Promise.all([
            engines.readState(upstream.address),
            engines.readLoad(upstream.address),
        ]);
        if (state.isErr || load.isErr) {
            observed.delete(upstream.id);
            return;
        }
        const { runningRequests, queuedRequests, leaving } = load.value;
        const engine = { state: state.value, runningRequests: runningRequests + queuedRequests, isLeaving: leaving };
        observed.set(upstream.id, { engine, atMs });
    }

    async function observe(watched: readonly Upstream[], always: number): Promise<void> {
        const first = watched.slice(0, Math.min(always, maxParallelReads));
        const others = watched.slice(first.length);
        if (position >= others.length) {
            position = 0;
            roundMs = clock.now() - roundStartMs;
            roundStartMs = clock.now();
        }
        const next = others.slice(position, position + maxParallelReads - first.length);
        position += next.length;
        await Promise.all([...first, ...next].map(poll));
    }

    function findFresh(watched: readonly Upstream[]): ReadonlyMap<string, ObservedEngine> {
        const oldestMs = clock.now() - freshMs - 2 * roundMs;
        const ids = new Set(watched.map(one => one.id));
        for (const id of observed.keys()) {
            if (!ids.has(id)) {
                observed.delete(id);
            }
        }
        return new Map([...observed].filter(([, one]) => one.atMs >= oldestMs).map(([id, one]) => [id, one.engine]));
    }

    return { observe, findFresh };
}
