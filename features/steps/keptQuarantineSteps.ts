/**
 * @module
 * Steps on a quarantine that is kept in a store while instances end and start.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { RecordStore } from "../../src/core/ports/recordStore.js";
import { createPartGuard } from "../../src/core/quarantine/createPartGuard.js";
import type { PartGuard } from "../../src/core/quarantine/partGuardTypes.js";
import type { QuarantineRecord } from "../../src/core/quarantine/quarantineMessage.js";
import { keepQuarantine } from "../../src/io/quarantine/keepQuarantine.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface KeptFixture {
    readonly clock: VirtualClock;
    readonly values: Map<string, Uint8Array>;
    guard: PartGuard;
}

const fixtures = new WeakMap<SiteWorld, KeptFixture>();

/** Time in which calls of the store are answered, and after which the entries were read, in milliseconds. */
const settledMs = 2_000;

function createStore(values: Map<string, Uint8Array>): Pick<RecordStore, "readNewest" | "putKeyed"> {
    return {
        readNewest: () => {
            const records = [...values].map(([key, value], offset) => ({ key, value, offset }));
            return Promise.resolve({ kind: "newest", era: 1, records, end: records.length });
        },
        putKeyed: (_, key, value) => {
            if (value === undefined) {
                values.delete(key);
            }
            else {
                values.set(key, value);
            }
            return Promise.resolve({ kind: "appended", era: 1, offset: 0 });
        },
    };
}

function startGuard(
    clock: VirtualClock,
    values: Map<string, Uint8Array>,
): { readonly guard: PartGuard; readonly keep: (record: QuarantineRecord) => void; } {
    const guard: PartGuard = createPartGuard({
        clock,
        self: "entry-1",
        listOthers: () => [],
        send: () => undefined,
        onChange: () => undefined,
        keep: record => kept.keep(record),
    });
    const kept = keepQuarantine({
        clock,
        store: createStore(values),
        topic: "quarantine",
        isReader: () => true,
        restore: guard.restore,
        writeLog: () => undefined,
    });
    return { guard, keep: kept.keep };
}

/** Lets calls of the store end and timers fire. */
async function settle(clock: VirtualClock): Promise<void> {
    clock.runUntil(clock.now() + settledMs);
    await new Promise(resolve => setImmediate(resolve));
}

Given(
    "an instance that keeps its quarantine in a store, and whose part {string} is held",
    async function(this: SiteWorld, part: string) {
        const clock = createVirtualClock(1);
        const values = new Map<string, Uint8Array>();
        const { guard, keep } = startGuard(clock, values);
        keep({ part, version: 2, state: "held", holds: 1, probeScore: 0, engines: ["u-1"], remainingMs: 600_000 });
        await settle(clock);
        fixtures.set(this, { clock, values, guard });
    },
);

When(
    /^(all instances end, and a new one|the part is lifted, and another new instance) starts on the store$/,
    async function(this: SiteWorld, before: string) {
        const fixture = fixtures.get(this)!;
        if (before.startsWith("the part is lifted")) {
            assert.ok(fixture.guard.lift("style"));
        }
        await settle(fixture.clock);
        fixture.guard = startGuard(fixture.clock, fixture.values).guard;
        await settle(fixture.clock);
    },
);

Then("the new instance holds the part {string}", function(this: SiteWorld, part: string) {
    assert.deepEqual(fixtures.get(this)!.guard.admit("r-1", [part]), { kind: "held", part });
});

Then("it holds no part", function(this: SiteWorld) {
    assert.deepEqual(fixtures.get(this)!.guard.admit("r-1", ["style"]), { kind: "free" });
});
