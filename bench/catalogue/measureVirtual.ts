/**
 * @module
 * Measures the time until changes are in force at many followers on the virtual clock.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { followCatalogue } from "../../src/io/catalogue/followCatalogue.js";
import { advanceClock } from "../support/advanceClock.js";
import { createMemoryLog } from "../support/createMemoryLog.js";
import { createUpstream } from "./createFleetEntries.js";
import { createInForceTimes, type InForceSummary } from "./createInForceTimes.js";

/** Parameters of the measurement. */
export interface VirtualOptions {
    readonly seed: number;
    readonly instances: number;
    readonly changes: number;
    /** Mean time between two changes, in milliseconds. */
    readonly meanGapMs: number;
    /** One-way delay to the log for a random number between 0 and 1. */
    readonly toDelayMs: (random: number) => number;
    /** Outage of the log in the middle of the run, in milliseconds; the remaining changes are appended after it. */
    readonly outageMs: number;
}

/** Summary of the times, and the load on the log. */
export interface VirtualSummary extends InForceSummary {
    readonly readsPerSecond: number;
}

const settleMs = 6_000;

/** Measures the times. */
export async function measureVirtual(options: VirtualOptions): Promise<VirtualSummary> {
    const clock = createVirtualClock(options.seed);
    const log = createMemoryLog({ clock, sampleDelayMs: () => options.toDelayMs(clock.random()) });
    const times = createInForceTimes(options.instances);
    const followers = Array.from({ length: options.instances }, (_, index) =>
        followCatalogue({
            log,
            clock,
            random: clock.random,
            writeLog: () => undefined,
            onAdvance: catalogue => times.recordAdvance(index, catalogue, clock.now()),
        }));
    await advanceClock(clock, 2_000);
    for (let change = 0; change < options.changes; change += 1) {
        if (change === options.changes >> 1 && options.outageMs > 0) {
            log.setDown(true);
            await advanceClock(clock, clock.now() + options.outageMs);
            log.setDown(false);
        }
        const entry = createUpstream(change, 1, false);
        const changeId = `change-${change}`;
        const edits = [{ key: `${entry.kind}/${entry.id}`, basedOn: 0, entry }];
        times.recordAppend(changeId, clock.now());
        void log.append("catalogue", [JSON.stringify({ kind: "change", changeId, author: "bench", edits })]);
        await advanceClock(clock, clock.now() + 2 * options.meanGapMs * clock.random());
    }
    await advanceClock(clock, clock.now() + settleMs);
    followers.forEach(follower => follower.stop());
    await advanceClock(clock, clock.now() + settleMs, 100);
    return { ...times.summarise(), readsPerSecond: log.countReads() * 1_000 / clock.now() };
}
