/**
 * @module
 * Steps of suspicion timers on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createSuspicions, type Suspicions } from "../../src/core/membership/createSuspicions.js";
import type { Member } from "../../src/core/membership/memberTypes.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface SuspicionFixture {
    readonly clock: VirtualClock;
    readonly suspicions: Suspicions;
    readonly expired: Member[];
}

const fixtures = new WeakMap<SiteWorld, SuspicionFixture>();

const suspect: Member = {
    instance: "entry-2",
    failureDomain: "north",
    callerAddress: "10.0.0.2:80",
    peerAddress: "10.0.0.2:81",
    incarnation: 1,
    state: "suspect",
};

Given("the suspicion timers of a member", function(this: SiteWorld) {
    const clock = createVirtualClock(1);
    const expired: Member[] = [];
    const suspicions = createSuspicions({ clock, timeFactor: () => 1, onExpired: member => expired.push(member) });
    fixtures.set(this, { clock, suspicions, expired });
});

When("the member stops and a probe that it had sent fails", function(this: SiteWorld) {
    const { suspicions } = fixtures.get(this)!;
    suspicions.stop();
    suspicions.start(suspect);
});

Then("no suspicion expires within {int} s", function(this: SiteWorld, seconds: number) {
    const { clock, expired } = fixtures.get(this)!;
    clock.runUntil(clock.now() + seconds * 1_000);
    assert.deepEqual(expired, []);
});
