/**
 * @module
 * Orders to stop, reload and restart real processes.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { InstanceProcess } from "./createInstanceProcess.js";
import { playChanges } from "./playChanges.js";
import { readSharedClock } from "./readSharedClock.js";

/**
 * How instances are stopped.
 *
 * - `turn`: one after the other, with a pause between the orders.
 * - `together`: all at once.
 * - `alone`: one of them.
 * - `mixed`: at random, overlapping, with reloads, also of processes that start, restarts on addresses that are still in use,
 *   and new versions of the weights.
 * - `load`: not at all; a version of the weights is named.
 * - `reloads`: not at all; instances are told to read their settings again.
 * - `configurations`: not at all; the operator writes one configuration after the other.
 * - `changes`: not at all; both of these.
 */
export type StopPlan = "turn" | "together" | "alone" | "mixed" | "load" | "reloads" | "configurations" | "changes";

/** Every plan. */
export const stopPlans: readonly StopPlan[] = [
    "turn",
    "together",
    "alone",
    "mixed",
    "load",
    "reloads",
    "configurations",
    "changes",
];

/** How a plan is played. */
export interface PlanOptions {
    readonly plan: StopPlan;
    /** Pause between two orders or changes, in milliseconds. */
    readonly gapMs: number;
    /** Length of the series in the plan `mixed` and in those without stops, in seconds. */
    readonly seconds: number;
}

/** What the orders go to. */
export interface OrderedFleet {
    readonly instances: readonly InstanceProcess[];
    readonly random: () => number;
    /** Names the next version of the weights. */
    readonly nameVersion: () => void;
    /** Writes the next configuration. */
    readonly reconfigure: () => void;
}

const restartDelayMs = 500;
const millisecondsPerSecond = 1_000;

/** Time from the start of a process at which signals meet it while it loads, in milliseconds. */
const receivesSignalsMs = 150;

async function stopAndRestart(instance: InstanceProcess): Promise<void> {
    instance.signal("SIGTERM");
    await instance.ended();
    await delay(restartDelayMs);
    instance.start();
}

/** A successor that is started while the process before it still holds its addresses. */
async function restartOverlapping(instance: InstanceProcess, random: () => number): Promise<void> {
    instance.signal("SIGTERM");
    await delay(random() * 6_000);
    instance.start();
    await delay(receivesSignalsMs + random() * 500);
    instance.signal("SIGHUP");
}

async function reloadWhileStarting(instance: InstanceProcess, random: () => number): Promise<void> {
    await stopAndRestart(instance);
    for (let count = 0; count < 3; count += 1) {
        await delay(receivesSignalsMs + random() * 150);
        instance.signal("SIGHUP");
    }
}

/** A process that is told to stop again before it is ready. */
async function stopWhileStarting(instance: InstanceProcess, random: () => number): Promise<void> {
    await stopAndRestart(instance);
    await delay(receivesSignalsMs + random() * 400);
    instance.signal("SIGTERM");
    instance.signal("SIGHUP");
    await instance.ended();
    instance.start();
}

async function reload(instance: InstanceProcess): Promise<void> {
    instance.signal("SIGHUP");
    await delay(receivesSignalsMs);
    instance.signal("SIGHUP");
}

async function playMixed({ instances, random, nameVersion }: OrderedFleet, options: PlanOptions): Promise<void> {
    const actions = [
        stopAndRestart,
        stopAndRestart,
        restartOverlapping,
        reloadWhileStarting,
        stopWhileStarting,
        reload,
    ];
    const busy = new Set<InstanceProcess>();
    const running: Promise<void>[] = [];
    const untilMs = readSharedClock() + options.seconds * millisecondsPerSecond;
    while (readSharedClock() < untilMs) {
        const instance = instances[Math.floor(random() * instances.length)]!;
        const action = actions[Math.floor(random() * actions.length)]!;
        if (random() < 0.1) {
            nameVersion();
        }
        if (!busy.has(instance)) {
            busy.add(instance);
            running.push(action(instance, random).finally(() => busy.delete(instance)));
        }
        else {
            // A second signal meets a process that already leaves or starts.
            await reload(instance);
        }
        await delay(options.gapMs * (0.5 + random()));
    }
    await Promise.all(running);
}

/** Plays a plan; resolves when each instance that was stopped has been started again. */
export async function playPlan(fleet: OrderedFleet, options: PlanOptions): Promise<void> {
    const { instances } = fleet;
    switch (options.plan) {
        case "turn": {
            const stops: Promise<void>[] = [];
            for (const instance of instances) {
                stops.push(stopAndRestart(instance));
                await delay(options.gapMs);
            }
            await Promise.all(stops);
            return;
        }
        case "together":
            await Promise.all(instances.map(stopAndRestart));
            return;
        case "alone":
            await stopAndRestart(instances[0]!);
            return;
        case "load":
            fleet.nameVersion();
            await delay(options.seconds * millisecondsPerSecond);
            return;
        case "reloads":
        case "configurations":
        case "changes":
            await playChanges(fleet, {
                ...options,
                reloads: options.plan !== "configurations",
                configurations: options.plan !== "reloads",
            });
            return;
        default:
            await playMixed(fleet, options);
    }
}
