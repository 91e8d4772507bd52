/**
 * @module
 * A process of an instance that runs alone on the deploy bundle, with the deploy file's arguments.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInstanceProcess, type InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { bundledProgram, readDeployArguments } from "../../bench/faults/platform/readDeployArguments.js";
import { type LonePlaceOptions, placeLoneInstance } from "./placeLoneInstance.js";
import { waitUntil } from "./platformFixture.js";
import type { SiteWorld } from "./siteWorld.js";

/** The started process of each scenario. */
export const loneProcesses = new WeakMap<SiteWorld, InstanceProcess>();

/**
 * Starts a process and waits until it is ready; it is killed when the scenario is over.
 *
 * @param world - The scenario.
 * @param place - Where it runs.
 * @returns The process.
 */
export async function startLoneProcess(world: SiteWorld, place: LonePlaceOptions): Promise<InstanceProcess> {
    const folder = mkdtempSync(join(tmpdir(), "reedward-process-"));
    const command = [...readDeployArguments(), bundledProgram];
    const instance = createInstanceProcess(placeLoneInstance(place), join(folder, "settings.json"), command);
    world.cleanups.push(() => instance.stop(), () => rmSync(folder, { recursive: true, force: true }));
    instance.start();
    await waitUntil("the instance is ready", () => instance.isReady());
    loneProcesses.set(world, instance);
    return instance;
}
