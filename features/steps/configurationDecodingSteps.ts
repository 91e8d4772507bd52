/**
 * @module
 * Steps that decode configurations of which a part is malformed.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { decodeConfiguration, type DecodedConfiguration } from "../../platform/decodeConfiguration.js";
import { configuration as platformConfiguration } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface DecodingFixture {
    readonly value: unknown;
    decoded: ReturnType<typeof decodeConfiguration> | undefined;
}

/** A configuration with a customer whose use is limited. */
const configuration = {
    ...platformConfiguration,
    tenants: [...platformConfiguration.tenants, { name: "school", api_keys: ["key-school"], rate_per_s: 40 }],
};

const fixtures = new WeakMap<SiteWorld, DecodingFixture>();

/** A field of the configuration on the wire, and what it was decoded to. */
interface FieldCase {
    readonly path: readonly (string | number)[];
    readonly read: (decoded: DecodedConfiguration) => unknown;
}

const fields: ReadonlyMap<string, FieldCase> = new Map<string, FieldCase>([
    ["attempts of a route", { path: ["routes", 0, "attempts"], read: ({ table }) => table.routes[0]?.attempts }],
    ["target latency of a route", {
        path: ["routes", 0, "target_latency_ms"],
        read: ({ table }) => table.routes[0]?.targetLatencyMs,
    }],
    ["longest pause of a route", {
        path: ["routes", 0, "gap_aim_ms"],
        read: ({ table }) => table.routes[0]?.longestPauseMs,
    }],
    ["timeout of a route", { path: ["routes", 0, "timeout_ms"], read: ({ table }) => table.routes[0]?.timeoutMs }],
    ["priority of a route", { path: ["routes", 0, "priority"], read: ({ table }) => table.routes[0]?.priority }],
    ["kind of a route", { path: ["routes", 0, "kind"], read: ({ table }) => table.routes[0]?.kind }],
    ["shares of a route", {
        path: ["routes", 0, "traffic_split"],
        read: ({ table }) => table.routes[0]?.shares.map(({ service, weight }) => `${service} ${weight}`).join(", "),
    }],
    ["keys of a customer", { path: ["tenants", 0, "api_keys"], read: ({ table }) => table.customers[0]?.keys.join() }],
    ["priority of a customer", { path: ["tenants", 0, "priority"], read: ({ table }) => table.customers[0]?.priority }],
    ["isolation of a customer", {
        path: ["tenants", 0, "isolated"],
        read: ({ table }) => table.customers[0]?.isIsolated,
    }],
    ["quota of a customer", {
        path: ["tenants", 0, "rate_per_s"],
        read: ({ table }) => {
            const quota = table.customers[0]?.quota;
            return quota === undefined ? undefined : `${quota.ratePerSecond} ${quota.unit}`;
        },
    }],
    ["unit of a quota", { path: ["tenants", 1, "unit"], read: ({ table }) => table.customers[1]?.quota?.unit }],
    ["burst of a quota", { path: ["tenants", 1, "burst"], read: ({ table }) => table.customers[1]?.quota?.burst }],
    ["plain tokens of a quota", {
        path: ["tenants", 1, "plain_tokens"],
        read: ({ table }) => table.customers[1]?.quota?.plainTokens,
    }],
    ["readers of an engine", {
        path: ["services", 0, "engine", "max_inflight"],
        read: ({ table }) => table.services[0]?.engine?.maxReaders,
    }],
    ["largest body", { path: ["limits", "max_body_bytes"], read: ({ table }) => table.limits.maxBodyBytes }],
]);

function setField(value: unknown, path: readonly (string | number)[], field: unknown): unknown {
    const [name, ...rest] = path;
    if (name === undefined) {
        return field;
    }
    const children = value as Readonly<Record<string | number, unknown>>;
    const child = setField(children[name], rest, field);
    return Array.isArray(value)
        ? value.map((one, index) => index === name ? child : one)
        : { ...children, [name]: child };
}

function getFixture(world: SiteWorld): DecodingFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function getDecoded(world: SiteWorld): DecodedConfiguration {
    const { decoded } = getFixture(world);
    assert.ok(decoded?.isOk === true, "the configuration is rejected");
    return decoded.value;
}

function setValue(world: SiteWorld, value: unknown): void {
    fixtures.set(world, { value, decoded: undefined });
}

Given(/^a configuration whose (.+) is (.+)$/, function(this: SiteWorld, field: string, value: string) {
    const found = fields.get(field);
    assert.ok(found !== undefined, field);
    setValue(this, setField(configuration, found.path, JSON.parse(value)));
});

const lists: Readonly<Record<string, "routes" | "services" | "tenants">> = {
    route: "routes",
    service: "services",
    customer: "tenants",
};

Given(
    /^a configuration with one more (route|service|customer) that is (.+)$/,
    function(this: SiteWorld, item: string, value: string) {
        const list = lists[item]!;
        setValue(this, { ...configuration, [list]: [...configuration[list], JSON.parse(value)] });
    },
);

Given("a configuration whose customers are all malformed", function(this: SiteWorld) {
    setValue(this, { ...configuration, tenants: [{ api_keys: ["k"] }, "clinic"] });
});

When("it is decoded", function(this: SiteWorld) {
    const fixture = getFixture(this);
    fixture.decoded = decodeConfiguration(Buffer.from(JSON.stringify(fixture.value)));
});

Then(/^its (.+) counts as (.+)$/, function(this: SiteWorld, field: string, expected: string) {
    assert.equal(String(fields.get(field)!.read(getDecoded(this)) ?? "none"), expected);
});

Then(/^a problem is reported: (yes|no)$/, function(this: SiteWorld, isReported: string) {
    assert.equal(getDecoded(this).problems.length > 0, isReported === "yes");
});

Then("it has as many of each item as before", function(this: SiteWorld) {
    const { table } = getDecoded(this);
    assert.deepEqual(
        [table.routes.length, table.services.length, table.customers.length],
        [configuration.routes.length, configuration.services.length, configuration.tenants.length],
    );
});

Then("it is rejected", function(this: SiteWorld) {
    assert.equal(getFixture(this).decoded?.isErr, true);
});
