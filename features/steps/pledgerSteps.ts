/**
 * @module
 * Steps about the pledges of one instance.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { chooseQuotaOwners } from "../../src/core/quotas/chooseQuotaOwners.js";
import { createPledger } from "../../src/core/quotas/createPledger.js";
import { pledgeTermMs } from "../../src/core/quotas/quotaTimes.js";
import type { SiteWorld } from "../support/siteWorld.js";

const pool = 1;
const names = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"];
const others = names.slice(1);
const warmUpMs = 5_000;
const playedMs = 10_000;

/** Part of the share that an owner may grant, until a time. */
interface CountedPledge {
    readonly weight: number;
    readonly untilMs: number;
}

class PledgingInstance {
    readonly clock = createVirtualClock(3);
    readonly silent = new Set<string>();
    readonly leaving = new Set<string>();
    readonly counted = new Map<string, CountedPledge>();
    candidates: readonly string[] = others;
    mostPledged = 0;

    readonly pledger = createPledger({
        clock: this.clock,
        random: this.clock.random,
        self: names[0]!,
        listCandidates: () => this.candidates,
        listPools: () => [pool],
        mayPledge: () => true,
        countInstances: () => names.length,
        pledgeSelf: () => undefined,
        onSilent: () => undefined,
        send: (owner, { weights, epoch, echoMs }) => {
            if (this.silent.has(owner)) {
                return;
            }
            const isReleased = this.leaving.has(owner);
            if (isReleased) {
                this.counted.delete(owner);
            }
            else if (epoch !== undefined) {
                this.counted.set(owner, { weight: weights[0]?.[1] ?? 0, untilMs: echoMs! + pledgeTermMs });
            }
            const receipt = { kind: "receipt", epoch: 1, atMs: this.clock.now(), isReleased } as const;
            this.clock.after(2, () => this.pledger.receiveReceipt(owner, receipt));
        },
    });

    findPledged(owner: string): number {
        const pledge = this.counted.get(owner);
        return pledge === undefined || pledge.untilMs <= this.clock.now() ? 0 : pledge.weight;
    }

    /** Plays some time, with the updates that an instance makes. */
    play(untilMs: number): void {
        while (this.clock.now() < untilMs) {
            this.clock.runUntil(this.clock.now() + 100);
            this.pledger.update();
            this.mostPledged = Math.max(
                this.mostPledged,
                others.reduce((sum, name) => sum + this.findPledged(name), 0),
            );
        }
    }
}

const instances = new WeakMap<SiteWorld, PledgingInstance>();
const ranked = chooseQuotaOwners(pool, others);
const firstOwner = ranked[0]!;
const nextOwner = chooseQuotaOwners(pool, others.filter(name => name !== firstOwner)).find(name =>
    !ranked.includes(name)
)!;

Given("an instance that has pledged its share to the three owners of a pool", function(this: SiteWorld) {
    const instance = new PledgingInstance();
    instance.play(warmUpMs);
    assert.deepEqual(ranked.map(owner => instance.findPledged(owner)), [0.333, 0.333, 0.333]);
    instances.set(this, instance);
});

const events: ReadonlyMap<string, (instance: PledgingInstance) => void> = new Map([
    ["gives the pledge up and leaves", instance => {
        instance.leaving.add(firstOwner);
        instance.play(warmUpMs + 1_500);
        instance.candidates = others.filter(name => name !== firstOwner);
    }],
    ["ends without a word", instance => {
        instance.silent.add(firstOwner);
        instance.candidates = others.filter(name => name !== firstOwner);
    }],
    ["does not answer any more", instance => {
        instance.silent.add(firstOwner);
    }],
]);

When(/^its first owner (gives|ends|does) (.+)$/, function(this: SiteWorld, verb: string, rest: string) {
    events.get(`${verb} ${rest}`)!(instances.get(this)!);
});

Then(
    "within {int} s the next owner is pledged its part, and the instance never pledges more than its share",
    function(this: SiteWorld, seconds: number) {
        const instance = instances.get(this)!;
        instance.play(instance.clock.now() + seconds * 1_000);
        assert.ok(instance.findPledged(nextOwner) >= 0.3, `${instance.findPledged(nextOwner)}`);
        instance.play(instance.clock.now() + playedMs);
        assert.ok(instance.mostPledged <= 1, `${instance.mostPledged}`);
    },
);
