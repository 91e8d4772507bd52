/**
 * @module
 * A process of an instance that runs alone on the deploy bundle, with the deploy file's arguments.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
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
 * @param changedSettings - Settings that replace those of the place.
 * @returns The process.
 */
export async function startLoneProcess(
    world: SiteWorld,
    place: LonePlaceOptions,
    changedSettings: object = {},
): Promise<InstanceProcess> {
    const folder = mkdtempSync(join(tmpdir(), "reedward-process-"));
    const settingsPath = join(folder, "settings.json");
    const command = [...readDeployArguments(), bundledProgram];
    const instance = createInstanceProcess(placeLoneInstance(place), settingsPath, command);
    const settings = JSON.parse(readFileSync(settingsPath, "utf8")) as object;
    writeFileSync(settingsPath, JSON.stringify({ ...settings, ...changedSettings }));
    world.cleanups.push(() => instance.stop(), () => rmSync(folder, { recursive: true, force: true }));
    instance.start();
    await waitUntil("the instance is ready", () => instance.isReady());
    loneProcesses.set(world, instance);
    return instance;
}
