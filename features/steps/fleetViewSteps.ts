/**
 * @module
 * Steps of instances that exchange heartbeats on a virtual clock; some of them are lost.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createFleetView, type FleetView } from "../../src/core/fleet/createFleetView.js";
import { decodeMemberAges } from "../../src/core/fleet/decodeMemberAges.js";
import { deriveDescriptionId } from "../../src/core/fleet/deriveDescriptionId.js";
import { encodeMemberAges } from "../../src/core/fleet/encodeMemberAges.js";
import type { FleetInstance, Heartbeat } from "../../src/core/fleet/heartbeat.js";
import { parseFleetMessage } from "../../src/core/fleet/parseFleetMessage.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** An instance that only exchanges heartbeats. */
interface Participant {
    readonly instance: FleetInstance;
    readonly view: FleetView;
    state: FleetInstance["state"];
    isRunning: boolean;
    sentBytes: number;
}

interface FleetFixture {
    readonly clock: VirtualClock;
    readonly participants: readonly Participant[];
    readonly byAddress: ReadonlyMap<string, Participant>;
    /** Times at which an instance that ran was missing in another's view, after all were known once. */
    falseFailures: number;
    lossShare: number;
    stoppedAtMs: number;
    sentBefore: readonly number[];
    lastRunMs: number;
}

const fleets = new WeakMap<SiteWorld, FleetFixture>();

/** Network latency of a heartbeat, in milliseconds. */
const latencyMs = 3;

/** Interval of the checks of all views, in milliseconds. */
const checkIntervalMs = 100;

const perSecond = 1_000;

function createInstance(index: number): FleetInstance {
    const host = `10.1.${index >> 8}.${index & 255}`;
    return {
        name: `entry-domain-${index % 6}-${index}`,
        startedAtMs: 1_764_849_600_000 + index,
        failureDomain: `domain-${index % 6}`,
        callerAddress: `${host}:8782`,
        peerAddress: `${host}:8783`,
        heartbeatAddress: `${host}:7340`,
        state: "serving",
    };
}

function composeOwn({ instance, state }: Participant): Heartbeat {
    return {
        from: { ...instance, state },
        tableVersion: 12,
        storeAgeMs: 300,
        named: [{ model: "easy-read", version: 3 }],
        uses: [],
        loading: [],
        loaded: [],
        known: [],
        ages: "",
    };
}

/** Composes a heartbeat with as many relayed loads as it may have. */
function compose(participant: Participant, nowMs: number): Heartbeat {
    const { view } = participant;
    const heartbeat = {
        ...composeOwn(participant),
        known: view.chooseKnown(nowMs),
        ages: view.describeAges(nowMs),
    };
    return { ...heartbeat, loads: "A".repeat(view.findLoadBytes(JSON.stringify(heartbeat).length)) };
}

function sendTo(fleet: FleetFixture, sender: Participant, address: string, heartbeat: Heartbeat): void {
    const { clock, byAddress } = fleet;
    const text = JSON.stringify(heartbeat);
    sender.sentBytes += text.length;
    if (clock.random() < fleet.lossShare) {
        return;
    }
    clock.after(latencyMs, () => {
        const receiver = byAddress.get(address);
        const message = parseFleetMessage(text);
        assert.ok(message !== undefined && "from" in message);
        if (receiver?.isRunning === true) {
            receive(fleet, receiver, message);
        }
    });
}

function receive(fleet: FleetFixture, receiver: Participant, heartbeat: Heartbeat): void {
    const nowMs = fleet.clock.now();
    const address = heartbeat.from.heartbeatAddress;
    receiver.view.applyHeartbeat(heartbeat, nowMs);
    const answer = composeOwn(receiver);
    if (heartbeat.wanted !== undefined) {
        const known = receiver.view.describeInstances(heartbeat.wanted, nowMs);
        sendTo(fleet, receiver, address, { ...answer, known, isAnswer: true });
    }
    else if (heartbeat.isAnswer !== true) {
        const wanted = receiver.view.listUnknown(heartbeat);
        if (wanted.length > 0) {
            sendTo(fleet, receiver, address, { ...answer, wanted });
        }
    }
}

function send(fleet: FleetFixture, sender: Participant): void {
    const nowMs = fleet.clock.now();
    const heartbeat = compose(sender, nowMs);
    sender.view.chooseTargets(nowMs).forEach(address => sendTo(fleet, sender, address, heartbeat));
}

function sendRepeatedly(fleet: FleetFixture, sender: Participant): void {
    if (!sender.isRunning) {
        return;
    }
    send(fleet, sender);
    fleet.clock.after(sender.view.nextIntervalMs(), () => sendRepeatedly(fleet, sender));
}

function listRunning(fleet: FleetFixture): readonly Participant[] {
    return fleet.participants.filter(one => one.isRunning);
}

function knows(observer: Participant, other: Participant, nowMs: number): boolean {
    return observer.view.listLive(nowMs).some(member => member.instance.name === other.instance.name);
}

/** Counts the pairs of running instances of which one takes the other for failed. */
function countMissing(fleet: FleetFixture): number {
    const running = listRunning(fleet);
    const nowMs = fleet.clock.now();
    const counts = running.map(observer => {
        const live = new Set(observer.view.listLive(nowMs).map(member => member.instance.name));
        return running.filter(other => other !== observer && !live.has(other.instance.name)).length;
    });
    return counts.reduce((sum, count) => sum + count, 0);
}

function runFor(fleet: FleetFixture, durationMs: number): void {
    const untilMs = fleet.clock.now() + durationMs;
    fleet.falseFailures = 0;
    fleet.lastRunMs = durationMs;
    fleet.sentBefore = fleet.participants.map(one => one.sentBytes);
    while (fleet.clock.now() < untilMs) {
        fleet.clock.runUntil(fleet.clock.now() + checkIntervalMs);
        fleet.falseFailures += countMissing(fleet);
    }
}

Given(
    "{int} instances that start together and know {int} addresses each",
    function(this: SiteWorld, count: number, contacts: number) {
        const clock = createVirtualClock(count);
        const instances = Array.from({ length: count }, (_, index) => createInstance(index));
        const addresses = instances.slice(0, contacts).map(instance => instance.heartbeatAddress);
        const participants = instances.map((instance): Participant => {
            const view = createFleetView({ self: instance, random: clock.random });
            view.addContacts(addresses);
            return { instance, view, state: "serving", isRunning: true, sentBytes: 0 };
        });
        const fleet: FleetFixture = {
            clock,
            participants,
            byAddress: new Map(participants.map(one => [one.instance.heartbeatAddress, one])),
            falseFailures: 0,
            lossShare: 0,
            stoppedAtMs: 0,
            sentBefore: [],
            lastRunMs: 0,
        };
        participants.forEach(one => clock.after(clock.random() * 300, () => sendRepeatedly(fleet, one)));
        fleets.set(this, fleet);
    },
);

When(
    "they exchange heartbeats for {int} s, of which 1 in {int} is lost",
    function(this: SiteWorld, seconds: number, oneIn: number) {
        const fleet = fleets.get(this)!;
        fleet.lossShare = 1 / oneIn;
        runFor(fleet, seconds * perSecond);
    },
);

Then("each of them knows all others", function(this: SiteWorld) {
    const fleet = fleets.get(this)!;
    const missing = countMissing(fleet);
    assert.equal(missing, 0, `${missing} are unknown among ${fleet.participants.length} instances`);
});

Then("no instance was taken for failed", function(this: SiteWorld) {
    const { falseFailures, participants } = fleets.get(this)!;
    assert.equal(falseFailures, 0, `${falseFailures} times among ${participants.length} instances`);
});

When("one instance ends without a word", function(this: SiteWorld) {
    const fleet = fleets.get(this)!;
    fleet.participants.at(-1)!.isRunning = false;
    fleet.stoppedAtMs = fleet.clock.now();
});

Then("all others have noticed within {int} s", function(this: SiteWorld, seconds: number) {
    const fleet = fleets.get(this)!;
    const ended = fleet.participants.at(-1)!;
    fleet.clock.runUntil(fleet.stoppedAtMs + seconds * perSecond);
    const believers = listRunning(fleet).filter(one => knows(one, ended, fleet.clock.now()));
    assert.deepEqual(believers.map(one => one.instance.name), []);
});

Then(
    "each of them has sent at most {int} bytes a second lately",
    function(this: SiteWorld, limit: number) {
        const { participants, sentBefore, lastRunMs } = fleets.get(this)!;
        const rates = participants.map((one, index) => (one.sentBytes - sentBefore[index]!) * perSecond / lastRunMs);
        assert.ok(Math.max(...rates) <= limit, `${Math.max(...rates)} bytes a second`);
    },
);

When("one instance says that it is leaving", function(this: SiteWorld) {
    const fleet = fleets.get(this)!;
    const leaving = fleet.participants.at(-1)!;
    leaving.state = "leaving";
    send(fleet, leaving);
});

Then("all others know that it is leaving", function(this: SiteWorld) {
    const fleet = fleets.get(this)!;
    const { name } = fleet.participants.at(-1)!.instance;
    const states = fleet.participants.slice(0, -1).map(one =>
        one.view.listLive(fleet.clock.now()).find(member => member.instance.name === name)?.instance.state
    );
    assert.deepEqual([...new Set(states)], ["leaving"]);
});

/** An instance that knows another one's second incarnation, seen at 1,000 ms. */
const seenMs = 1_000;
const secondIncarnation: FleetInstance = { ...createInstance(2), startedAtMs: 2_000 };

Given("an instance that knows the second incarnation of another", function(this: SiteWorld) {
    const clock = createVirtualClock(1);
    const instance = createInstance(1);
    const view = createFleetView({ self: instance, random: clock.random });
    const participant: Participant = { instance, view, state: "serving", isRunning: true, sentBytes: 0 };
    const peer: Participant = { ...participant, instance: secondIncarnation };
    view.applyHeartbeat({ ...compose(peer, seenMs), known: [], ages: "" }, seenMs);
    fleets.set(this, {
        clock,
        participants: [participant],
        byAddress: new Map(),
        falseFailures: 0,
        lossShare: 0,
        stoppedAtMs: 0,
        sentBefore: [],
        lastRunMs: 0,
    });
});

When("a heartbeat relays the first incarnation as seen just now", function(this: SiteWorld) {
    const [observer] = fleets.get(this)!.participants;
    const relay: Participant = { ...observer!, instance: createInstance(3) };
    const first: FleetInstance = { ...secondIncarnation, startedAtMs: 1_000 };
    const ages = encodeMemberAges([{ id: deriveDescriptionId(first), ageMs: 0 }]);
    const known = [{ instance: first, ageMs: 0 }];
    observer!.view.applyHeartbeat({ ...compose(relay, seenMs), known, ages }, seenMs + 500);
});

Then("the second incarnation is known, seen no later than before", function(this: SiteWorld) {
    const [observer] = fleets.get(this)!.participants;
    const member = observer!.view.listLive(seenMs + 500).find(one => one.instance.name === secondIncarnation.name);
    assert.equal(member?.instance.startedAtMs, secondIncarnation.startedAtMs);
    assert.equal(member?.lastSeenMs, seenMs);
});

const ageUnitMs = 20;

Then("any ages that are encoded are decoded as the same or less than 20 ms more", function() {
    const age = fc.record({
        id: fc.integer({ min: 0, max: 0xffff_ffff }),
        ageMs: fc.double({ min: 0, max: 5_000, noNaN: true }),
    });
    fc.assert(
        fc.property(fc.array(age), ages => {
            const decoded = decodeMemberAges(encodeMemberAges(ages));
            assert.deepEqual(decoded.map(one => one.id), ages.map(one => one.id));
            decoded.forEach((one, index) => {
                const addedMs = one.ageMs - ages[index]!.ageMs;
                assert.ok(addedMs >= -1e-6 && addedMs < ageUnitMs + 1e-6, `${addedMs} ms added`);
            });
        }),
        { seed: 32 },
    );
});

Then("any text is decoded into ages without an error", function() {
    fc.assert(fc.property(fc.string(), text => decodeMemberAges(text).every(one => one.ageMs >= 0)), { seed: 32 });
});
