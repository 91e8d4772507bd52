/**
 * @module
 * Steps that run the membership protocol of a fleet on the virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createFleet, type Fleet, type FleetEvent, type FleetProcess } from "../../bench/membership/createFleet.js";
import { rankEntries } from "../../src/core/entries/rankEntries.js";
import { maxAttachmentBytes } from "../../src/core/membership/createAttachmentExchange.js";
import type { Member, MemberState } from "../../src/core/membership/memberTypes.js";
import { supersedes } from "../../src/core/membership/supersedes.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface FleetState {
    readonly fleet: Fleet;
    readonly events: FleetEvent[];
    readonly crashed: Set<number>;
    /** Payloads that arrived, each as "attachment/receiver<sender". */
    readonly received: Set<string>;
    incarnation: number;
}

const states = new WeakMap<SiteWorld, FleetState>();
const seed = 11;
const settleMs = 60_000;
const failureDomainNames = ["bilbao-a", "bilbao-b", "vitoria", "donostia"];
const payload = "x".repeat(300);
const oversizedPayload = "x".repeat(maxAttachmentBytes + 1);

function read(world: SiteWorld): FleetState {
    return states.get(world)!;
}

function listRunning(state: FleetState): readonly FleetProcess[] {
    return state.fleet.processes.filter(process => !state.crashed.has(process.index));
}

function listAccused(state: FleetState): readonly string[] {
    return state.events.flatMap(({ event }) => event.kind === "accused" ? [event.member.instance] : []);
}

function listInState(process: FleetProcess, memberState: MemberState): readonly Member[] {
    return process.membership.view().members.filter(member => member.state === memberState);
}

function listEntries(process: FleetProcess): readonly string[] {
    const list = rankEntries(process.membership.view(), "clinic", { limit: 1000, lifetimeMs: 1 });
    return list.entries.map(entry => entry.instance);
}

Given("a fleet of {int} members in {int} failure domains", function(this: SiteWorld, size: number, domains: number) {
    const events: FleetEvent[] = [];
    const received = new Set<string>();
    const fleet = createFleet({
        size,
        seed,
        failureDomains: failureDomainNames.slice(0, domains),
        onEvent: event => events.push(event),
        attachments: index =>
            ["fitting", "oversized"].map(name => ({
                name,
                collect: () => name === "fitting" ? payload : oversizedPayload,
                receive: peer => received.add(`${name}/${index}<${peer}`),
            })),
    });
    fleet.runFor(settleMs);
    events.length = 0;
    states.set(this, { fleet, events, crashed: new Set(), received, incarnation: 0 });
});

When("{int} s pass", function(this: SiteWorld, seconds: number) {
    read(this).fleet.runFor(seconds * 1000);
});

When("member {int} crashes", function(this: SiteWorld, member: number) {
    const state = read(this);
    state.incarnation = state.fleet.findMember(0, member - 1)!.incarnation;
    state.fleet.crash(member - 1);
    state.crashed.add(member - 1);
});

When("member {int} is restarted", function(this: SiteWorld, member: number) {
    const state = read(this);
    state.fleet.restart(member - 1);
    state.crashed.delete(member - 1);
});

When("member {int} leaves", function(this: SiteWorld, member: number) {
    read(this).fleet.processes[member - 1]!.membership.leave();
});

When("member {int} stops", function(this: SiteWorld, member: number) {
    const state = read(this);
    state.fleet.processes[member - 1]!.membership.stop();
    state.crashed.add(member - 1);
});

function pause(state: FleetState, first: number, last: number, seconds: number): void {
    const paused = state.fleet.processes.slice(first - 1, last);
    paused.forEach(process => process.clock.pause());
    state.fleet.runFor(seconds * 1000);
    state.events.length = 0;
    paused.forEach(process => process.clock.resume());
}

When("member {int} is paused for {int} s", function(this: SiteWorld, member: number, seconds: number) {
    pause(read(this), member, member, seconds);
});

When(
    "members {int} to {int} are paused for {int} s",
    function(this: SiteWorld, first: number, last: number, seconds: number) {
        pause(read(this), first, last, seconds);
    },
);

function isInDomain(process: FleetProcess, domain: number): boolean {
    return process.failureDomain === failureDomainNames[domain - 1];
}

When(
    "the links between failure domains {int} and {int} are cut",
    function(this: SiteWorld, left: number, right: number) {
        read(this).fleet.setPartition((from, to) =>
            (isInDomain(from, left) && isInDomain(to, right)) || (isInDomain(from, right) && isInDomain(to, left))
        );
    },
);

When(
    "the links from failure domain {int} to failure domain {int} are cut",
    function(this: SiteWorld, left: number, right: number) {
        read(this).fleet.setPartition((from, to) => isInDomain(from, left) && isInDomain(to, right));
    },
);

When("member {int} is isolated", function(this: SiteWorld, member: number) {
    read(this).fleet.setPartition((from, to) => (from.index === member - 1) !== (to.index === member - 1));
});

When("failure domains 1 and 2 are partitioned from 3 and 4", function(this: SiteWorld) {
    const isFirstHalf = (process: FleetProcess) => isInDomain(process, 1) || isInDomain(process, 2);
    read(this).fleet.setPartition((from, to) => isFirstHalf(from) !== isFirstHalf(to));
});

When("the links are restored", function(this: SiteWorld) {
    read(this).fleet.setPartition(() => false);
});

When("relays report every member as unresponsive", function(this: SiteWorld) {
    read(this).fleet.breakRelays();
});

When("{int} of 100 calls are lost", function(this: SiteWorld, count: number) {
    read(this).fleet.setLossShare(count / 100);
});

Then("no running member lists member {int} as an entry", function(this: SiteWorld, member: number) {
    const state = read(this);
    const observers = listRunning(state).filter(process => process.index !== member - 1);
    for (const process of observers) {
        assert.ok(!listEntries(process).includes(`entry-${member}`), process.instance);
    }
});

Then(
    "every running member sees member {int} as {string}",
    function(this: SiteWorld, member: number, memberState: string) {
        const state = read(this);
        for (const process of listRunning(state).filter(one => one.index !== member - 1)) {
            assert.equal(state.fleet.findMember(process.index, member - 1)?.state, memberState, process.instance);
        }
    },
);

Then("member {int} sees all members as {string}", function(this: SiteWorld, member: number, memberState: MemberState) {
    const { fleet } = read(this);
    assert.equal(listInState(fleet.processes[member - 1]!, memberState).length, fleet.processes.length);
});

Then(
    "every running member sees {int} members as {string}",
    function(this: SiteWorld, count: number, memberState: MemberState) {
        for (const process of listRunning(read(this))) {
            assert.equal(listInState(process, memberState).length, count, process.instance);
        }
    },
);

Then("no member was accused", function(this: SiteWorld) {
    assert.deepEqual(listAccused(read(this)), []);
});

Then("some member was accused", function(this: SiteWorld) {
    assert.notDeepEqual(listAccused(read(this)), []);
});

Then("no other member was accused", function(this: SiteWorld) {
    const state = read(this);
    const crashed = new Set([...state.crashed].map(index => `entry-${index + 1}`));
    assert.deepEqual(listAccused(state).filter(instance => !crashed.has(instance)), []);
});

Then("no view changed", function(this: SiteWorld) {
    assert.deepEqual(read(this).events.filter(({ event }) => event.kind === "changed"), []);
});

Then("member {int} accused no member", function(this: SiteWorld, member: number) {
    const own = read(this).events.filter(one => one.observer === `entry-${member}`);
    assert.deepEqual(own.filter(({ event }) => event.kind === "accused"), []);
});

Then("member {int} detected its pause", function(this: SiteWorld, member: number) {
    const own = read(this).events.filter(one => one.observer === `entry-${member}`);
    assert.equal(own.filter(({ event }) => event.kind === "paused").length, 1);
});

Then("no member was declared dead", function(this: SiteWorld) {
    const dead = read(this).events.filter(({ event }) => event.kind === "changed" && event.member.state === "dead");
    assert.deepEqual(dead, []);
});

Then("no member declared member {int} dead in the first second", function(this: SiteWorld, member: number) {
    const state = read(this);
    state.fleet.runFor(1000);
    for (const process of listRunning(state)) {
        assert.notEqual(state.fleet.findMember(process.index, member - 1)?.state, "dead", process.instance);
    }
});

Then(
    "member {int} has a degraded view and lists {int} entries",
    function(this: SiteWorld, member: number, count: number) {
        const process = read(this).fleet.processes[member - 1]!;
        assert.equal(process.membership.view().isDegraded, true);
        assert.equal(listEntries(process).length, count);
    },
);

Then("member {int} has no degraded view", function(this: SiteWorld, member: number) {
    assert.equal(read(this).fleet.processes[member - 1]!.membership.view().isDegraded, false);
});

Then("the incarnation of member {int} has increased", function(this: SiteWorld, member: number) {
    const state = read(this);
    assert.ok(state.fleet.findMember(0, member - 1)!.incarnation > state.incarnation);
});

Then("every member received payloads of every other member", function(this: SiteWorld) {
    const { fleet, received } = read(this);
    const fitting = [...received].filter(one => one.startsWith("fitting/"));
    assert.equal(fitting.length, fleet.processes.length * (fleet.processes.length - 1));
});

Then("no payload above the size limit arrived", function(this: SiteWorld) {
    assert.deepEqual([...read(this).received].filter(one => one.startsWith("oversized/")), []);
});

const updateArbitrary: fc.Arbitrary<Member> = fc.record({
    instance: fc.constant("entry-1"),
    incarnation: fc.integer({ min: 1, max: 3 }),
    state: fc.constantFrom<MemberState>("alive", "leaving", "suspect", "dead"),
    failureDomain: fc.constant("vitoria"),
    callerAddress: fc.constant("10.0.0.1:8080"),
    peerAddress: fc.constant("10.0.0.1:8081"),
});

/** The member that results from applying updates in sequence. */
function foldUpdates(updates: readonly Member[], replaces: (update: Member, held: Member) => boolean): Member {
    return updates.reduce((held, update) => replaces(update, held) ? update : held);
}

function checkAnyOrder(replaces: (update: Member, held: Member) => boolean): boolean {
    const updates = fc.array(updateArbitrary, { minLength: 1, maxLength: 8 });
    const orders = updates.chain(list =>
        fc.tuple(fc.constant(list), fc.shuffledSubarray(list, { minLength: list.length }))
    );
    const details = fc.check(
        fc.property(orders, ([left, right]) => {
            const [one, other] = [foldUpdates(left, replaces), foldUpdates(right, replaces)];
            return one.incarnation === other.incarnation && one.state === other.state;
        }),
        { seed, numRuns: 500 },
    );
    return !details.failed;
}

Then("updates in any order give the same member", function() {
    assert.ok(checkAnyOrder(supersedes));
});

Then("the check detects updates that are applied in the order of arrival", function() {
    assert.ok(!checkAnyOrder(() => true));
});
