/**
 * @module
 * Simulated model engines on a given clock: orders arrive with a delay, loads take time, crashes lose all weights, and
 * the orders that took effect are recorded.
 */
import { err, ok, type Result } from "true-myth/result";
import type { EngineLoad, EngineOrder, EnginePort, EngineState } from "../../src/core/ports/enginePort.js";
import type { PortFailure } from "../../src/core/ports/portFailure.js";
import type { Clock } from "../../src/core/time/clock.js";

/** An order that took effect. */
export interface OrderEffect {
    readonly atMs: number;
    readonly address: string;
    readonly order: EngineOrder;
}

/** Options of the engines. */
export interface ModelEnginesOptions {
    readonly clock: Clock;
    readonly addresses: readonly string[];
    /** Weights that are loaded at the start, as "MODEL@VERSION". */
    readonly loaded: readonly string[];
    /** Whether the engine rejects orders with an old fencing number. */
    readonly fences: (address: string) => boolean;
    /** Returns the delay from a call to its effect, which must be shorter than an order's validity. */
    readonly sampleDelayMs: () => number;
    /** Returns the duration of a load. */
    readonly sampleLoadMs: () => number;
}

/** The engines with their fault switches and history. */
export interface ModelEngines extends Pick<EnginePort, "readState" | "readLoad" | "sendOrder"> {
    readonly effects: readonly OrderEffect[];
    /** Restarts the engine without weights as a new incarnation. */
    readonly crash: (address: string) => void;
    readonly setUnresponsive: (address: string, isUnresponsive: boolean) => void;
    readonly setRunning: (address: string, count: number) => void;
    readonly isLoaded: (address: string, weights: string) => boolean;
    readonly countLoading: () => number;
    /** Maximum number of engines that loaded at the same time. */
    readonly maxLoading: () => number;
}

interface Engine {
    incarnation: number;
    loaded: Set<string>;
    readonly loading: Set<string>;
    role: string;
    isDraining: boolean;
    isUnresponsive: boolean;
    running: number;
    lastFencingNumber: number;
}

const callTimeoutMs = 2_000;

/** Creates the engines. */
export function createModelEngines(options: ModelEnginesOptions): ModelEngines {
    const { clock } = options;
    const engines = new Map(options.addresses.map(address => [address, createEngine(options.loaded)]));
    const effects: OrderEffect[] = [];
    let maxLoading = 0;

    function createEngine(loaded: readonly string[]): Engine {
        const own = { loaded: new Set(loaded), loading: new Set<string>(), role: "serving", isDraining: false };
        return { ...own, incarnation: 1, isUnresponsive: false, running: 0, lastFencingNumber: -1 };
    }

    function delay(durationMs: number): Promise<void> {
        return new Promise(resolve => clock.after(durationMs, resolve));
    }

    function countLoading(): number {
        return [...engines.values()].filter(engine => engine.loading.size > 0).length;
    }

    function toState(engine: Engine, address: string): EngineState {
        const { role, loaded, loading, lastFencingNumber } = engine;
        return {
            incarnation: `${address}/${engine.incarnation}`,
            role,
            loaded: [...loaded],
            loading: [...loading],
            lastFencingNumber,
        };
    }

    function startLoad(engine: Engine, weights: string): void {
        const { incarnation } = engine;
        engine.loading.add(weights);
        maxLoading = Math.max(maxLoading, countLoading());
        clock.after(options.sampleLoadMs(), () => {
            if (engine.incarnation === incarnation) {
                engine.loading.delete(weights);
                engine.loaded.add(weights);
            }
        });
    }

    function applyOrder(engine: Engine, address: string, order: EngineOrder): boolean {
        if (options.fences(address) && order.fencingNumber < engine.lastFencingNumber) {
            return false;
        }
        engine.lastFencingNumber = Math.max(engine.lastFencingNumber, order.fencingNumber);
        effects.push({ atMs: clock.now(), address, order });
        const weights = `${order.model}@${order.weightsVersion}`;
        if (order.action === "load" && !engine.loaded.has(weights) && !engine.loading.has(weights)) {
            startLoad(engine, weights);
        }
        else if (order.action === "unload") {
            engine.loaded.delete(weights);
        }
        else if (order.action === "role") {
            engine.role = order.role;
        }
        else if (order.action === "drain") {
            engine.isDraining = true;
        }
        return true;
    }

    async function call<T>(address: string, answer: (engine: Engine) => T): Promise<Result<T, PortFailure>> {
        const engine = engines.get(address)!;
        await delay(options.sampleDelayMs());
        if (engine.isUnresponsive) {
            await delay(callTimeoutMs);
            return err({ kind: "lost", detail: "engine did not answer" });
        }
        return ok(answer(engine));
    }

    async function sendOrder(address: string, order: EngineOrder): Promise<Result<EngineState, PortFailure>> {
        const sentMs = clock.now();
        const result = await call(address, engine => {
            const isValid = clock.now() <= sentMs + order.validForMs;
            return isValid && applyOrder(engine, address, order) ? toState(engine, address) : undefined;
        });
        return result.andThen(state =>
            state === undefined ? err({ kind: "refused", detail: "order expired or fenced" }) : ok(state)
        );
    }

    function toLoad(engine: Engine, address: string): EngineLoad {
        return {
            incarnation: `${address}/${engine.incarnation}`,
            weightsVersion: "",
            queuedRequests: 0,
            runningRequests: engine.running,
            queuedPromptTokens: 0,
            leaving: engine.isDraining,
        };
    }

    return {
        readState: address => call(address, engine => toState(engine, address)),
        readLoad: address => call(address, engine => toLoad(engine, address)),
        sendOrder,
        effects,
        crash: address => {
            const engine = engines.get(address)!;
            engine.incarnation += 1;
            engine.loaded.clear();
            engine.loading.clear();
        },
        setUnresponsive: (address, isUnresponsive) => {
            engines.get(address)!.isUnresponsive = isUnresponsive;
        },
        setRunning: (address, count) => {
            engines.get(address)!.running = count;
        },
        isLoaded: (address, weights) => engines.get(address)!.loaded.has(weights),
        countLoading,
        maxLoading: () => maxLoading,
    };
}
