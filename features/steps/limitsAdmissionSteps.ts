/**
 * @module
 * Steps for the admission of one instance and for readers of the shard log.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { ClassOfService, Customer } from "../../src/core/catalogue/catalogueEntry.js";
import type { AdmissionVerdict } from "../../src/core/limits/admissionTypes.js";
import { createAdmission, type QuotaAdmission } from "../../src/core/limits/createAdmission.js";
import { createLedgerReader, encodeCheckpoint } from "../../src/core/limits/createLedgerReader.js";
import { createQuotaRegistry } from "../../src/core/limits/createQuotaRegistry.js";
import { emptyShardLedger, foldShardRecord } from "../../src/core/limits/foldShardRecord.js";
import { encodeShardLedger } from "../../src/core/limits/shardSnapshot.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface Instance {
    readonly clock: VirtualClock;
    readonly admission: QuotaAdmission;
    readonly admitted: string[];
    readonly verdicts: Map<string, AdmissionVerdict>;
    sent: number;
}

interface LogShape {
    readonly edits: readonly { readonly shard: number; readonly basedOn: number; readonly isHeld: boolean; }[];
    readonly checkpointEvery: number;
    readonly dropped: number;
}

const instances = new WeakMap<SiteWorld, Instance>();
const logsHidingDrops = new WeakSet<SiteWorld>();
const classes: Readonly<Record<string, ClassOfService>> = {
    "town-hall": "standard",
    clinic: "standard",
    archive: "batch",
};

function createCustomer(id: string): Customer {
    return {
        kind: "customer",
        id,
        owner: id,
        classOfService: classes[id]!,
        limits: {
            requestsPerSecond: 100,
            promptTokensPerSecond: 40_000,
            outputTokensPerSecond: 40_000,
            requestsInFlight: 100,
            burstSeconds: 2,
        },
        credentialSha256: "0".repeat(64),
    };
}

function send(world: SiteWorld, id: string, promptTokens: number, timeoutMs = 60_000): void {
    const instance = instances.get(world)!;
    instance.sent += 1;
    const requestId = `${id}/${instance.sent}`;
    const req = {
        requestId,
        customer: createCustomer(id),
        cost: { promptTokens, outputTokens: 0 },
        deadlineMs: instance.clock.now() + timeoutMs,
    };
    instance.admission.admit(req, verdict => {
        instance.verdicts.set(requestId, verdict);
        if (verdict.kind === "admitted") {
            instance.admitted.push(requestId);
        }
    });
}

Given("an instance with 1 slot that is busy", function(this: SiteWorld) {
    const clock = createVirtualClock(1);
    const quotaRegistry = createQuotaRegistry({ now: clock.now, findLimits: id => createCustomer(id).limits });
    for (const id of Object.keys(classes)) {
        const quota = quotaRegistry.find(id)!;
        quota.rateBuckets.setBorrowed("all", { fraction: 1, untilMs: Infinity });
        quota.permitPool.setBorrowed("all", { permits: 100, untilMs: Infinity });
    }
    const ignore = () => undefined;
    const admission = createAdmission({
        clock,
        quotas: quotaRegistry,
        countSlots: () => 1,
        preset: () => "compagnon",
        onDemand: ignore,
        onShortage: ignore,
    });
    instances.set(this, { clock, admission, admitted: [], verdicts: new Map(), sent: 0 });
    clock.runUntil(2_000);
    send(this, "clinic", 1_000);
});

When(
    "{string} sends {int} requests of {int} tokens",
    function(this: SiteWorld, id: string, count: number, tokens: number) {
        for (let index = 0; index < count; index += 1) {
            send(this, id, tokens);
        }
    },
);

When(
    "{string} sends a request of {int} tokens with {int} ms to its deadline",
    function(this: SiteWorld, id: string, tokens: number, timeoutMs: number) {
        send(this, id, tokens, timeoutMs);
    },
);

When("the slot has served 1000 tokens in the last second", function(this: SiteWorld) {
    const { admission } = instances.get(this)!;
    admission.complete("clinic/1", { promptTokens: 1_000, outputTokens: 0 });
    send(this, "clinic", 100);
});

When("the slot serves one request after the other", function(this: SiteWorld) {
    const { admission, admitted, clock } = instances.get(this)!;
    for (let index = 0; index < admitted.length; index += 1) {
        clock.runUntil(clock.now() + 10);
        admission.complete(admitted[index]!, { promptTokens: 100, outputTokens: 0 });
    }
});

Then(
    "the requests of {string} were all admitted before the second one of {string}",
    function(this: SiteWorld, short: string, long: string) {
        const { admitted } = instances.get(this)!;
        const order = admitted.slice(1).map(requestId => requestId.split("/")[0]);
        assert.equal(order.length, 8);
        assert.ok(order.lastIndexOf(short) < order.indexOf(long, order.indexOf(long) + 1), order.join(" "));
    },
);

Then(
    /^the last request is refused at once as "(.*)" (with|without) a retry time$/,
    function(this: SiteWorld, kind: string, withTime: string) {
        const verdict = [...instances.get(this)!.verdicts.values()].at(-1);
        assert.ok(verdict?.kind === "refused");
        assert.equal(verdict.refusal.kind, kind);
        assert.equal(verdict.refusal.retryAfterMs !== undefined, withTime === "with");
    },
);

Then(
    "requests of {string} were refused as {string} and none of {string}",
    function(this: SiteWorld, shed: string, kind: string, spared: string) {
        const refused = [...instances.get(this)!.verdicts].filter(([, verdict]) => verdict.kind === "refused");
        assert.ok(refused.length > 0);
        for (const [requestId, verdict] of refused) {
            assert.ok(verdict.kind === "refused" && verdict.refusal.kind === kind);
            assert.ok(requestId.startsWith(shed) && !requestId.startsWith(spared), requestId);
        }
    },
);

const logArbitrary: fc.Arbitrary<LogShape> = fc.record({
    edits: fc.array(
        fc.record({ shard: fc.nat(3), basedOn: fc.nat(30), isHeld: fc.boolean() }),
        { minLength: 5, maxLength: 30 },
    ),
    checkpointEvery: fc.integer({ min: 2, max: 8 }),
    dropped: fc.nat(20),
});

/** Half of the edits are based on the latest revision, so that many take effect. */
function createLogRecords(shape: LogShape): readonly string[] {
    const records: string[] = [];
    let ledger = emptyShardLedger;
    let checkpointed = ledger;
    const append = (record: string) => {
        ledger = foldShardRecord(ledger, records.length, record);
        records.push(record);
    };
    for (const [index, edit] of shape.edits.entries()) {
        const shard = `town-hall/${edit.shard}`;
        const basedOn = edit.basedOn % 2 === 0 ? ledger.shards.get(shard)?.revision ?? 0 : edit.basedOn;
        const edits = [{ seat: shard, basedOn, isHeld: edit.isHeld }];
        append(JSON.stringify({ instance: `entry-${index % 3}`, incarnation: "1", sentMs: index, edits }));
        if (index % shape.checkpointEvery === 0) {
            append(encodeCheckpoint(checkpointed));
            checkpointed = ledger;
        }
    }
    return records;
}

function isReadConsistently(shape: LogShape, isDropHidden: boolean): boolean {
    const payloads = createLogRecords(shape);
    const records = payloads.map((payload, offset) => ({ offset, payload }));
    const dropped = Math.min(shape.dropped, payloads.length);
    const complete = createLedgerReader().applyPage({ firstKept: 0, end: payloads.length, records });
    const firstKept = isDropHidden ? 0 : dropped;
    const partial = createLedgerReader().applyPage({
        firstKept,
        end: payloads.length,
        records: records.slice(dropped),
    });
    return partial === undefined || encodeSorted(partial) === encodeSorted(complete!);
}

function encodeSorted(ledger: NonNullable<ReturnType<ReturnType<typeof createLedgerReader>["applyPage"]>>): string {
    return encodeShardLedger({ ...ledger, shards: new Map([...ledger.shards].sort()) });
}

function checkReaders(world: SiteWorld): boolean {
    const property = fc.property(logArbitrary, shape => isReadConsistently(shape, logsHidingDrops.has(world)));
    return fc.check(property, { seed: 11, numRuns: 300, endOnFailure: true }).failed;
}

Given("any shard log with checkpoints", () => undefined);

Given("the log hides that it has dropped records", function(this: SiteWorld) {
    logsHidingDrops.add(this);
});

Then("every reader that knows the state has the ledger of a reader of the complete log", function(this: SiteWorld) {
    assert.equal(checkReaders(this), false);
});

Then("some reader has a different ledger", function(this: SiteWorld) {
    assert.equal(checkReaders(this), true);
});
