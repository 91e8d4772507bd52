/**
 * @module
 * Measures the time until changes are in force at followers with connections of their own, over a fake log on loopback.
 */
import { setTimeout as delay } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { startFakeLog } from "../../fakes/startFakeLog.js";
import { followCatalogue } from "../../src/io/catalogue/followCatalogue.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createCallJson } from "../../src/io/platform/callJson.js";
import { createLogClient } from "../../src/io/platform/createLogClient.js";
import { createUpstream } from "./createFleetEntries.js";
import { createInForceTimes, type InForceSummary } from "./createInForceTimes.js";
import { delayLog } from "./delayLog.js";

/** Parameters of the measurement. */
export interface LoopbackOptions {
    readonly seed: number;
    readonly instances: number;
    readonly changes: number;
    /** One-way delay to the log for a random number between 0 and 1; undefined for none. */
    readonly toDelayMs: ((random: number) => number) | undefined;
}

const connectTimeoutMs = 1_000;
const meanGapMs = 60;
const settleMs = 4_000;

/** Measures the times. */
export async function measureLoopback(options: LoopbackOptions): Promise<InForceSummary> {
    const generator = xoroshiro128plus(options.seed);
    const random = () => uniformInt(generator, 0, 0x3fffffff) / 0x40000000;
    const clock = createSystemClock();
    const server = await startFakeLog();
    const times = createInForceTimes(options.instances);
    const { toDelayMs } = options;
    const parts = Array.from({ length: options.instances + 1 }, () => {
        const json = createCallJson(connectTimeoutMs);
        const log = createLogClient(`http://${server.address}`, json.call);
        return { json, log: toDelayMs === undefined ? log : delayLog(log, clock, () => toDelayMs(random())) };
    });
    const followers = parts.slice(1).map(({ log }, index) =>
        followCatalogue({
            log,
            clock,
            random,
            writeLog: () => undefined,
            onAdvance: catalogue => times.recordAdvance(index, catalogue, clock.now()),
        })
    );
    await delay(500);
    const appends: Promise<unknown>[] = [];
    for (let change = 0; change < options.changes; change += 1) {
        const entry = createUpstream(change, 1, false);
        const edits = [{ key: `${entry.kind}/${entry.id}`, basedOn: 0, entry }];
        const changeId = `change-${change}`;
        times.recordAppend(changeId, clock.now());
        const payload = JSON.stringify({ kind: "change", changeId, author: "bench", edits });
        appends.push(parts[0]!.log.append("catalogue", [payload]));
        await delay(2 * meanGapMs * random());
    }
    await Promise.all(appends);
    await delay(settleMs);
    followers.forEach(follower => follower.stop());
    await Promise.all(parts.map(part => part.json.close()));
    await server.close();
    return times.summarise();
}
