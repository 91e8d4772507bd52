/**
 * @module
 * Engines on a virtual clock that load weights on order: more than three that load at once slow each other.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { EngineState, OrderAnswer } from "../../src/core/weights/loadWeights.js";
import type { LoadOrder } from "../../src/io/weights/runRollout.js";

/** An order as an engine received it. */
export interface ReceivedOrder {
    readonly engine: string;
    readonly holder: string;
    readonly fence: number;
    readonly version: number;
    readonly receivedMs: number;
}

/** One engine. */
interface Engine {
    readonly id: string;
    version: number;
    acceptedOrders: number;
    /** When it had each version. */
    readonly loadedMs: Map<number, number>;
    load: { readonly version: number; remainingMs: number; } | undefined;
}

/** A group of engines of one model. */
export interface EngineGroup {
    readonly list: () => readonly Pick<Engine, "id" | "version" | "acceptedOrders">[];
    readonly readState: (id: string) => EngineState | undefined;
    readonly order: (order: LoadOrder) => OrderAnswer;
    readonly listOrders: () => readonly ReceivedOrder[];
    /** When each engine had a version or a newer one; infinite where it never had. */
    readonly listLoadedMs: (version: number) => readonly number[];
}

const tickMs = 5;

/** Engines that load at once without slowing each other. */
const fullSpeedLoads = 3;

/**
 * Creates engines that have version 1.
 *
 * @param clock - The clock.
 * @param count - Number of engines.
 * @param loadMs - Time for which one loads at full speed, in milliseconds.
 * @returns The engines.
 */
export function createEngineGroup(clock: VirtualClock, count: number, loadMs: number): EngineGroup {
    const orders: ReceivedOrder[] = [];
    const engines = Array.from({ length: count }, (_, index): Engine => ({
        id: `engine-${index}`,
        version: 1,
        acceptedOrders: 0,
        loadedMs: new Map(),
        load: undefined,
    }));

    function advance(): void {
        const loads = engines.filter(engine => engine.load !== undefined);
        const progressMs = tickMs * Math.min(1, fullSpeedLoads / loads.length);
        for (const engine of loads) {
            const load = engine.load!;
            load.remainingMs -= progressMs;
            if (load.remainingMs <= 0) {
                engine.version = load.version;
                engine.loadedMs.set(load.version, clock.now());
                engine.load = undefined;
            }
        }
        clock.after(tickMs, advance);
    }

    function receiveOrder({ engine: { id }, version, holder, fence, expectedOrders }: LoadOrder): OrderAnswer {
        const engine = engines.find(one => one.id === id);
        if (engine === undefined) {
            return "rejected";
        }
        const highestFence = Math.max(0, ...orders.filter(one => one.engine === id).map(one => one.fence));
        orders.push({ engine: id, holder, fence, version, receivedMs: clock.now() });
        if (fence < highestFence) {
            return "fenced";
        }
        if (engine.load !== undefined || expectedOrders !== engine.acceptedOrders) {
            return "conflict";
        }
        if (engine.version >= version) {
            return "alreadyHolds";
        }
        engine.acceptedOrders += 1;
        engine.load = { version, remainingMs: loadMs };
        return "accepted";
    }

    advance();
    return {
        list: () => engines,
        readState: id => {
            const engine = engines.find(one => one.id === id);
            return engine && {
                version: engine.version,
                isBusy: engine.load !== undefined,
                acceptedOrders: engine.acceptedOrders,
            };
        },
        order: receiveOrder,
        listOrders: () => orders,
        listLoadedMs: version =>
            engines.map(({ loadedMs }) => {
                const times = [...loadedMs].filter(([loaded]) => loaded >= version).map(([, ms]) => ms);
                return Math.min(Infinity, ...times);
            }),
    };
}
