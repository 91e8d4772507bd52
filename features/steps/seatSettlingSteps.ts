/**
 * @module
 * Steps that start the limits of an instance while the log is down.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { err } from "true-myth/result";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createLimits, type Limits } from "../../src/core/limits/createLimits.js";
import type { ShardTransfer } from "../../src/core/limits/createShardStandby.js";
import { emptyShardLedger, foldShardRecord } from "../../src/core/limits/foldShardRecord.js";
import { shardLeaseMs } from "../../src/core/limits/limitConstants.js";
import type { LogPort } from "../../src/core/ports/logPort.js";
import { followShardLog, type ShardLogFollower } from "../../src/io/limits/followShardLog.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface SettlingScene {
    readonly clock: VirtualClock;
    readonly limits: Limits;
    readonly seats: ShardLogFollower;
    /** Questions that a standby has not answered. */
    readonly asked: Map<string, (seats: readonly ShardTransfer[]) => void>;
}

const scenes = new WeakMap<SiteWorld, SettlingScene>();
const seat = "town-hall/0";

const downLog: LogPort = {
    append: () => Promise.resolve(err({ kind: "notSent", detail: "down" })),
    read: () => Promise.resolve(err({ kind: "notSent", detail: "down" })),
};

/** The record by which the instance's earlier process had taken its seat. */
function createEarlierRecord(standby: string): string {
    const edits = [{ seat, basedOn: 0, isHeld: true }];
    return JSON.stringify({ instance: "entry-1", incarnation: "1", sentMs: 0, standbys: [standby], edits });
}

Given(
    "an instance that starts while the log is down and whose seats {string} may keep",
    async function(this: SiteWorld, standby: string) {
        const clock = createVirtualClock(1);
        const asked: SettlingScene["asked"] = new Map();
        const seats: ShardLogFollower = followShardLog({
            log: downLog,
            clock,
            random: clock.random,
            manager: () => limits.shardManager,
            reviewShards: () => limits.reviewShards(),
            handOver: () => Promise.resolve(),
        });
        const limits: Limits = createLimits({
            clock,
            instance: "entry-1",
            incarnation: "2",
            findLimits: () => undefined,
            countAlive: () => 2,
            listAssignedCustomers: () => [],
            isAlive: () => true,
            rankStandbys: () => [standby],
            countSlots: () => 1,
            preset: () => "lectura",
            random: clock.random,
            sendBorrowRequest: () => undefined,
            isLogReachable: seats.isLogReachable,
            appendRecord: seats.append,
            queryStandby: (name, _, onAnswer) => asked.set(name, onAnswer),
        });
        seats.start();
        seats.adopt(foldShardRecord(emptyShardLedger, 0, createEarlierRecord(standby)));
        await setImmediate();
        clock.runUntil(clock.now() + 100);
        scenes.set(this, { clock, limits, seats, asked });
    },
);

When("{string} answers that it keeps them", function(this: SiteWorld, standby: string) {
    const kept = { seat, revision: 1, restMs: shardLeaseMs, loansRestMs: 0, flightsRestMs: 0 };
    scenes.get(this)!.asked.get(standby)!([kept]);
});

When("{int} ms pass without an answer", function(this: SiteWorld, passedMs: number) {
    const { clock } = scenes.get(this)!;
    clock.runUntil(clock.now() + passedMs);
});

Then("its seats are not settled", function(this: SiteWorld) {
    assert.equal(scenes.get(this)!.seats.isSettled(), false);
});

Then("its seats are settled", function(this: SiteWorld) {
    const { seats, limits } = scenes.get(this)!;
    assert.equal(seats.isSettled(), true);
    limits.stop();
});
