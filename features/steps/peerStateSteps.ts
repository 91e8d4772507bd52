/**
 * @module
 * Steps of an instance that copies the state of a peer on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { assemblePeerState, type PeerStates } from "../../src/assemble/assemblePeerState.js";
import { assembleViews } from "../../src/assemble/assembleViews.js";
import type { FleetMember } from "../../src/core/fleet/createFleetView.js";
import type { PeerState } from "../../src/core/fleet/peerState.js";
import { planStoreReads } from "../../src/core/store/planStoreReads.js";
import { createInstanceContext } from "../support/createInstanceContext.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface CopyFixture {
    readonly clock: VirtualClock;
    readonly states: PeerStates;
    /** Answers the read in progress. */
    answer: (state: PeerState) => void;
}

const fixtures = new WeakMap<SiteWorld, CopyFixture>();

const peer: FleetMember = {
    instance: {
        name: "entry-2",
        startedAtMs: 1,
        failureDomain: "domain",
        callerAddress: "",
        peerAddress: "peer",
        heartbeatAddress: "",
        state: "serving",
    },
    lastSeenMs: 0,
};

/** The peer's state, read 40 ms before it answers. */
const peerState: PeerState = { upstreams: [], upstreamsAgeMs: 40, operatorAgeMs: 40, storeEra: 0, named: [] };

function createFixture(): CopyFixture {
    const clock = createVirtualClock(1);
    const context = createInstanceContext(clock);
    const states = assemblePeerState(context, assembleViews(context), {
        feeds: {
            upstreamsAgeMs: () => Infinity,
            operatorAgeMs: () => Infinity,
            forgetAges: () => undefined,
            stop: () => undefined,
        },
        plan: () => ({
            ...planStoreReads({ name: "entry-1", failureDomain: "domain" }, [], context.settings),
            readers: [peer.instance.name],
        }),
        listLive: () => [peer],
        read: () =>
            new Promise(resolve => {
                fixture.answer = resolve;
            }),
        checkPause: () => undefined,
    });
    const fixture: CopyFixture = { clock, states, answer: () => undefined };
    return fixture;
}

Given("an instance that copies the state of a peer while its process is paused", function(this: SiteWorld) {
    const fixture = createFixture();
    fixtures.set(this, fixture);
    fixture.clock.runUntil(fixture.clock.now() + 1_000);
    // The clock does not count the pause.
    fixture.states.forgetAges();
});

When("the answer arrives after the pause", async function(this: SiteWorld) {
    fixtures.get(this)!.answer(peerState);
    await setImmediate();
});

When("the next copy arrives without a pause", async function(this: SiteWorld) {
    const { clock } = fixtures.get(this)!;
    clock.runUntil(clock.now() + 150);
    fixtures.get(this)!.answer(peerState);
    await setImmediate();
});

Then("neither the configuration nor the upstreams count as known", function(this: SiteWorld) {
    const { states } = fixtures.get(this)!;
    assert.equal(states.operatorAgeMs(), Infinity);
    assert.equal(states.upstreamsAgeMs(), Infinity);
});

Then("both count as read {int} ms ago, of which the request took {int} ms", function(
    this: SiteWorld,
    ageMs: number,
    requestMs: number,
) {
    const { states } = fixtures.get(this)!;
    assert.equal(ageMs, requestMs + peerState.upstreamsAgeMs);
    assert.equal(states.operatorAgeMs(), ageMs);
    assert.equal(states.upstreamsAgeMs(), ageMs);
});
