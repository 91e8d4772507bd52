/**
 * @module
 * Steps on the list of upstreams and on the configuration.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { decodeUpstreamRecord } from "../../platform/decodeUpstreamRecord.js";
import { assembleViews } from "../../src/assemble/assembleViews.js";
import type { InstanceContext } from "../../src/assemble/routerPorts.js";
import {
    createUpstreamRegistry,
    type RegistryEvent,
    type UpstreamRegistry,
} from "../../src/core/registry/createUpstreamRegistry.js";
import { indexRoutes, type RouteIndex } from "../../src/core/routes/indexRoutes.js";
import { createRouterMetrics } from "../../src/io/metrics/createRouterMetrics.js";
import { createRecord, createRoute, createTable } from "../support/proxyFixtures.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface RegistryScene {
    readonly registry: UpstreamRegistry;
    readonly events: RegistryEvent[];
}

const scenes = new WeakMap<SiteWorld, RegistryScene>();
const indexes = new WeakMap<SiteWorld, RouteIndex>();

function sceneOf(world: SiteWorld): RegistryScene {
    const scene = scenes.get(world);
    assert.ok(scene !== undefined);
    return scene;
}

const listIds = (registry: UpstreamRegistry) => registry.list().map(record => record.id).toSorted().join(", ");

Given("the list holds {string}", function(this: SiteWorld, names: string) {
    const events: RegistryEvent[] = [];
    const registry = createUpstreamRegistry(event => events.push(event));
    registry.applyList(names.split(", ").map(id => createRecord({ id })), 0);
    events.length = 0;
    scenes.set(this, { registry, events });
});

When("the store is away from {int} ms to {int} ms", function(this: SiteWorld, fromMs: number, toMs: number) {
    const { registry } = sceneOf(this);
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 500) {
        registry.recordOutage(nowMs);
        registry.removeExpired(nowMs);
    }
});

When("the list is read at {int} ms without {string}", function(this: SiteWorld, nowMs: number, id: string) {
    const { registry } = sceneOf(this);
    registry.applyList(registry.list().filter(record => record.id !== id), nowMs);
});

When("{string} is put at {int} ms", function(this: SiteWorld, id: string, nowMs: number) {
    sceneOf(this).registry.applyChanges([{ kind: "put", record: createRecord({ id }) }], nowMs);
});

When("{string} is removed at {int} ms", function(this: SiteWorld, id: string, nowMs: number) {
    sceneOf(this).registry.applyChanges([{ kind: "removed", id }], nowMs);
});

When(/^"([^"]+)" is put with (a later|its first) start$/, function(this: SiteWorld, id: string, which: string) {
    const record = createRecord({ id, startedAtMs: which === "a later" ? 2 : 1, slots: 9 });
    sceneOf(this).registry.applyChanges([{ kind: "put", record }], 100);
});

When("the entry of {string} becomes {}", function(this: SiteWorld, id: string, entry: string) {
    const decoded = decodeUpstreamRecord({ key: id, offset: 1, value: Buffer.from(entry) });
    assert.ok(decoded.isErr);
    sceneOf(this).registry.applyChanges([], 50);
});

Then("the list holds {string} at {int} ms", function(this: SiteWorld, names: string, nowMs: number) {
    const { registry } = sceneOf(this);
    registry.removeExpired(nowMs);
    assert.equal(listIds(registry), names);
});

Then("the registry tells that {string} has restarted", function(this: SiteWorld, id: string) {
    const { events } = sceneOf(this);
    assert.deepEqual(events.map(event => [event.kind, event.record.id]), [["restarted", id]]);
    events.length = 0;
});

Then("nothing more is told", function(this: SiteWorld) {
    assert.deepEqual(sceneOf(this).events, []);
});

Then("a configuration is in force only when its version is higher", function() {
    const metrics = createRouterMetrics();
    const context = { clock: { now: () => 0 }, settings: {}, writeLog: () => undefined, metrics };
    const views = assembleViews(context as unknown as InstanceContext);
    const inForce = [3, 2, 3, 7, 5].map(version => {
        views.applyTable(createTable({ version }), "store");
        return views.routes()?.table.version;
    });
    assert.deepEqual(inForce, [3, 3, 3, 7, 7]);
});

Given(
    "routes for {string}, {string} and {string}",
    function(this: SiteWorld, first: string, second: string, third: string) {
        const routes = [first, second, third].map(pathPrefix => createRoute({ name: pathPrefix, pathPrefix }));
        indexes.set(this, indexRoutes(createTable({ routes })));
    },
);

Then("the path {string} goes to {string}", function(this: SiteWorld, path: string, route: string) {
    assert.equal(indexes.get(this)?.findRoute("letters.example", path)?.name ?? "none", route);
});
