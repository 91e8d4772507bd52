/**
 * @module
 * A process of the bundle that runs alone, beside a store with a configuration and one server.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInstanceProcess, type InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { bundledProgram, readDeployArguments } from "../../bench/faults/platform/readDeployArguments.js";
import { type FakeServer, startFakeServer } from "../../fakes/startFakeServer.js";
import { type FakeStore, startFakeStore } from "../../fakes/startFakeStore.js";
import { type LonePlaceOptions, placeLoneInstance } from "./placeLoneInstance.js";
import { configuration, waitUntil } from "./platformFixture.js";
import type { SiteWorld } from "./siteWorld.js";

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
    const folder = mkdtempSync(join(tmpdir(), "reedward-lone-"));
    const settingsPath = join(folder, "settings.json");
    const instance = createInstanceProcess(
        placeLoneInstance({ ...place, storeAddress: store.address }),
        settingsPath,
        [...readDeployArguments(), bundledProgram],
    );
    const settings = JSON.parse(readFileSync(settingsPath, "utf8")) as object;
    writeFileSync(settingsPath, JSON.stringify({ ...settings, ...changedSettings }));
    world.cleanups.push(
        () => instance.stop(),
        () => store.stop(),
        () => server.stop(),
        () => rmSync(folder, { recursive: true, force: true }),
    );
    instance.start();
    await waitUntil("the instance is ready", () => instance.isReady());
    return { instance, server, store };
}
