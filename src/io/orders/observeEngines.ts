/**
 * @module
 * Reads back the engines that unfinished work is about, a bounded number at a time.
 */
import type { Upstream } from "../../core/catalogue/catalogueEntry.js";
import type { ObservedEngine } from "../../core/orders/planOrders.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import type { Clock } from "../../core/time/clock.js";

/** Reads engines back. */
export interface EngineObserver {
    /** Reads the next engines in turn; the first ones of the list every time. */
    readonly observe: (watched: readonly Upstream[], always: number) => Promise<void>;
    /** Engines that were read lately, of those watched. */
    readonly findFresh: (watched: readonly Upstream[]) => ReadonlyMap<string, ObservedEngine>;
}

/** Engines that are read at a time. */
const readsAtATime = 16;

/** Time for which a read counts, beyond the time that one turn takes, in milliseconds. */
const freshMs = 5_000;

/**
 * Creates the observer.
 *
 * @param engines - Reads of an engine's state and load.
 * @param clock - The instance's clock.
 * @returns The observer.
 */
export function observeEngines(engines: Pick<EnginePort, "readState" | "readLoad">, clock: Clock): EngineObserver {
    const seen = new Map<string, { readonly engine: ObservedEngine; readonly atMs: number; }>();
    let turn = 0;
    let turnStartMs = clock.now();
    let turnMs = 0;

    async function readOne(upstream: Upstream): Promise<void> {
        const atMs = clock.now();
        const [state, load] = await Promise.all([
            engines.readState(upstream.address),
            engines.readLoad(upstream.address),
        ]);
        if (state.isErr || load.isErr) {
            seen.delete(upstream.id);
            return;
        }
        const { runningRequests, queuedRequests, leaving } = load.value;
        const engine = { state: state.value, runningRequests: runningRequests + queuedRequests, isLeaving: leaving };
        seen.set(upstream.id, { engine, atMs });
    }

    async function observe(watched: readonly Upstream[], always: number): Promise<void> {
        const first = watched.slice(0, Math.min(always, readsAtATime));
        const rest = watched.slice(first.length);
        if (turn >= rest.length) {
            turn = 0;
            turnMs = clock.now() - turnStartMs;
            turnStartMs = clock.now();
        }
        const next = rest.slice(turn, turn + readsAtATime - first.length);
        turn += next.length;
        await Promise.all([...first, ...next].map(readOne));
    }

    function findFresh(watched: readonly Upstream[]): ReadonlyMap<string, ObservedEngine> {
        const oldestMs = clock.now() - freshMs - 2 * turnMs;
        const ids = new Set(watched.map(one => one.id));
        for (const id of seen.keys()) {
            if (!ids.has(id)) {
                seen.delete(id);
            }
        }
        return new Map([...seen].filter(([, one]) => one.atMs >= oldestMs).map(([id, one]) => [id, one.engine]));
    }

    return { observe, findFresh };
}
