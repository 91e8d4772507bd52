/**
 * @module
 * A process of the bundle that runs alone, beside a store with a configuration and one server.
 */
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { type FakeServer, startFakeServer } from "../../fakes/startFakeServer.js";
import { type FakeStore, startFakeStore } from "../../fakes/startFakeStore.js";
import type { LonePlaceOptions } from "./placeLoneInstance.js";
import { configuration } from "./platformFixture.js";
import type { SiteWorld } from "./siteWorld.js";
import { startLoneProcess } from "./startLoneProcess.js";

/** Options of {@link startLoneInstance}. */
export interface LoneInstanceOptions extends Omit<LonePlaceOptions, "storeAddress"> {
    /** The configuration in the store; the usual one unless given. */
    readonly storedConfiguration?: object;
    /** Settings that replace those of the place. */
    readonly changedSettings?: object;
}

/** The process, and what it works with. */
export interface LoneInstance {
    readonly instance: InstanceProcess;
    readonly server: FakeServer;
    readonly store: FakeStore;
}

/** Starts the process with the arguments of the deploy file and waits until it is ready; all ends with the scenario. */
export async function startLoneInstance(world: SiteWorld, options: LoneInstanceOptions): Promise<LoneInstance> {
    const { storedConfiguration = configuration, changedSettings, ...place } = options;
    const store = await startFakeStore();
    const server = await startFakeServer("i-1", "portal");
    store.put("keyed.op", "config", storedConfiguration);
    store.put("keyed.servers", server.id, server.entry());
    const instance = await startLoneProcess(world, { ...place, storeAddress: store.address }, changedSettings);
    world.cleanups.push(() => store.stop(), () => server.stop());
    return { instance, server, store };
}
