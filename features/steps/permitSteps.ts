/**
 * @module
 * Steps on permits for rate-limited upstreams.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPlacerFixture } from "../../bench/support/placerFixtures.js";
import { createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createPermitHolder, type PermitHolder } from "../../src/core/permits/createPermitHolder.js";
import { createUpstreamPermits, type UpstreamPermits } from "../../src/core/permits/createUpstreamPermits.js";
import type { PermitMessage } from "../../src/core/permits/permitMessage.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface SentMessage {
    readonly to: string;
    readonly message: PermitMessage["permits"];
}

interface PermitFixture {
    readonly clock: VirtualClock;
    readonly permits: UpstreamPermits;
    readonly sent: readonly SentMessage[];
    readonly setCandidates: (names: readonly string[]) => void;
}

interface HolderFixture {
    readonly clock: VirtualClock;
    readonly holder: PermitHolder;
    returned: number;
}

const fixtures = new WeakMap<SiteWorld, PermitFixture>();
const holders = new WeakMap<SiteWorld, HolderFixture>();

interface PermitPair {
    readonly clock: VirtualClock;
    /** Time from one to the other, in milliseconds. */
    readonly wayMs: number;
    readonly owner: UpstreamPermits;
    readonly asker: UpstreamPermits;
}

const pairs = new WeakMap<SiteWorld, PermitPair>();

const upstream = "e-1";
const viewTimeoutMs = 1_300;

/** Time within which an instance that has become owner issues nothing: views of the fleet, and the term of a permit. */
const holdOffMs = 2_600;

function createFixture(requestsPerSecond: number | undefined): PermitFixture {
    const clock = createVirtualClock(1);
    const sent: SentMessage[] = [];
    let candidates: readonly string[] = ["owner"];
    const permits = createUpstreamPermits({
        clock,
        self: "owner",
        listCandidates: () => candidates,
        viewTimeoutMs: () => viewTimeoutMs,
        isFleetDirect: () => true,
        findRate: () => requestsPerSecond,
        isKnown: () => true,
        send: (to, message) => sent.push({ to, message: message.permits }),
        onGranted: () => undefined,
        onChange: () => undefined,
    });
    permits.update();
    return {
        clock,
        permits,
        sent,
        setCandidates: names => {
            candidates = names;
            permits.update();
        },
    };
}

function getFixture(world: SiteWorld): PermitFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function getHolder(world: SiteWorld): HolderFixture {
    const fixture = holders.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function ask({ permits, clock }: PermitFixture, from: string): void {
    permits.receive(from, { permits: { kind: "ask", sequence: 1, items: [{ upstream, permits: 1 }] } });
    clock.runUntil(clock.now());
}

/** Names of the instances that got permits. */
function listGranted({ sent }: PermitFixture): readonly string[] {
    return sent.flatMap(({ to, message }) =>
        message.kind === "grant" && message.items.some(item => item.permits > 0) ? [to] : []
    );
}

/** Longest wait that was announced with no permit, in milliseconds. */
function findAnnouncedWaitMs({ sent }: PermitFixture): number {
    const items = sent.flatMap(({ message }) => (message.kind === "grant" ? message.items : []));
    return Math.max(0, ...items.filter(item => item.permits === 0).map(item => item.waitMs));
}

Given("an owner of an upstream with {int} requests a second", function(this: SiteWorld, requestsPerSecond: number) {
    const fixture = createFixture(requestsPerSecond);
    fixture.clock.runUntil(10 * holdOffMs);
    fixtures.set(this, fixture);
});

When("{int} instances ask for 1 permit each at once", function(this: SiteWorld, count: number) {
    Array.from({ length: count }, (_, index) => ask(getFixture(this), `entry-${index + 1}`));
});

Then("1 of them has got a permit, and the others know how long they wait", function(this: SiteWorld) {
    const fixture = getFixture(this);
    assert.deepEqual(listGranted(fixture), ["entry-1"]);
    assert.equal(findAnnouncedWaitMs(fixture), 1_250);
});

Then("after {int} ms the first {int} have got one each", function(this: SiteWorld, afterMs: number, count: number) {
    const fixture = getFixture(this);
    fixture.clock.runUntil(10 * holdOffMs + afterMs + 100);
    assert.deepEqual(listGranted(fixture), Array.from({ length: count }, (_, index) => `entry-${index + 1}`));
});

Then("after {int} ms no more are granted to asks that were not repeated", function(this: SiteWorld, afterMs: number) {
    const fixture = getFixture(this);
    fixture.clock.runUntil(10 * holdOffMs + afterMs + 5_000);
    assert.equal(listGranted(fixture).length, 3);
});

When("1 instance asks for 1 permit and returns it twice", function(this: SiteWorld) {
    const fixture = getFixture(this);
    ask(fixture, "entry-1");
    for (let times = 0; times < 2; times += 1) {
        fixture.permits.receive("entry-1", { permits: { kind: "return", items: [{ upstream, permits: 1 }] } });
    }
});

Then("1 permit can be issued at once to another instance, and no second one", function(this: SiteWorld) {
    const fixture = getFixture(this);
    ask(fixture, "entry-2");
    ask(fixture, "entry-3");
    assert.deepEqual(listGranted(fixture), ["entry-1", "entry-2"]);
});

Given("an instance that ranks first since the others left", function(this: SiteWorld) {
    const fixture = createFixture(2);
    const others = Array.from({ length: 50 }, (_, index) => `entry-${index}`);
    fixture.setCandidates(["owner", ...others]);
    fixture.clock.runUntil(10 * holdOffMs);
    assert.notEqual(fixture.permits.findOwner(upstream), "owner");
    fixture.setCandidates(["owner"]);
    fixtures.set(this, fixture);
});

Then("it issues nothing within the hold-off, and says so", function(this: SiteWorld) {
    const fixture = getFixture(this);
    fixture.clock.runUntil(11 * holdOffMs - 100);
    ask(fixture, "entry-1");
    assert.deepEqual(listGranted(fixture), []);
    assert.equal(findAnnouncedWaitMs(fixture), 100);
});

Then("it issues permits after it", function(this: SiteWorld) {
    const fixture = getFixture(this);
    fixture.clock.runUntil(11 * holdOffMs);
    ask(fixture, "entry-1");
    assert.deepEqual(listGranted(fixture), ["entry-1"]);
});

Given("a holder whose owner answers an ask after {int} ms", function(this: SiteWorld, afterMs: number) {
    const clock = createVirtualClock(1);
    const fixture: HolderFixture = {
        clock,
        returned: 0,
        holder: createPermitHolder({
            clock,
            self: "entry-1",
            findOwner: () => "owner",
            findRate: () => 2,
            maxAsksPerSecond: () => 10,
            sendAsk: (_, sequence) =>
                clock.after(afterMs, () => {
                    const items = [{ upstream, permits: 1, waitMs: 500, askers: 1 }];
                    fixture.holder.receiveGrant("owner", sequence, items);
                }),
            sendReturn: (_, items) => {
                fixture.returned += items.reduce((sum, item) => sum + item.permits, 0);
            },
            onChange: () => undefined,
        }),
    };
    holders.set(this, fixture);
    assert.equal(fixture.holder.take(upstream, true), "asked");
    clock.runUntil(afterMs);
});

Then("the ask has ended and the permit does not count", function(this: SiteWorld) {
    const { holder } = getHolder(this);
    assert.equal(holder.take(upstream, false), "unavailable");
});

Then("it can send 1 request within {int} ms of its ask", function(this: SiteWorld, termMs: number) {
    const { holder, clock } = getHolder(this);
    clock.runUntil(termMs - 200);
    assert.equal(holder.take(upstream, false), "taken");
    assert.equal(holder.take(upstream, false), "unavailable");
});

When("nothing is sent for {int} ms", function(this: SiteWorld, forMs: number) {
    const { clock } = getHolder(this);
    clock.runUntil(clock.now() + forMs);
});

Then("the holder has returned {int} permit", function(this: SiteWorld, count: number) {
    const { holder, returned } = getHolder(this);
    assert.equal(returned, count);
    assert.equal(holder.take(upstream, false), "unavailable");
});

Given("two instances without limited upstreams", function(this: SiteWorld) {
    const fixture = createFixture(undefined);
    fixture.setCandidates(["owner", "entry-1"]);
    fixtures.set(this, fixture);
});

When("{int} requests are placed at the first one", function(this: SiteWorld, count: number) {
    const { clock, permits } = getFixture(this);
    const { placer } = createPlacerFixture(clock, ["e-1", "e-2"], true, permits);
    for (let index = 0; index < count; index += 1) {
        const req = createProxyRequest("idempotent", { id: `r-${index}`, deadlineMs: 10_000 });
        placer.place(req, { kind: "place", excluded: [] }, () => placer.end(req));
    }
    clock.runUntil(10_000);
});

Then("it has sent no message about permits", function(this: SiteWorld) {
    assert.equal(getFixture(this).sent.length, 0);
});

Given(
    "an owner and an instance, {int} ms apart, and an upstream that the owner limits to {int} request a second",
    function(this: SiteWorld, wayMs: number, requestsPerSecond: number) {
        const clock = createVirtualClock(1);
        const members = new Map<string, UpstreamPermits>();
        const create = (self: string) =>
            createUpstreamPermits({
                clock,
                self,
                listCandidates: () => ["owner"],
                viewTimeoutMs: () => viewTimeoutMs,
                isFleetDirect: () => true,
                findRate: () => requestsPerSecond,
                isKnown: () => true,
                send: (to, message) => clock.after(wayMs, () => members.get(to)?.receive(self, message)),
                onGranted: () => undefined,
                onChange: () => undefined,
            });
        ["owner", "entry-1"].forEach(name => members.set(name, create(name)));
        members.get("owner")?.update();
        pairs.set(this, { clock, wayMs, owner: members.get("owner")!, asker: members.get("entry-1")! });
    },
);

When("the instance asks {int} ms before the owner has the next permit", function(this: SiteWorld, beforeMs: number) {
    const { clock, wayMs, owner, asker } = pairs.get(this)!;
    // The bucket holds 1.25 permits; after the second one is taken 0.01 is left, and the next one takes 990 ms.
    const [firstMs, secondMs] = [10 * holdOffMs, 10 * holdOffMs + 760];
    const nextMs = secondMs + 990;
    for (const takenMs of [firstMs, secondMs]) {
        clock.runUntil(takenMs);
        assert.equal(owner.take(upstream, true), "taken");
    }
    clock.runUntil(nextMs - beforeMs - wayMs);
    assert.equal(asker.take(upstream, true), "asked");
    clock.runUntil(nextMs + 2 * wayMs);
});

Then("the instance has the permit", function(this: SiteWorld) {
    assert.equal(pairs.get(this)!.asker.take(upstream, false), "taken");
});
