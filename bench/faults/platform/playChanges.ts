/**
 * @module
 * Orders to reload and new configurations, several a second, while no process is told to stop.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { InstanceProcess } from "./createInstanceProcess.js";
import { readSharedClock } from "./readSharedClock.js";

/** What is changed. */
export interface ChangedFleet {
    readonly instances: readonly Pick<InstanceProcess, "signal">[];
    readonly random: () => number;
    /** Writes the next configuration. */
    readonly reconfigure: () => void;
}

/** How a series of changes is played. */
export interface ChangeOptions {
    readonly reloads: boolean;
    readonly configurations: boolean;
    /** Mean pause between two changes, in milliseconds. */
    readonly gapMs: number;
    /** Length of the series, in seconds. */
    readonly seconds: number;
}

const millisecondsPerSecond = 1_000;

/** Plays a series of changes; each of them is drawn from the ones that are allowed. */
export async function playChanges(
    { instances, random, reconfigure }: ChangedFleet,
    options: ChangeOptions,
): Promise<void> {
    const reload = () => instances[Math.floor(random() * instances.length)]!.signal("SIGHUP");
    const changes = [...options.reloads ? [reload] : [], ...options.configurations ? [reconfigure] : []];
    const untilMs = readSharedClock() + options.seconds * millisecondsPerSecond;
    while (readSharedClock() < untilMs) {
        changes[Math.floor(random() * changes.length)]!();
        await delay(options.gapMs * (0.5 + random()));
    }
}
