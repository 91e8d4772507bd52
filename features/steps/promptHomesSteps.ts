/**
 * @module
 * Steps on the homes of shared prompts.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRandom } from "../../bench/faults/platform/createRandom.js";
import { createPlacerFixture, type PlacerFixture } from "../../bench/support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { Heartbeat } from "../../src/core/fleet/heartbeat.js";
import { parseFleetMessage } from "../../src/core/fleet/parseFleetMessage.js";
import { planHeartbeats } from "../../src/core/fleet/planHeartbeats.js";
import { computeStoreReachMs } from "../../src/core/homes/computeStoreReachMs.js";
import { createPromptHomes, type HomesChange, type PromptHomes } from "../../src/core/homes/createPromptHomes.js";
import { createStoreReach } from "../../src/core/homes/createStoreReach.js";
import { stepHomeCount } from "../../src/core/homes/stepHomeCount.js";
import type { ReachableStore } from "../../src/core/placement/createPromptCacheReader.js";
import type { Prompt } from "../../src/core/placement/placementTypes.js";
import type { Placement } from "../../src/core/proxy/proxyTypes.js";
import { describeSend } from "../../src/io/proxy/describeSend.js";

interface HomesWorld {
    engines: readonly string[];
    prompts: readonly Prompt[];
    before: readonly (readonly string[])[];
    homes: PromptHomes;
    workMs: number;
    changes: HomesChange[];
    sampled: readonly PromptHomes[];
    nowMs: number;
    fixture: PlacerFixture;
    stores: readonly ReachableStore[];
    /** Heartbeats as they were received; undefined when rejected. */
    heartbeats: readonly (Heartbeat | undefined)[];
}

const hot = createOwnPrompt("hot");

function nameEngines(count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => `u-${index + 1}`);
}

function createOwnPrompt(name: string): Prompt {
    return createPrompt({ parts: [{ id: name, tokens: 4_000 }, { id: "own", tokens: 900 }] });
}

function createCase(first: string, second: string): Prompt {
    const parts = [{ id: first, tokens: 2_000 }, { id: second, tokens: 4_000 }, { id: "own", tokens: 1_000 }];
    return createPrompt({ parts });
}

function createHomes(instances: number, onChange?: (change: HomesChange) => void): PromptHomes {
    return createPromptHomes({ countInstances: () => instances, onChange });
}

function listHomes(homes: PromptHomes, prompt: Prompt, engines: readonly string[], nowMs = 0): readonly string[] {
    const list = homes.list(prompt, engines, nowMs);
    return list?.engines.slice(0, list.homes) ?? [];
}

function listAll(world: HomesWorld, engines: readonly string[]): readonly (readonly string[])[] {
    return world.prompts.map(prompt => createHomes(88).list(prompt, engines, 0)?.engines ?? []);
}

Then("{int} drawn lists of engines give the same homes on every instance", (runs: number) => {
    const ids = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 40 });
    fc.assert(
        fc.property(ids, fc.string({ minLength: 1 }), fc.nat(), (engines, name, turn) => {
            const at = turn % engines.length;
            const turned = [...engines.slice(at), ...engines.slice(0, at)].toReversed();
            const prompt = createOwnPrompt(name);
            const listed = createHomes(91).list(prompt, engines, 0);
            assert.deepEqual(createHomes(91).list(prompt, turned, 5_000), listed);
            assert.equal(new Set(listed?.engines).size, Math.min(3, engines.length));
        }),
        { numRuns: runs, seed: 7 },
    );
});

Given("{int} engines and {int} prompts", function(this: HomesWorld, engines: number, prompts: number) {
    this.engines = nameEngines(engines);
    this.prompts = Array.from({ length: prompts }, (_, index) => createCase(`first-${index % 4}`, `case-${index}`));
    this.before = listAll(this, this.engines);
});

When("engine {int} is lost", function(this: HomesWorld, engine: number) {
    this.engines = this.engines.filter(id => id !== `u-${engine}`);
});

When("engine {int} is back", function(this: HomesWorld, engine: number) {
    this.engines = [...this.engines, `u-${engine}`];
});

Then("only its prompts move, each to the engine that came next", function(this: HomesWorld) {
    const after = listAll(this, this.engines);
    const moved = this.before.filter((list, index) => list[0] !== after[index]![0]);
    assert.ok(moved.length > 0 && moved.length < this.prompts.length / 20, String(moved.length));
    this.before.forEach((list, index) => {
        assert.equal(after[index]![0], list.find(id => this.engines.includes(id)));
    });
});

Then("no prompt has moved", function(this: HomesWorld) {
    assert.deepEqual(listAll(this, this.engines), this.before);
});

Then(
    "an instance that misses engine {int} names the same first home for all prompts of other engines",
    function(this: HomesWorld, engine: number) {
        const seen = listAll(this, this.engines.filter(id => id !== `u-${engine}`));
        this.before.forEach((list, index) => {
            assert.ok(list[0] === `u-${engine}` || list[0] === seen[index]![0]);
        });
    },
);

Given("{int} engines in a fleet of 91 instances", function(this: HomesWorld, engines: number) {
    this.engines = nameEngines(engines);
    this.stores = [];
    this.fixture = createInstance(this);
});

function createInstance(world: HomesWorld): PlacerFixture {
    return createPlacerFixture(createVirtualClock(1), world.engines, false, undefined, undefined, {
        listStores: () => world.stores,
    });
}

function placeAt(fixture: PlacerFixture, prompt: Prompt, id: string, excluded: readonly string[] = []): Placement {
    let placement: Placement | undefined;
    const req = createProxyRequest("stream", { id, prompt });
    fixture.placer.place(req, { kind: "place", excluded }, result => {
        placement = result.kind === "placed" ? result.placement : undefined;
    });
    fixture.placer.end(req);
    assert.ok(placement !== undefined);
    return placement;
}

const createCases = (count: number) =>
    Array.from({ length: count }, (_, index) => createCase("first", `case-${index}`));

Then(
    "{int} prompts have the same first home before and after half of the engines have newer weights",
    function(this: HomesWorld, count: number) {
        const model = createPrompt().model;
        const newer = this.engines.slice(0, this.engines.length / 2);
        const before = createCases(count).map(prompt => placeAt(createInstance(this), prompt, "r").upstream.id);
        const after = createCases(count).map(prompt => {
            const fixture = createInstance(this);
            fixture.weights.recordTarget({ model, version: 2, sinceMs: -5_000, isObserved: true });
            newer.forEach(id => fixture.weights.recordLoaded(id, model, 2));
            return placeAt(fixture, prompt, "r").upstream.id;
        });
        after.forEach((id, index) =>
            assert.ok(
                newer.includes(id)
                    && (id === before[index] || !newer.includes(before[index]!)),
            )
        );
    },
);

Given(
    "{int} engines and requests that each occupy an engine for {int} ms",
    function(this: HomesWorld, engines: number, workMs: number) {
        this.engines = nameEngines(engines);
        this.workMs = workMs;
    },
);

/** Lets an instance place one request. */
function place(homes: PromptHomes, prompt: Prompt, workMs: number, nowMs: number): void {
    homes.recordPlaced(prompt, nowMs);
    homes.recordWork(workMs);
}

When(
    "each of {int} instances has got {float} requests a second, {float} of them for one prompt, for {int} s",
    function(this: HomesWorld, instances: number, rate: number, part: number, seconds: number) {
        this.changes = [];
        this.homes = createHomes(instances, change => this.changes.push(change));
        this.nowMs = seconds * 1_000;
        for (let index = 0; index < rate * seconds; index += 1) {
            const isHot = Math.floor(index * part) !== Math.floor((index + 1) * part);
            place(this.homes, isHot ? hot : createOwnPrompt(`cold-${index}`), this.workMs, index * 1_000 / rate);
        }
    },
);

Then("the prompt has {int} homes and an ordinary prompt has 1", function(this: HomesWorld, homes: number) {
    assert.equal(listHomes(this.homes, hot, this.engines, this.nowMs).length, homes);
    assert.equal(listHomes(this.homes, createOwnPrompt("cold-5"), this.engines, this.nowMs).length, 1);
    assert.deepEqual(
        this.changes.map(change => [change.part, change.homesBefore, change.homes]),
        homes === 1 ? [] : [["hot", 1, homes]],
    );
});

When("an instance of 380 has got {int} requests for as many prompts", function(this: HomesWorld, requests: number) {
    this.homes = createHomes(380);
    this.prompts = Array.from({ length: requests }, (_, index) => createOwnPrompt(`p-${index}`));
    this.prompts.forEach((prompt, index) => place(this.homes, prompt, this.workMs, index * 10));
});

Then("each of these prompts has 1 home", function(this: HomesWorld) {
    this.prompts.forEach(one => assert.equal(listHomes(this.homes, one, this.engines, 20_000).length, 1));
});

When(
    "{int} instances of {int} draw requests of which {float} are for one prompt, beginning after {int} s",
    function(this: HomesWorld, sampled: number, instances: number, part: number, from: number) {
        this.sampled = Array.from({ length: sampled }, () => createHomes(instances));
        const random = createRandom(11);
        for (const homes of this.sampled) {
            for (let nowMs = 0; nowMs < 60_000; nowMs += 200) {
                const isHot = nowMs > from * 1_000 && random() < part;
                place(homes, isHot ? hot : createOwnPrompt(`cold-${Math.floor(random() * 500)}`), this.workMs, nowMs);
                homes.list(hot, this.engines, nowMs);
            }
        }
    },
);

Then(
    "after {int} s their lists of homes are nested, and differ by one step at most",
    function(this: HomesWorld, seconds: number) {
        const lists = this.sampled.map(homes => listHomes(homes, hot, this.engines, 20_000 + seconds * 1_000))
            .toSorted((left, right) => left.length - right.length);
        const longest = lists.at(-1)!;
        lists.forEach(list => assert.deepEqual(list, longest.slice(0, list.length)));
        this.before = lists;
        const counts = lists.map(list => list.length);
        assert.ok(longest.length > 1 && counts.filter(one => one * 2 < longest.length).length <= 1, counts.join());
    },
);

Then(
    "{int} s after the jump has ended all of them have given up at least half of the homes",
    function(this: HomesWorld, seconds: number) {
        const random = createRandom(12);
        const counts = this.sampled.map(homes => {
            for (let nowMs = 60_000; nowMs < 60_000 + seconds * 1_000; nowMs += 200) {
                place(homes, createOwnPrompt(`cold-${Math.floor(random() * 500)}`), this.workMs, nowMs);
                homes.list(hot, this.engines, nowMs);
            }
            return listHomes(homes, hot, this.engines, 60_000 + seconds * 1_000).length;
        });
        assert.ok(Math.max(...counts) <= this.before.at(-1)!.length / 2, counts.join());
    },
);

Then(
    "a prompt with {int} shared tokens is placed without a source, and one with {int} with a source",
    function(this: HomesWorld, few: number, enough: number) {
        const [short, long] = [few, enough].map(tokens => {
            const parts = [{ id: "short", tokens }, { id: "own", tokens: 900 }];
            return placeAt(createInstance(this), createPrompt({ parts, promptTokens: tokens + 900 }), "r");
        });
        assert.deepEqual([short?.cacheSource, short?.cacheTarget, short?.home?.rank], [undefined, undefined, 0]);
        assert.ok(this.stores.some(store => store.address === long?.cacheSource && store.address === long.cacheTarget));
    },
);

Then(
    "an estimate that moves between {float} and {float} changes the number of homes once",
    (low: number, high: number) => {
        let count: number | undefined;
        let changes = 0;
        for (let step = 0; step < 100; step += 1) {
            const next = stepHomeCount(step % 2 === 0 ? low : high, count);
            changes += count !== undefined && next !== count ? 1 : 0;
            count = next;
        }
        assert.equal(changes, 1);
    },
);

/** Lets an instance answer one request after 60 ms, and returns the engine. */
function answerAt({ placer, clock }: PlacerFixture, prompt: Prompt, id: string): string {
    const arrivedMs = clock.now();
    const req = createProxyRequest("stream", { id, prompt, arrivedMs, deadlineMs: arrivedMs + 3_000 });
    let placement: Placement | undefined;
    placer.place(req, { kind: "place", excluded: [] }, result => {
        placement = result.kind === "placed" ? result.placement : undefined;
    });
    clock.runUntil(clock.now() + 60);
    assert.ok(placement !== undefined, id);
    placer.recordAnswerStart(req, placement);
    placer.end(req);
    return placement.upstream.id;
}

When(
    "one of them alone has newer weights, and {int} of {int} requests placed there are for one prompt",
    function(this: HomesWorld, hotCount: number, count: number) {
        const model = createPrompt().model;
        this.changes = [];
        this.fixture = createPlacerFixture(createVirtualClock(1), this.engines, false, undefined, undefined, {
            onHomesChanged: change => this.changes.push(change),
        });
        this.fixture.weights.recordTarget({ model, version: 2, sinceMs: -60_000, isObserved: true });
        this.fixture.weights.recordLoaded("u-1", model, 2);
        for (let index = 0; index < count; index += 1) {
            const prompt = index * hotCount % count < hotCount ? hot : createOwnPrompt(`cold-${index}`);
            assert.equal(answerAt(this.fixture, prompt, `r-${index}`), "u-1");
        }
    },
);

Then("the number of homes has only risen, and the log names each change once", function(this: HomesWorld) {
    assert.ok(this.changes.length > 0);
    this.changes.forEach(({ homes, homesBefore, engines }) => {
        assert.ok(homes > homesBefore, `${homesBefore} to ${homes}`);
        assert.equal(engines, this.engines.length);
    });
});

Given("{int} engines in service", function(this: HomesWorld, engines: number) {
    this.engines = nameEngines(engines);
});

When(
    "an instance has got {int} requests with {int} first parts",
    function(this: HomesWorld, requests: number, firsts: number) {
        this.homes = createHomes(88);
        for (let index = 0; index < requests; index += 1) {
            this.homes.recordPlaced(createCase(`first-${index % firsts}`, `case-${index % 977}`), index * 5);
        }
        this.nowMs = requests * 5;
    },
);

function countLeaders(world: HomesWorld): number {
    const leaders = Array.from(
        { length: 400 },
        (_, index) => world.homes.list(createCase("first-1", `other-${index}`), world.engines, world.nowMs)?.engines[0],
    );
    return new Set(leaders).size;
}

Then(
    "the prompts of one first part are led by {int} to {int} engines",
    function(this: HomesWorld, least: number, most: number) {
        const leaders = countLeaders(this);
        assert.ok(leaders >= least && leaders <= most, String(leaders));
    },
);

Then("the prompts of one first part are led by {int} engines or more", function(this: HomesWorld, least: number) {
    assert.ok(countLeaders(this) >= least);
});

Then(
    "{int} requests that were rejected by their home are placed at one and the same engine by {int} instances",
    function(this: HomesWorld, count: number, instances: number) {
        for (const prompt of createCases(count)) {
            const home = placeAt(this.fixture, prompt, "r").upstream.id;
            const next = Array.from({ length: instances }, () => createInstance(this))
                .map((fixture, index) => placeAt(fixture, prompt, `r-${index}`, [home]).upstream.id);
            assert.equal(new Set(next).size, 1);
            assert.notEqual(next[0], home);
        }
    },
);

When("an instance has placed large prompts at the home of a prompt until it is full", function(this: HomesWorld) {
    const [prompt] = createCases(1);
    const { engines } = createHomes(91).list(prompt!, this.engines, 0)!;
    this.before = [engines];
    this.fixture.use.begin("r-0", {
        upstream: engines[0]!,
        ownTokens: 19_000,
        sharedKey: "other",
        sharedTokens: 0,
        unreadTokens: 0,
    }, 0);
});

Then("the prompt is placed at the engine that comes next, and the log says so", function(this: HomesWorld) {
    const [prompt] = createCases(1);
    const placement = placeAt(this.fixture, prompt!, "r");
    assert.equal(placement.upstream.id, this.before[0]![1]);
    const { homeRank, homes, promptRate } = describeSend(
        createProxyRequest("stream", { prompt }),
        placement,
        0,
        undefined,
    );
    assert.deepEqual({ homeRank, homes, promptRate }, { homeRank: 1, homes: 1, promptRate: 0 });
});

Given("cache stores in {string} whose events other instances read", function(this: HomesWorld, domains: string) {
    this.stores = domains.split(", ").map((failureDomain, index) => (
        { id: `store-${index}`, address: `10.0.1.${index}:80`, failureDomain, isFollowed: false }
    ));
});

Then(
    "{int} requests name the same store as source and as target on {int} instances",
    function(this: HomesWorld, count: number, instances: number) {
        // Engines of the fixture are all in the first store's failure domain.
        this.stores = this.stores.map(store => ({ ...store, failureDomain: "other" }));
        this.before = createCases(count).map(prompt => {
            const named = Array.from({ length: instances }, () => placeAt(createInstance(this), prompt, "r"))
                .flatMap(({ cacheSource, cacheTarget }) => [cacheSource ?? "", cacheTarget ?? ""]);
            assert.equal(new Set(named).size, 1);
            return [named[0]!];
        });
    },
);

Then("about half of the prompts are kept by each store", function(this: HomesWorld) {
    const first = this.before.filter(([address]) => address === this.stores[0]!.address).length;
    assert.ok(first > this.before.length / 4 && first < this.before.length * 3 / 4, String(first));
});

When("an instance has placed a prompt, and its answer has begun", function(this: HomesWorld) {
    const [prompt] = createCases(1);
    const placement = placeAt(this.fixture, prompt!, "r");
    this.fixture.placer.recordAnswerStart(createProxyRequest("stream", { prompt }), placement);
    this.before = [[placement.upstream.id, placement.cacheSource ?? ""]];
});

Then(
    "the next request for the prompt goes to the same engine, with the same store as source and no target",
    function(this: HomesWorld) {
        const next = placeAt(this.fixture, createCases(1)[0]!, "next");
        assert.equal(next.heldTokens, 6_000);
        assert.deepEqual([next.upstream.id, next.cacheSource, next.cacheTarget], [...this.before[0]!, undefined]);
    },
);

Then(
    "{int} requests that were rejected by their home name it as source",
    function(this: HomesWorld, count: number) {
        for (const prompt of createCases(count)) {
            const home = placeAt(createInstance(this), prompt, "r").upstream;
            assert.equal(placeAt(createInstance(this), prompt, "r", [home.id]).cacheSource, home.address);
        }
    },
);

When("a store answered {int} ms ago according to a heartbeat", function(this: HomesWorld, ageMs: number) {
    this.nowMs = ageMs;
});

Then(
    "{int} instances count it as reachable for {int} ms more, and not after {int} ms",
    function(this: HomesWorld, instances: number, stillMs: number, afterMs: number) {
        const maxAgeMs = computeStoreReachMs(instances);
        const reach = createStoreReach();
        reach.record({ id: "store-1", ageMs: this.nowMs }, 0);
        assert.ok(reach.isReachable("store-1", maxAgeMs, stillMs));
        assert.equal(reach.isReachable("store-1", maxAgeMs, afterMs), false);
        assert.deepEqual(reach.list(maxAgeMs, afterMs), []);
    },
);

Then("older news changes nothing, and odd news does no harm", () => {
    const reach = createStoreReach();
    reach.record({ id: "store-1", ageMs: 100 }, 1_000);
    reach.record({ id: "store-1", ageMs: 1_500 }, 1_000);
    reach.record({ id: "x".repeat(129), ageMs: 0 }, 1_000);
    assert.deepEqual(reach.list(2_000, 1_000), [{ id: "store-1", ageMs: 100 }]);
    for (let index = 0; index < 100; index += 1) {
        reach.record({ id: `odd-${index}`, ageMs: 200 }, 1_000);
    }
    assert.ok(reach.list(2_000, 1_000).length <= 64 && reach.isReachable("store-1", 2_000, 1_000));
});

function createHeartbeat(): Heartbeat {
    const host = "10.1.0.1";
    const addresses = { callerAddress: `${host}:82`, peerAddress: `${host}:83`, heartbeatAddress: `${host}:73` };
    const lists = { named: [], uses: [], loading: [], loaded: [], known: [] };
    return {
        from: {
            name: "entry-1",
            startedAtMs: 1_764_849_600_000,
            failureDomain: "north",
            ...addresses,
            state: "serving",
        },
        tableVersion: 12,
        storeAgeMs: 300,
        ...lists,
        ages: "",
    };
}

Given(
    "heartbeats that name {int} and {int} cache stores, as a newer build might send",
    function(this: HomesWorld, few: number, many: number) {
        this.heartbeats = [few, many].map(count => {
            const stores = Array.from({ length: count }, (_, index) => ({ id: `store-${index}`, ageMs: 100 }));
            const message = parseFleetMessage(JSON.stringify({ ...createHeartbeat(), stores }));
            return message !== undefined && "from" in message ? message : undefined;
        });
    },
);

Then(
    "of the first all stores count as reachable, and of the second {int}",
    function(this: HomesWorld, bound: number) {
        const counts = this.heartbeats.map(heartbeat => {
            const reach = createStoreReach();
            heartbeat?.stores?.forEach(answer => reach.record(answer, 1_000));
            return reach.list(2_000, 1_000).length;
        });
        assert.deepEqual(counts, [21, bound]);
    },
);

Then("neither heartbeat is rejected", function(this: HomesWorld) {
    assert.ok(!this.heartbeats.includes(undefined));
});

/** Passes the answers of a store from its 9 readers on, by heartbeats of which 1 in 50 is lost. */
function passOn(instances: number, untilMs: number, deadFromMs: number): readonly boolean[][] {
    const random = createRandom(5);
    const { intervalMs, fanOut } = planHeartbeats(instances - 1);
    const maxAgeMs = computeStoreReachMs(instances);
    const reaches = Array.from({ length: instances }, createStoreReach);
    const due = reaches.map(() => random() * intervalMs);
    const seen: boolean[][] = [];
    for (let nowMs = 0; nowMs < untilMs; nowMs += 20) {
        const isRead = nowMs % 1_120 === 0 && nowMs < deadFromMs;
        reaches.slice(0, isRead ? 9 : 0).forEach(reach => reach.record({ id: "store-1", ageMs: 0 }, nowMs));
        due.forEach((dueMs, index) => {
            if (nowMs < dueMs) {
                return;
            }
            due[index] = dueMs + intervalMs;
            const told = reaches[index]!.list(maxAgeMs, nowMs);
            for (let target = 0; target < fanOut; target += 1) {
                const receiver = reaches[Math.floor(random() * instances)]!;
                told.filter(() => random() > 0.02).forEach(answer => receiver.record(answer, nowMs));
            }
        });
        seen.push(reaches.map(reach => reach.isReachable("store-1", maxAgeMs, nowMs)));
    }
    return seen;
}

Then(
    "{int} instances hear of a store from its 9 readers in 99 of 100 moments, and of its end within {int} ms",
    (instances: number, endMs: number) => {
        const deadFromMs = 30_000;
        const moments = passOn(instances, deadFromMs + endMs + 1_000, deadFromMs);
        const calm = moments.slice(15_000 / 20, deadFromMs / 20).flat();
        assert.ok(calm.filter(Boolean).length > calm.length * 0.99);
        assert.ok(!moments.at(-1)!.includes(true));
    },
);
