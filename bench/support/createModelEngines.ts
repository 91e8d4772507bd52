/**
 * @module
 * Model engines on a clock: they take orders late, load for a while, crash and come back empty, and keep a history.
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

/** Shape of the engines. */
export interface ModelEnginesOptions {
    readonly clock: Clock;
    readonly addresses: readonly string[];
    readonly loaded: readonly string[];
    readonly fences: (address: string) => boolean;
    /** Milliseconds from a call to its effect, below the time for which an order is valid. */
    readonly drawDelayMs: () => number;
    readonly drawLoadMs: () => number;
}

/** The engines with their faults and history. */
export interface ModelEngines extends Pick<EnginePort, "readState" | "readLoad" | "sendOrder"> {
    readonly effects: readonly OrderEffect[];
    /** Comes back empty as another incarnation. */
    readonly crash: (address: string) => void;
    readonly setSilent: (address: string, isSilent: boolean) => void;
    readonly setRunning: (address: string, count: number) => void;
    readonly isLoaded: (address: string, weights: string) => boolean;
    readonly countLoading: () => number;
    /** Most engines that loaded at the same time. */
    readonly mostLoading: () => number;
}

interface Engine {
    life: number;
    loaded: Set<string>;
    readonly loading: Set<string>;
    role: string;
    isLeaving: boolean;
    isSilent: boolean;
    running: number;
    lastFencingNumber: number;
}

const lostAfterMs = 2_000;

/** Creates the engines. */
export function createModelEngines(options: ModelEnginesOptions): ModelEngines {
    const { clock } = options;
    const engines = new Map(options.addresses.map(address => [address, createEngine(options.loaded)]));
    const effects: OrderEffect[] = [];
    let mostLoading = 0;

    function createEngine(loaded: readonly string[]): Engine {
        const own = { loaded: new Set(loaded), loading: new Set<string>(), role: "serving", isLeaving: false };
        return { ...own, life: 1, isSilent: false, running: 0, lastFencingNumber: -1 };
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
            incarnation: `${address}/${engine.life}`,
            role,
            loaded: [...loaded],
            loading: [...loading],
            lastFencingNumber,
        };
    }

    function startLoad(engine: Engine, weights: string): void {
        const { life } = engine;
        engine.loading.add(weights);
        mostLoading = Math.max(mostLoading, countLoading());
        clock.after(options.drawLoadMs(), () => {
            if (engine.life === life) {
                engine.loading.delete(weights);
                engine.loaded.add(weights);
            }
        });
    }

    function take(engine: Engine, address: string, order: EngineOrder): boolean {
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
            engine.isLeaving = true;
        }
        return true;
    }

    async function call<T>(address: string, answer: (engine: Engine) => T): Promise<Result<T, PortFailure>> {
        const engine = engines.get(address)!;
        await delay(options.drawDelayMs());
        if (engine.isSilent) {
            await delay(lostAfterMs);
            return err({ kind: "lost", detail: "silent" });
        }
        return ok(answer(engine));
    }

    async function sendOrder(address: string, order: EngineOrder): Promise<Result<EngineState, PortFailure>> {
        const sentMs = clock.now();
        const taken = await call(address, engine => {
            const isValid = clock.now() <= sentMs + order.validForMs;
            return isValid && take(engine, address, order) ? toState(engine, address) : undefined;
        });
        return taken.andThen(state => state === undefined ? err({ kind: "refused", detail: "old" }) : ok(state));
    }

    function toLoad(engine: Engine, address: string): EngineLoad {
        return {
            incarnation: `${address}/${engine.life}`,
            weightsVersion: "",
            queuedRequests: 0,
            runningRequests: engine.running,
            queuedPromptTokens: 0,
            leaving: engine.isLeaving,
        };
    }

    return {
        readState: address => call(address, engine => toState(engine, address)),
        readLoad: address => call(address, engine => toLoad(engine, address)),
        sendOrder,
        effects,
        crash: address => {
            const engine = engines.get(address)!;
            engine.life += 1;
            engine.loaded.clear();
            engine.loading.clear();
        },
        setSilent: (address, isSilent) => {
            engines.get(address)!.isSilent = isSilent;
        },
        setRunning: (address, count) => {
            engines.get(address)!.running = count;
        },
        isLoaded: (address, weights) => engines.get(address)!.loaded.has(weights),
        countLoading,
        mostLoading: () => mostLoading,
    };
}
