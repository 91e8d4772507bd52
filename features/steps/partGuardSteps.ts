/**
 * @module
 * Steps that report ends of engines to the guard of one instance.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createPartGuard } from "../../src/core/quarantine/createPartGuard.js";
import type { PartGuard } from "../../src/core/quarantine/partGuardTypes.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface GuardFixture {
    readonly clock: VirtualClock;
    readonly guard: PartGuard;
    inquiries: number;
}

const fixtures = new WeakMap<SiteWorld, GuardFixture>();

Given("an instance in charge with another one that has answered nothing", function(this: SiteWorld) {
    const clock = createVirtualClock(1);
    const guard = createPartGuard({
        clock,
        self: "entry-1",
        listOthers: () => ["entry-2"],
        send: (_, { quarantine: message }) => {
            if (message.kind !== "inquiry") {
                return;
            }
            fixture.inquiries += 1;
            const testimonies = message.parts.map(() => ({ answers: 0, otherAnswers: 0 }));
            const answer = { quarantine: { kind: "testimonies", inquiry: message.inquiry, testimonies } } as const;
            clock.after(1, () => guard.receive("entry-2", answer));
        },
        onChange: () => undefined,
    });
    const fixture: GuardFixture = { clock, guard, inquiries: 0 };
    fixtures.set(this, fixture);
});

When(
    "two engines end under different requests with one part, and nothing else happens for {int} s",
    function(this: SiteWorld, seconds: number) {
        const { clock, guard } = fixtures.get(this)!;
        for (const index of [1, 2]) {
            const req = { id: `r-${index}`, parts: ["style"], hasEvents: false, isProbe: false };
            guard.recordEnd({ engine: `u-${index}`, startedAtMs: 1, requests: [req] });
            clock.runUntil(clock.now() + 200);
        }
        clock.runUntil(clock.now() + seconds * 1_000);
    },
);

Then("the other one was asked at most {int} times", function(this: SiteWorld, count: number) {
    const { inquiries } = fixtures.get(this)!;
    assert.ok(inquiries > 0 && inquiries <= count, `${inquiries} inquiries`);
});
