/**
 * @module
 * Steps that send calls which may run at most once.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { ok } from "true-myth/result";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { ServiceFault } from "../../fakes/startFakeService.js";
import type { ClaimVerdict } from "../../src/core/claims/claimTypes.js";
import { type ClaimManager, createClaimManager } from "../../src/core/claims/createClaimManager.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface BookingAnswer {
    readonly status: number;
    readonly text: string;
}

const answers = new WeakMap<SiteWorld, BookingAnswer[]>();
const keys = new WeakMap<SiteWorld, Map<string, string>>();
const managers = new WeakMap<SiteWorld, ClaimManager>();
const polls = 200;
const pollMs = 20;
const dayMs = 86_400_000;

function findKey(world: SiteWorld, name: string): string {
    const own = keys.get(world) ?? new Map<string, string>();
    keys.set(world, own);
    const key = own.get(name) ?? `${Date.now()}-booking-${name}`;
    own.set(name, key);
    return key;
}

async function book(world: SiteWorld, daemon: number, key: string, body: string): Promise<BookingAnswer> {
    const address = world.site!.daemons[daemon - 1]!.callerAddress();
    const res = await fetch(`http://${address}/services/booking/confirmations`, {
        method: "POST",
        headers: {
            authorization: "Bearer clinic:secret-clinic",
            "idempotency-key": key,
            "x-deadline-ms": "8000",
        },
        body,
    });
    const answer = { status: res.status, text: await res.text() };
    answers.set(world, [...answers.get(world) ?? [], answer]);
    return answer;
}

async function bookUntil(world: SiteWorld, daemon: number, key: string, body: string, kind: string): Promise<void> {
    for (let poll = 0; poll < polls; poll += 1) {
        const answer = await book(world, daemon, key, body);
        if (!answer.text.includes(kind)) {
            return;
        }
        await delay(pollMs);
    }
}

function last(world: SiteWorld): BookingAnswer {
    return answers.get(world)!.at(-1)!;
}

Given("the log loses the answers of {int} appends", function(this: SiteWorld, count: number) {
    this.site!.log.loseAppendAnswers(count);
});

Given("the log is down", function(this: SiteWorld) {
    this.site!.log.setDown(true);
});

Given("the log is up again", function(this: SiteWorld) {
    this.site!.log.setDown(false);
});

Given("the service has the fault {string}", function(this: SiteWorld, fault: string) {
    this.site!.service.setFault(fault as ServiceFault);
});

Given("the service has no fault", function(this: SiteWorld) {
    this.site!.service.setFault(undefined);
});

When("the booking {string} is sent to daemon {int}", async function(this: SiteWorld, name: string, daemon: number) {
    await book(this, daemon, findKey(this, name), name);
});

When("the booking {string} is sent to all daemons at once", async function(this: SiteWorld, name: string) {
    const key = findKey(this, name);
    await Promise.all(this.site!.daemons.map((_, index) => book(this, index + 1, key, name)));
});

When(
    "the booking {string} is sent to daemon {int} until it is not refused as {string}",
    async function(this: SiteWorld, name: string, daemon: number, kind: string) {
        await bookUntil(this, daemon, findKey(this, name), name, kind);
    },
);

When(
    "another booking is sent to daemon {int} with the key of {string}",
    async function(this: SiteWorld, daemon: number, name: string) {
        await book(this, daemon, findKey(this, name), "another");
    },
);

When(
    "a booking {string} of {int} characters is sent to daemon {int}",
    async function(this: SiteWorld, name: string, length: number, daemon: number) {
        await book(this, daemon, findKey(this, name), name.repeat(length));
    },
);

When(
    "a booking {string} of {int} characters is sent to daemon {int} until it is not refused as {string}",
    async function(this: SiteWorld, name: string, length: number, daemon: number, kind: string) {
        await bookUntil(this, daemon, findKey(this, name), name.repeat(length), kind);
    },
);

When("daemon {int} is stopped", async function(this: SiteWorld, daemon: number) {
    await this.site!.daemons[daemon - 1]!.stop();
});

const badKeys: ReadonlyMap<string, () => string> = new Map([
    ["holds no issue time", () => "booking-17"],
    ["was issued in the future", () => `${Date.now() + dayMs}-booking`],
    ["is a day old", () => `${Date.now() - dayMs}-booking`],
]);

When(
    /^a booking is sent to daemon 1 with a key that (.+)$/,
    async function(this: SiteWorld, name: string) {
        await book(this, 1, badKeys.get(name)!(), "booking");
    },
);

Then("all answers have status 200 and are equal", function(this: SiteWorld) {
    const all = answers.get(this)!;
    assert.deepEqual(all.map(answer => answer.status), all.map(() => 200), all.at(-1)?.text);
    assert.equal(new Set(all.map(answer => answer.text)).size, 1);
});

Then("the last answer has status {int}", function(this: SiteWorld, status: number) {
    assert.equal(last(this).status, status, last(this).text);
});

Then(
    "the last answer is refused as {string} with outcome {string}",
    function(this: SiteWorld, kind: string, outcome: string) {
        const { error } = JSON.parse(last(this).text) as { error: { code: string; outcome: string; }; };
        assert.deepEqual([error.code, error.outcome], [kind, outcome]);
    },
);

Then("the service ran {int} bookings", function(this: SiteWorld, count: number) {
    assert.equal([...this.site!.service.runs.values()].reduce((sum, one) => sum + one, 0), count);
});

When(
    "a claim manager reads a log whose first retained record was written at {int} s",
    function(this: SiteWorld, seconds: number) {
        const clock = createVirtualClock(1);
        clock.runUntil(1_100_000);
        const first = { type: "unknown", key: "old", claimId: "old", atMs: seconds * 1000 };
        const payloads = [JSON.stringify(first)];
        const firstKept = 10;
        const manager = createClaimManager({
            clock,
            append: (records, onDone) => {
                payloads.push(...records);
                onDone(true);
            },
            read: (from, waitMs, onDone) => {
                clock.after(Math.min(waitMs, 10), () => {
                    const start = Math.max(from, firstKept);
                    const kept = payloads.slice(start - firstKept);
                    const records = kept.map((payload, index) => ({ offset: start + index, payload }));
                    onDone(ok({ firstKept, end: firstKept + payloads.length, records }));
                });
            },
            createClaimId: () => "claim-1",
        });
        manager.start();
        clock.runUntil(1_100_100);
        managers.set(this, manager);
        this.cleanups.push(() => manager.stop());
        clocks.set(this, clock);
    },
);

const clocks = new WeakMap<SiteWorld, ReturnType<typeof createVirtualClock>>();

Then(
    "it refuses a key that was issued at {int} s and claims one that was issued at {int} s",
    function(this: SiteWorld, older: number, newer: number) {
        const clock = clocks.get(this)!;
        const verdicts: ClaimVerdict["kind"][] = [];
        for (const seconds of [older, newer]) {
            managers.get(this)!.claim({
                key: `key-${seconds}`,
                fingerprint: "f",
                issuedMs: seconds * 1000,
                deadlineMs: clock.now() + 1000,
            }, verdict => verdicts.push(verdict.kind));
        }
        clock.runUntil(clock.now() + 500);
        assert.deepEqual(verdicts, ["keyExpired", "won"]);
    },
);
