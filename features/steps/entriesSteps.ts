/**
 * @module
 * Steps for the entry list.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { type EntryList, rankEntries } from "../../src/core/entries/rankEntries.js";
import type { Member, MembershipView, MemberState } from "../../src/core/membership/memberTypes.js";
import type { SiteWorld } from "../support/siteWorld.js";

const views = new WeakMap<SiteWorld, MembershipView>();
const domains = ["bilbao-a", "bilbao-b", "vitoria", "donostia"];
const seed = 3;
const limit = 4;
const options = { limit, lifetimeMs: 10_000 };

function createMember(index: number, domainCount: number, state: MemberState = "alive"): Member {
    return {
        instance: `entry-${index}`,
        incarnation: 1,
        state,
        failureDomain: domains[index % domainCount]!,
        callerAddress: `10.0.0.${index}:8080`,
        peerAddress: `10.0.0.${index}:8081`,
    };
}

function toView(members: readonly Member[], isDegraded = false): MembershipView {
    return { self: members[0]!, members, isDegraded };
}

function listNames(list: EntryList): readonly string[] {
    return list.entries.map(entry => entry.instance);
}

/** Counts how often each entry is the first in the answers to one customer. */
function countFirst(
    view: MembershipView,
    customer: string,
    answers: number,
    subsetSize = 0,
): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (let answer = 0; answer < answers; answer += 1) {
        const spread = answer / answers;
        const [first] = listNames(rankEntries(view, customer, { ...options, subsetSize, spread }));
        counts.set(first!, (counts.get(first!) ?? 0) + 1);
    }
    return counts;
}

Given("a view of {int} members in {int} failure domains", function(this: SiteWorld, size: number, count: number) {
    views.set(this, toView(Array.from({ length: size }, (_, index) => createMember(index, count))));
});

When(
    "{int} members are {string} and {int} are {string}",
    function(this: SiteWorld, left: number, leftState: MemberState, right: number, rightState: MemberState) {
        const states = [...Array<MemberState>(left).fill(leftState), ...Array<MemberState>(right).fill(rightState)];
        const { members } = views.get(this)!;
        views.set(this, toView(members.map((member, index) => ({ ...member, state: states[index] ?? "alive" }))));
    },
);

Then(
    "the list for a caller in each failure domain begins there and names {int} entries",
    function(this: SiteWorld, count: number) {
        for (const failureDomain of domains) {
            const { entries } = rankEntries(views.get(this)!, "clinic", { ...options, failureDomain });
            assert.equal(entries[0]!.failureDomain, failureDomain);
            assert.equal(entries.length, count);
        }
    },
);

Then("each list also names an entry of another failure domain", function(this: SiteWorld) {
    for (const failureDomain of domains) {
        const { entries } = rankEntries(views.get(this)!, "clinic", { ...options, failureDomain, subsetSize: 40 });
        assert.ok(entries.some(entry => entry.failureDomain !== failureDomain));
    }
});

Then(
    "{int} customer with {int} answers receives at most {int} entries",
    function(this: SiteWorld, _: number, answers: number, maxEntries: number) {
        assert.ok(countFirst(views.get(this)!, "clinic", answers).size <= maxEntries);
    },
);

Then(
    "{int} customers with {int} answer each receive all {int} entries, the busiest at most {int} times the mean",
    function(this: SiteWorld, customers: number, answers: number, size: number, factor: number) {
        const counts = new Map<string, number>();
        for (let customer = 0; customer < customers; customer += 1) {
            const list = rankEntries(views.get(this)!, `customer-${customer}`, options);
            listNames(list).forEach(name => counts.set(name, (counts.get(name) ?? 0) + answers));
        }
        assert.equal(counts.size, size);
        assert.ok(Math.max(...counts.values()) <= factor * customers * limit / size);
    },
);

Then(
    "a customer that needs {int} entries receives {int} over {int} answers",
    function(this: SiteWorld, needed: number, received: number, answers: number) {
        assert.equal(countFirst(views.get(this)!, "clinic", answers, needed).size, received);
    },
);

Then("the version does not depend on the order in which members are known", function(this: SiteWorld) {
    const view = views.get(this)!;
    const reversed = toView([...view.members].reverse());
    const [left, right] = [rankEntries(view, "clinic", options), rankEntries(reversed, "clinic", options)];
    assert.equal(left.version, right.version);
    assert.deepEqual([...listNames(left)].sort(), [...listNames(right)].sort());
});

Then("the version changes when a member of the set leaves", function(this: SiteWorld) {
    const view = views.get(this)!;
    const before = rankEntries(view, "clinic", options);
    const [left] = listNames(before);
    const after = toView(view.members.map(one => one.instance === left ? { ...one, state: "leaving" } : one));
    assert.notEqual(rankEntries(after, "clinic", options).version, before.version);
});

Then("no customer receives one of them", function(this: SiteWorld) {
    const view = views.get(this)!;
    const alive = new Set(view.members.filter(one => one.state === "alive").map(one => one.instance));
    for (let customer = 0; customer < 100; customer += 1) {
        const names = listNames(rankEntries(view, `customer-${customer}`, options));
        assert.equal(names.length, limit);
        assert.ok(names.every(name => alive.has(name)));
    }
});

Then(
    "the view lists {int} entries when it is healthy and {int} when it is degraded",
    function(this: SiteWorld, healthy: number, degraded: number) {
        const { members } = views.get(this)!;
        assert.equal(listNames(rankEntries(toView(members), "clinic", options)).length, healthy);
        assert.equal(listNames(rankEntries(toView(members, true), "clinic", options)).length, degraded);
    },
);

type Rank = typeof rankEntries;

function checkAnyView(rank: Rank): boolean {
    const memberStates = fc.array(fc.constantFrom<MemberState>("alive", "suspect", "leaving", "dead"), {
        minLength: 1,
        maxLength: 30,
    });
    const property = fc.property(memberStates, fc.boolean(), fc.double({ min: 0, max: 0.999, noNaN: true }), (
        states,
        isDegraded,
        spread,
    ) => {
        const members = states.map((state, index) => createMember(index, domains.length, state));
        const names = listNames(rank(toView(members, isDegraded), "clinic", { ...options, spread }));
        const running = members.filter(member => member.state !== "dead");
        const usable = running.filter(member => member.state === "alive" || (isDegraded && member.state === "suspect"));
        const isWithoutDead = names.every(name => running.some(member => member.instance === name));
        const minEntries = Math.min(limit, usable.length > 0 ? 1 : running.length);
        const isEnough = names.length >= (isDegraded ? Math.min(usable.length, 2) : minEntries);
        return isWithoutDead && new Set(names).size === names.length && isEnough;
    });
    return !fc.check(property, { seed, numRuns: 1000 }).failed;
}

Then("for any view the list has no dead, no duplicate and no missing entry", function() {
    assert.ok(checkAnyView(rankEntries));
});

Then("the check detects a list that leaves out suspects in a degraded view", function() {
    assert.ok(!checkAnyView((view, customer, cfg) => rankEntries({ ...view, isDegraded: false }, customer, cfg)));
});
