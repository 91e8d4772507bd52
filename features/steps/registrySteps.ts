/**
 * @module
 * Steps that check the registry of upstreams and the choice of configuration and route.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRecord, createRoute, createTable } from "../../bench/support/proxyFixtures.js";
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
import type { SiteWorld } from "../support/siteWorld.js";

interface RegistryFixture {
    readonly registry: UpstreamRegistry;
    readonly events: RegistryEvent[];
}

const fixtures = new WeakMap<SiteWorld, RegistryFixture>();
const indexes = new WeakMap<SiteWorld, RouteIndex>();

function getFixture(world: SiteWorld): RegistryFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

const listIds = (registry: UpstreamRegistry) => registry.list().map(record => record.id).toSorted().join(", ");

Given("the list holds {string}", function(this: SiteWorld, names: string) {
    const events: RegistryEvent[] = [];
    const registry = createUpstreamRegistry(event => events.push(event));
    registry.applyList(names.split(", ").map(id => createRecord({ id })), 0);
    events.length = 0;
    fixtures.set(this, { registry, events });
});

When("the store is unavailable from {int} ms to {int} ms", function(this: SiteWorld, fromMs: number, toMs: number) {
    const { registry } = getFixture(this);
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 500) {
        registry.recordOutage(nowMs);
        registry.removeExpired(nowMs);
    }
});

When("the list is read at {int} ms without {string}", function(this: SiteWorld, nowMs: number, id: string) {
    const { registry } = getFixture(this);
    registry.applyList(registry.list().filter(record => record.id !== id), nowMs);
});

When(
    "an older copy of the list is read at {int} ms with {string}",
    function(this: SiteWorld, nowMs: number, names: string) {
        getFixture(this).registry.applyReturnedList(names.split(", ").map(id => createRecord({ id })), nowMs);
    },
);

When(
    /^"([^"]+)" is put with state (ready|draining) and (\d+) orders$/,
    function(this: SiteWorld, id: string, state: string, orders: string) {
        const record = createRecord({ id, isDraining: state === "draining", acceptedOrders: Number(orders) });
        getFixture(this).registry.applyChanges([{ kind: "put", record }], 100);
    },
);

When(
    /^an older copy says of "([^"]+)" that it has state (ready|draining) and (\d+) orders$/,
    function(this: SiteWorld, id: string, state: string, orders: string) {
        const record = createRecord({ id, isDraining: state === "draining", acceptedOrders: Number(orders) });
        getFixture(this).registry.applyReturnedList([record], 200);
    },
);

Then(
    /^"([^"]+)" has state (ready|draining) and (\d+) orders$/,
    function(this: SiteWorld, id: string, state: string, orders: string) {
        const record = getFixture(this).registry.find(id);
        assert.deepEqual([record?.isDraining, record?.acceptedOrders], [state === "draining", Number(orders)]);
    },
);

When("{string} is put at {int} ms", function(this: SiteWorld, id: string, nowMs: number) {
    getFixture(this).registry.applyChanges([{ kind: "put", record: createRecord({ id }) }], nowMs);
});

When("{string} is removed at {int} ms", function(this: SiteWorld, id: string, nowMs: number) {
    getFixture(this).registry.applyChanges([{ kind: "removed", id }], nowMs);
});

When(/^"([^"]+)" is put with (a later|its first) start$/, function(this: SiteWorld, id: string, which: string) {
    const record = createRecord({ id, startedAtMs: which === "a later" ? 2 : 1, slots: 9 });
    getFixture(this).registry.applyChanges([{ kind: "put", record }], 100);
});

When("the entry of {string} becomes {}", function(this: SiteWorld, id: string, entry: string) {
    const decoded = decodeUpstreamRecord({ key: id, offset: 1, value: Buffer.from(entry) });
    assert.ok(decoded.isErr);
    getFixture(this).registry.applyChanges([], 50);
});

Then("the list holds {string} at {int} ms", function(this: SiteWorld, names: string, nowMs: number) {
    const { registry } = getFixture(this);
    registry.removeExpired(nowMs);
    assert.equal(listIds(registry), names);
});

Then("the registry emits a restart of {string}", function(this: SiteWorld, id: string) {
    const { events } = getFixture(this);
    assert.deepEqual(events.map(event => [event.kind, event.record.id]), [["restarted", id]]);
    events.length = 0;
});

Then("the registry emits nothing more", function(this: SiteWorld) {
    assert.deepEqual(getFixture(this).events, []);
});

Then("a configuration is applied only when its version is higher", function() {
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
