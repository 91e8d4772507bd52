/**
 * @module
 * The context of an instance whose parts are assembled on a virtual clock.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import { createCodec } from "../../platform/createCodec.js";
import { createEngineOrders } from "../../platform/createEngineOrders.js";
import { createPorts } from "../../platform/createPorts.js";
import { createStoreClient } from "../../platform/createStoreClient.js";
import type { InstanceContext } from "../../src/assemble/routerPorts.js";
import type { RecordStore } from "../../src/core/ports/recordStore.js";
import { createStoreEra } from "../../src/core/store/createStoreEra.js";
import { createRouterMetrics } from "../../src/io/metrics/createRouterMetrics.js";
import { createSettings } from "./platformFixture.js";

/** Creates the context of "entry-1"; without a store, none is reachable. */
export function createInstanceContext(clock: VirtualClock, store?: RecordStore): InstanceContext {
    const storeEra = createStoreEra();
    const records = store ?? createStoreClient("127.0.0.1:1", storeEra.accept);
    return {
        settings: createSettings("entry-1"),
        ports: createPorts(records, storeEra, createCodec(), createEngineOrders()),
        clock,
        startedMs: clock.now(),
        random: clock.random,
        writeLog: () => undefined,
        metrics: createRouterMetrics(),
        listDropped: () => new Map<string, number>(),
        collectGarbage: () => undefined,
    };
}
