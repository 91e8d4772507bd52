/**
 * @module
 * Steps that place requests on a virtual clock.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { choosePlacement } from "../../src/core/placement/choosePlacement.js";
import { createHealthView, type HealthView } from "../../src/core/placement/createHealthView.js";
import { createPartView, type PartView } from "../../src/core/placement/createPartView.js";
import { createPlacer, type Placer } from "../../src/core/placement/createPlacer.js";
import { createUpstreamUseTracker } from "../../src/core/placement/createUpstreamUseTracker.js";
import type { PlaceResult } from "../../src/core/proxy/proxyEffects.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { createUpstreamRegistry, type UpstreamRegistry } from "../../src/core/registry/createUpstreamRegistry.js";
import { indexRoutes } from "../../src/core/routes/indexRoutes.js";
import { createWeightsView, type WeightsView } from "../../src/core/weights/createWeightsView.js";
import { createPrompt, createProxyRequest, createRecord, createTable } from "../support/proxyFixtures.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface PlacementScene {
    readonly clock: VirtualClock;
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly health: HealthView;
    readonly parts: PartView;
    readonly placer: Placer;
    /** Requests with their results, in the order in which they were asked for. */
    readonly asked: { readonly req: ProxyRequest; result: PlaceResult | undefined; }[];
    /** Ids in the order in which they were placed. */
    readonly placedOrder: string[];
}

const scenes = new WeakMap<SiteWorld, PlacementScene>();
const memoryTokens = 20_000;
const salt = "easy-read/1/shared";

function sceneOf(world: SiteWorld): PlacementScene {
    const scene = scenes.get(world);
    assert.ok(scene !== undefined);
    return scene;
}

function recordOf(id: string, changes: Parameters<typeof createRecord>[0] = {}) {
    return createRecord({ id, address: `10.0.0.${id.slice(2)}:80`, ...changes });
}

function ask(scene: PlacementScene, changes: Partial<ProxyRequest> = {}): PlaceResult | undefined {
    const nowMs = scene.clock.now();
    const id = `r-${scene.asked.length}`;
    const parts = [{ id: "style", tokens: 2_000 }, { id: "case", tokens: 4_000 }, { id, tokens: 1_000 }];
    const prompt = createPrompt({ parts });
    const req = createProxyRequest("stream", { id, prompt, arrivedMs: nowMs, deadlineMs: nowMs + 4_000, ...changes });
    const entry: PlacementScene["asked"][number] = { req, result: undefined };
    scene.asked.push(entry);
    scene.placer.place(req, { kind: "place", excluded: [] }, result => {
        entry.result = result;
        if (result.kind === "placed") {
            scene.placedOrder.push(req.id);
        }
    });
    return entry.result;
}

function askMany(scene: PlacementScene, count: number): readonly (string | undefined)[] {
    return Array.from({ length: count }, () => {
        const result = ask(scene);
        scene.placer.end(scene.asked.at(-1)!.req);
        return result?.kind === "placed" ? result.placement.upstream.id : undefined;
    });
}

Given("engines {string} that run nothing", function(this: SiteWorld, names: string) {
    const clock = createVirtualClock(1);
    const health = createHealthView();
    const registry = createUpstreamRegistry(event => {
        if (event.kind === "restarted" || event.kind === "removed") {
            health.remove(event.record.id);
        }
    });
    const weights = createWeightsView();
    const parts = createPartView();
    const index = indexRoutes(createTable());
    const placer = createPlacer({
        clock,
        failureDomain: "north",
        registry,
        weights,
        use: createUpstreamUseTracker(),
        parts,
        health,
        findService: index.findService,
        outdatedLimitMs: 6_400,
        listStores: () => [],
    });
    registry.applyList(names.split(", ").map(id => recordOf(id)), 0);
    scenes.set(this, { clock, registry, weights, health, parts, placer, asked: [], placedOrder: [] });
});

When("{string} is found replaced", function(this: SiteWorld, id: string) {
    sceneOf(this).health.recordMisdirected(id);
});

When("the registry says that {string} has started again", function(this: SiteWorld, id: string) {
    const { registry, clock } = sceneOf(this);
    registry.applyChanges([{ kind: "put", record: recordOf(id, { startedAtMs: 2 }) }], clock.now());
});

When(/^(?:the registry says that )?"([^"]+)" is draining(?: by the registry)?$/, function(this: SiteWorld, id: string) {
    const { registry, clock } = sceneOf(this);
    registry.applyChanges([{ kind: "put", record: recordOf(id, { isDraining: true }) }], clock.now());
});

When("a peer tells that {string} is loading", function(this: SiteWorld, id: string) {
    sceneOf(this).weights.setLoading("peer", [id]);
});

Given("weights version {int} is named and {string} has it", function(this: SiteWorld, version: number, id: string) {
    const { weights, clock } = sceneOf(this);
    weights.recordTarget({ model: "easy-read", version, sinceMs: clock.now(), isObserved: true });
    weights.recordLoaded(id, "easy-read", version);
});

When("{int} ms have passed", function(this: SiteWorld, passedMs: number) {
    const { clock } = sceneOf(this);
    clock.runUntil(clock.now() + passedMs);
});

When("{string} tells that it keeps the shared parts", function(this: SiteWorld, id: string) {
    const { parts } = sceneOf(this);
    parts.applyEvents(id, [{ salt, part: "style", tokens: 2_000 }, { salt, part: "case", tokens: 4_000 }]);
});

function fill(scene: PlacementScene, changes: Partial<ProxyRequest> = {}): void {
    while (ask(scene, changes)?.kind === "placed") {
        assert.ok(scene.asked.length < 100);
    }
}

When("requests are placed until one waits", function(this: SiteWorld) {
    fill(sceneOf(this));
});

When("requests with a deadline of {int} ms are placed until one waits", function(this: SiteWorld, leftMs: number) {
    const scene = sceneOf(this);
    fill(scene, { deadlineMs: scene.clock.now() + leftMs });
});

When("one more request waits", function(this: SiteWorld) {
    assert.equal(ask(sceneOf(this)), undefined);
});

When("a placed request ends", function(this: SiteWorld) {
    const scene = sceneOf(this);
    const placed = scene.asked.find(entry => entry.result?.kind === "placed");
    assert.ok(placed !== undefined);
    scene.placer.end(placed.req);
});

When(
    "a request of priority {int} waits behind one of priority {int}",
    function(this: SiteWorld, first: number, last: number) {
        const scene = sceneOf(this);
        assert.equal(ask(scene, { priority: last }), undefined);
        assert.equal(ask(scene, { priority: first }), undefined);
    },
);

Then("{int} request(s) is/are (all )placed at {string}", function(this: SiteWorld, count: number, id: string) {
    assert.deepEqual(askMany(sceneOf(this), count), Array.from({ length: count }, () => id));
});

Then("some of {int} requests are placed at {string}", function(this: SiteWorld, count: number, id: string) {
    const scene = sceneOf(this);
    const places = Array.from({ length: count }, () => ask(scene))
        .map(result => (result?.kind === "placed" ? result.placement.upstream.id : undefined));
    assert.ok(places.includes(id));
});

Then(
    "a request is placed at {string} with the address of {string} as its source",
    function(this: SiteWorld, id, source) {
        const result = ask(sceneOf(this));
        assert.ok(result?.kind === "placed");
        assert.equal(result.placement.upstream.id, id);
        assert.equal(result.placement.cacheSource, recordOf(source).address);
    },
);

Then("a request is refused as {string}", function(this: SiteWorld, kind: string) {
    const result = ask(sceneOf(this));
    assert.equal(result?.kind === "refused" ? result.refusal.kind : result?.kind, kind);
});

Then("a request with {int} ms left is refused as {string}", function(this: SiteWorld, leftMs: number, kind: string) {
    const scene = sceneOf(this);
    const result = ask(scene, { deadlineMs: scene.clock.now() + leftMs });
    assert.equal(result?.kind === "refused" ? result.refusal.kind : result?.kind, kind);
});

Then("the placed requests fit into the engine's memory", function(this: SiteWorld) {
    const placed = sceneOf(this).asked.filter(entry => entry.result?.kind === "placed");
    // The parts before the last are shared by all of them; each has 1,000 tokens and 20 generated ones of its own.
    const tokens = 6_000 + placed.length * 1_020;
    assert.ok(placed.length > 1);
    assert.ok(tokens <= memoryTokens, `${tokens} tokens`);
});

Then("the waiting request is placed", function(this: SiteWorld) {
    assert.equal(sceneOf(this).asked.at(-1)?.result?.kind, "placed");
});

Then("the request that came last is placed and the one before it waits", function(this: SiteWorld) {
    const { asked } = sceneOf(this);
    assert.deepEqual(asked.slice(-2).map(entry => entry.result?.kind), [undefined, "placed"]);
});

Then("the waiting request is refused as {string}", function(this: SiteWorld, kind: string) {
    const result = sceneOf(this).asked.at(-1)?.result;
    assert.equal(result?.kind === "refused" ? result.refusal.kind : result?.kind, kind);
});

Then("the request of priority {int} is placed before that of priority {int}", function(this: SiteWorld, first, last) {
    const scene = sceneOf(this);
    while (scene.placer.countWaiting() > 0) {
        const placed = scene.asked.find(entry => entry.result?.kind === "placed");
        assert.ok(placed !== undefined);
        scene.placer.end(placed.req);
        scene.asked.splice(scene.asked.indexOf(placed), 1);
    }
    const priorities = scene.placedOrder.map(id => Number(id.slice(2)));
    assert.ok(first < last);
    // The one that joined last has the higher number and was placed earlier.
    const [lastJoined, before] = [
        priorities.indexOf(Math.max(...priorities)),
        priorities.indexOf(Math.max(...priorities) - 1),
    ];
    assert.ok(lastJoined < before);
});

/** Instances that place at one engine, each with its own account of work. */
interface LateNewsScene {
    readonly count: number;
    readonly newsMs: number;
    /** Memory taken at the engine when the first news arrives, in tokens. */
    takenTokens: number;
}

const lateNews = new WeakMap<SiteWorld, LateNewsScene>();
const lateNewsOwnTokens = 1_020;
const lateNewsEngineTokens = 60_000;

Given(
    "{int} instances that tell each other their use every {int} ms",
    function(this: SiteWorld, count: number, newsMs: number) {
        lateNews.set(this, { count, newsMs, takenTokens: 0 });
    },
);

When(
    "each of them places a request every {int} ms at one engine that all see empty",
    function(this: SiteWorld, spacingMs: number) {
        const scene = lateNews.get(this)!;
        const accounts = Array.from({ length: scene.count }, () => createUpstreamUseTracker());
        for (const account of accounts) {
            accounts.filter(other => other !== account).forEach((_, index) => account.updatePeer(`peer-${index}`, []));
        }
        for (let nowMs = 0; nowMs < scene.newsMs; nowMs += spacingMs) {
            for (const [index, account] of accounts.entries()) {
                const chosen = choosePlacement([{
                    id: "e-1",
                    use: account.read("e-1"),
                    unreportedTokens: account.estimateUnreportedTokens("e-1", nowMs),
                    slots: 1_000,
                    memoryTokens: lateNewsEngineTokens,
                    prefillTokens: lateNewsOwnTokens,
                    neededTokens: lateNewsOwnTokens,
                    isOutdated: false,
                    isSameFailureDomain: true,
                }]);
                if (chosen !== undefined) {
                    const shared = { sharedKey: "k", sharedTokens: 0, unreadTokens: lateNewsOwnTokens };
                    const placed = { upstream: "e-1", ownTokens: lateNewsOwnTokens, ...shared };
                    account.begin(`${index}-${nowMs}`, placed, nowMs);
                    scene.takenTokens += lateNewsOwnTokens;
                }
            }
        }
    },
);

Then("the engine's memory is not taken more than once before the news arrives", function(this: SiteWorld) {
    const { takenTokens } = lateNews.get(this)!;
    assert.ok(takenTokens > 0);
    assert.ok(takenTokens <= lateNewsEngineTokens, `${takenTokens} tokens`);
});
