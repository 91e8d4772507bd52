/**
 * @module
 * Steps that settle the quota shards of an instance that starts while the log is down.
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

interface SettlingFixture {
    readonly clock: VirtualClock;
    readonly limits: Limits;
    readonly shardLog: ShardLogFollower;
    /** Callbacks for queries that a standby has not answered, by its name. */
    readonly pendingQueries: Map<string, (shards: readonly ShardTransfer[]) => void>;
}

const fixtures = new WeakMap<SiteWorld, SettlingFixture>();
const shard = "town-hall/0";

const downLog: LogPort = {
    append: () => Promise.resolve(err({ kind: "notSent", detail: "down" })),
    read: () => Promise.resolve(err({ kind: "notSent", detail: "down" })),
};

/** The record with which the previous incarnation of the instance acquired its shard. */
function createEarlierRecord(standby: string): string {
    const edits = [{ seat: shard, basedOn: 0, isHeld: true }];
    return JSON.stringify({ instance: "entry-1", incarnation: "1", sentMs: 0, standbys: [standby], edits });
}

Given(
    "an instance that starts while the log is down and whose shards {string} may hold as standby",
    async function(this: SiteWorld, standby: string) {
        const clock = createVirtualClock(1);
        const pendingQueries: SettlingFixture["pendingQueries"] = new Map();
        const shardLog: ShardLogFollower = followShardLog({
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
            isLogReachable: shardLog.isLogReachable,
            appendRecord: shardLog.append,
            queryStandby: (name, _, onAnswer) => pendingQueries.set(name, onAnswer),
        });
        shardLog.start();
        shardLog.adopt(foldShardRecord(emptyShardLedger, 0, createEarlierRecord(standby)));
        await setImmediate();
        clock.runUntil(clock.now() + 100);
        fixtures.set(this, { clock, limits, shardLog, pendingQueries });
    },
);

When("{string} answers that it holds them", function(this: SiteWorld, standby: string) {
    const held = { seat: shard, revision: 1, restMs: shardLeaseMs, loansRestMs: 0, flightsRestMs: 0 };
    fixtures.get(this)!.pendingQueries.get(standby)!([held]);
});

When("{int} ms pass without an answer", function(this: SiteWorld, passedMs: number) {
    const { clock } = fixtures.get(this)!;
    clock.runUntil(clock.now() + passedMs);
});

Then("its shards are not settled", function(this: SiteWorld) {
    assert.equal(fixtures.get(this)!.shardLog.isSettled(), false);
});

Then("its shards are settled", function(this: SiteWorld) {
    const { shardLog, limits } = fixtures.get(this)!;
    assert.equal(shardLog.isSettled(), true);
    limits.stop();
});
