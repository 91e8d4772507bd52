/**
 * @module
 * Steps that run instances of the router with the platform's adapter against fakes on loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { connect, createServer } from "node:net";
import { request } from "undici";
import { type FakeServer, startFakeServer } from "../../fakes/startFakeServer.js";
import { type FakeStore, startFakeStore } from "../../fakes/startFakeStore.js";
import { createCodec } from "../../platform/createCodec.js";
import { createEngineOrders } from "../../platform/createEngineOrders.js";
import { createPorts } from "../../platform/createPorts.js";
import { createStoreClient } from "../../platform/createStoreClient.js";
import type { RouterSettings } from "../../src/assemble/routerPorts.js";
import type { LogEventName } from "../../src/core/logEvents/logEventTable.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createRouterMetrics } from "../../src/io/metrics/createRouterMetrics.js";
import { type Router, wireRouter } from "../../src/wireRouter.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface RunningInstance {
    readonly settings: RouterSettings;
    readonly router: Router;
}

interface Answer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

interface PlatformFixture {
    readonly store: FakeStore;
    readonly engines: readonly FakeServer[];
    readonly plain: FakeServer;
    readonly instances: RunningInstance[];
    readonly logged: { readonly event: LogEventName; readonly fields: Readonly<Record<string, unknown>>; }[];
    answer: Answer | undefined;
}

const fixtures = new WeakMap<SiteWorld, PlatformFixture>();

/** Upper bound of each wait, in milliseconds; only a failing test reaches it. */
const timeoutMs = 20_000;

/** Time after its start in which an instance reads the addresses of the others, in milliseconds. */
const addressReadsMs = 3_500;

function getFixture(world: SiteWorld): PlatformFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function isFreeForDatagrams(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = createSocket("udp4");
        socket.once("error", () => {
            socket.close();
            resolve(false);
        });
        socket.bind(port, "127.0.0.1", () => socket.close(() => resolve(true)));
    });
}

/** Finds a port that no other process uses for connections or for datagrams. */
async function findFreePort(): Promise<number> {
    for (;;) {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = server.address();
        const port = typeof address === "object" ? address?.port : undefined;
        assert.ok(port !== undefined);
        const isFree = await isFreeForDatagrams(port);
        await new Promise<void>(resolve => server.close(() => resolve()));
        if (isFree) {
            return port;
        }
    }
}

async function waitUntil(what: string, isTrue: () => boolean | Promise<boolean>): Promise<void> {
    const untilMs = Date.now() + timeoutMs;
    while (!await isTrue()) {
        assert.ok(Date.now() < untilMs, what);
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

const configuration = {
    version: 3,
    routes: [
        {
            name: "letters",
            host: "letters.example",
            path_prefix: "/adapt/",
            kind: "stream",
            timeout_ms: 5_000,
            target_latency_ms: 400,
            service: "adapt",
            attempts: 2,
        },
        {
            name: "documents",
            host: "letters.example",
            path_prefix: "/documents/",
            kind: "non_idempotent",
            timeout_ms: 2_000,
            target_latency_ms: 300,
            service: "portal",
        },
    ],
    services: [
        {
            name: "adapt",
            health_path: "/health",
            max_conns: 64,
            engine: { slots: 8, kv_tokens: 100_000, max_inflight: 8, models: [{ name: "easy-read" }] },
        },
        { name: "portal", health_path: "/health", max_conns: 64 },
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 20_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "clinic", api_keys: ["key-clinic"], isolated: true }],
};

async function startInstance(
    world: SiteWorld,
    fixture: PlatformFixture,
    contacts = fixture.instances.slice(0, 1).map(one => `127.0.0.1:${one.settings.heartbeatPort}`),
): Promise<void> {
    const [caller, ready, directory, peer, heartbeat, metrics] = await Promise.all(
        Array.from({ length: 6 }, findFreePort),
    );
    const settings: RouterSettings = {
        instance: `entry-${fixture.instances.length + 1}`,
        failureDomain: `domain-${fixture.instances.length + 1}`,
        host: "127.0.0.1",
        callerAddress: `127.0.0.1:${caller}`,
        readinessAddress: `127.0.0.1:${ready}`,
        directoryAddress: `127.0.0.1:${directory}`,
        peerAddress: `127.0.0.1:${peer}`,
        heartbeatPort: heartbeat!,
        metricsAddress: `127.0.0.1:${metrics}`,
        contacts,
        graceMs: 900,
        drainMs: 1_000,
        leaseSeparationMs: 3_000,
        weightsLimitMs: 8_000,
        retryRatio: 0.2,
        retrySlack: 50,
        retryWindowMs: 10_000,
        maxEntryTtlMs: 5_000,
    };
    const store = createStoreClient(fixture.store.address);
    const router = wireRouter({
        settings,
        ports: createPorts(store, createCodec(), createEngineOrders()),
        clock: createSystemClock(),
        random: Math.random,
        writeLog: (event, fields) => {
            fixture.logged.push({ event, fields: fields ?? {} });
        },
        metrics: createRouterMetrics(),
        listDropped: () => new Map(),
    });
    fixture.instances.push({ settings, router });
    world.cleanups.unshift(async () => {
        await router.drain();
        store.close();
    });
}

async function isReady(instance: RunningInstance): Promise<boolean> {
    const res = await request(`http://${instance.settings.readinessAddress}/reedward/readiness`, { reset: true });
    await res.body.dump();
    return res.statusCode === 200;
}

async function listEntries(instance: RunningInstance): Promise<readonly string[]> {
    const url = `http://${instance.settings.directoryAddress}/reedward/resolve?name=letters.example&zone=north`;
    const res = await request(url, { reset: true });
    const body = await res.body.json() as { readonly addrs?: readonly string[]; };
    return body.addrs ?? [];
}

Given(
    "a store with a configuration, two engines, a plain server and two instances on them",
    async function(this: SiteWorld) {
        const store = await startFakeStore();
        const engines = [await startFakeServer("i-1", "adapt"), await startFakeServer("i-2", "adapt")];
        const plain = await startFakeServer("i-3", "portal");
        const fixture: PlatformFixture = { store, engines, plain, instances: [], logged: [], answer: undefined };
        fixtures.set(this, fixture);
        this.cleanups.push(() => store.stop(), ...[...engines, plain].map(server => () => server.stop()));
        store.put("keyed.op", "config", configuration);
        [...engines, plain].forEach(server => store.put("keyed.servers", server.id, server.entry()));
        await startInstance(this, fixture);
        await startInstance(this, fixture);
        for (const instance of fixture.instances) {
            await waitUntil(
                "both instances have discovered each other",
                async () => await isReady(instance) && (await listEntries(instance)).length === 2,
            );
        }
    },
);

const streamHeaders = {
    host: "letters.example",
    "attempt-id": "attempt-1",
    authorization: "Bearer key-clinic",
    model: "easy-read",
    "token-count": "1460,80",
    "prompt-prefix": "aa:800,bb:660",
    "time-budget": "4000",
};

interface CallOptions {
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string | undefined>>;
    readonly body?: string;
}

async function call(fixture: PlatformFixture, index: number, options: CallOptions = {}): Promise<Answer> {
    const address = fixture.instances[index]!.settings.callerAddress;
    const given = Object.entries({ ...streamHeaders, ...options.headers }).filter(([, value]) => value !== undefined);
    const res = await request(`http://${address}${options.path ?? "/adapt/7?x=1"}`, {
        method: "POST",
        headers: Object.fromEntries(given) as Record<string, string>,
        body: options.body ?? "letter",
        reset: true,
    });
    const answer = { status: res.statusCode, headers: res.headers, text: await res.body.text() };
    fixture.answer = answer;
    return answer;
}

const plainCall: CallOptions = {
    path: "/documents/1",
    headers: { model: undefined, "token-count": undefined, "prompt-prefix": undefined },
};

const names = ["first", "second", "third"];

When("a caller requests the entry list from the first instance", () => undefined);

Then("both instances are listed", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    const expected = fixture.instances.map(instance => instance.settings.callerAddress).toSorted();
    assert.deepEqual((await listEntries(fixture.instances[0]!)).toSorted(), expected);
});

When("a caller streams a request through the {word} instance", async function(this: SiteWorld, name: string) {
    await call(getFixture(this), names.indexOf(name));
});

Then("it gets both events and the engine's seal", function(this: SiteWorld) {
    const { answer } = getFixture(this);
    assert.equal(answer?.text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert.match(String(answer?.headers["server-seal"]), /^seal-i-[12]$/);
});

Then("the engine got the customer, its own id, the version and a salt, and no key", function(this: SiteWorld) {
    const engine = getFixture(this).engines.find(one => one.runs.length > 0);
    const run = engine?.runs[0];
    assert.equal(run?.["tenant"], "clinic");
    assert.equal(run?.["expect-instance"], engine?.id);
    assert.equal(run?.["expect-version"], "1");
    assert.equal(run?.["cache-salt"], "easy-read/1/only/clinic");
    assert.equal(run?.["authorization"], undefined);
    assert.ok(Number(run?.["time-budget"]) <= 4_000);
});

When("a caller sends a plain call through the first instance", async function(this: SiteWorld) {
    await call(getFixture(this), 0, plainCall);
});

Then("it gets the plain server's answer", function(this: SiteWorld) {
    assert.equal(getFixture(this).answer?.text, "answer of i-3");
});

function sendRaw(address: string, text: string): Promise<number> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        let answer = "";
        const socket = connect(Number(port), host, () => socket.write(text));
        socket.on("data", bytes => {
            answer += bytes.toString();
        });
        socket.on("close", () => resolve(Number(/^HTTP\/1.1 (\d+)/.exec(answer)?.[1] ?? 0)));
    });
}

const attempts: ReadonlyMap<string, (fixture: PlatformFixture) => Promise<number>> = new Map<
    string,
    (fixture: PlatformFixture) => Promise<number>
>([
    [
        "a request without a key",
        async fixture => (await call(fixture, 0, { headers: { authorization: undefined } })).status,
    ],
    [
        "a request with an unknown key",
        async fixture => (await call(fixture, 0, { headers: { authorization: "Bearer other" } })).status,
    ],
    ["a request to an unknown path", async fixture => (await call(fixture, 0, { path: "/letters/" })).status],
    [
        "a request with a body that is too large",
        async fixture => (await call(fixture, 0, { body: "x".repeat(30_000) })).status,
    ],
    ["a request with a length and an encoding", fixture => {
        const lines = ["POST /adapt/7 HTTP/1.1", "Host: letters.example", "Attempt-Id: a", "Content-Length: 4"];
        const text = [...lines, "Transfer-Encoding: chunked", "", "0", "", "GET /adapt/8 HTTP/1.1", "", ""].join(
            "\r\n",
        );
        return sendRaw(fixture.instances[0]!.settings.callerAddress, text);
    }],
    ["a request that sets the system's headers", async fixture => {
        const headers = {
            tenant: "other",
            "cache-salt": "own",
            "expect-instance": "i-9",
            "hold": "h-1",
            "kv-from": "x",
        };
        const { status } = await call(fixture, 0, { headers });
        const run = fixture.engines.flatMap(engine => engine.runs).at(-1);
        assert.deepEqual([run?.["tenant"], run?.["hold"], run?.["kv-from"]], ["clinic", undefined, undefined]);
        return status;
    }],
]);

let status: number | undefined;

When(/^a caller sends (a request .*)$/, async function(this: SiteWorld, name: string) {
    const attempt = attempts.get(name);
    assert.ok(attempt !== undefined, name);
    status = await attempt(getFixture(this));
});

Then("it is answered {int}", function(expected: number) {
    assert.equal(status, expected);
});

Then(
    "the log records that the request was refused as {string}",
    function(this: SiteWorld, kind: string) {
        const refusals = getFixture(this).logged.filter(line => line.event === "requestRefused");
        assert.deepEqual(refusals.map(line => [line.fields["requestId"], line.fields["kind"]]), [[
            streamHeaders["attempt-id"],
            kind,
        ]]);
    },
);

When("the operator sets the target version to {int}", function(this: SiteWorld, version: number) {
    getFixture(this).store.put("keyed.op", "version/easy-read", { model: "easy-read", version });
});

Then(
    "both engines load version {int} on one order each from the same holder",
    async function(this: SiteWorld, version: number) {
        const { engines } = getFixture(this);
        await waitUntil("both engines have the version", () => engines.every(engine => engine.version() === version));
        const orders = engines.flatMap(engine => engine.orders);
        assert.equal(orders.length, engines.length);
        assert.equal(new Set(orders.map(order => order.holder)).size, 1);
    },
);

Then("both engines have version {int}", async function(this: SiteWorld, version: number) {
    const { engines } = getFixture(this);
    await waitUntil("both engines have the version", () => engines.every(engine => engine.version() === version));
});

When("the store comes back without the claims of the rollout lease", function(this: SiteWorld) {
    const { store } = getFixture(this);
    store.returnFromCopy(topic => topic === "reedward-rollout-lease" ? store.countRecords(topic) : 0);
});

Then("each order carries a higher fencing number than the orders of earlier claims", function(this: SiteWorld) {
    for (const { orders } of getFixture(this).engines) {
        assert.deepEqual(orders.map(order => order.version), [2, 3]);
        assert.ok(orders[1]!.fence > orders[0]!.fence, JSON.stringify(orders));
    }
});

When("the operator publishes configuration {int}", function(this: SiteWorld, version: number) {
    getFixture(this).store.put("keyed.op", "config", { ...configuration, version });
});

When(
    "the store comes back without the last record of the operator",
    function(this: SiteWorld) {
        getFixture(this).store.returnFromCopy(topic => topic === "keyed.op" ? 1 : 0);
    },
);

When("the operator publishes configuration {int} at once", function(this: SiteWorld, version: number) {
    getFixture(this).store.put("keyed.op", "config", { ...configuration, version });
});

Then("both instances have configuration {int}", async function(this: SiteWorld, version: number) {
    const { logged } = getFixture(this);
    const count = () =>
        logged.filter(({ event, fields }) => event === "configurationInForce" && fields["version"] === version).length;
    await waitUntil("both instances have the configuration", () => count() === 2);
});

Given("the instances read the addresses of the others for the last time", async () => {
    await new Promise(resolve => setTimeout(resolve, addressReadsMs));
});

When("the store comes back without the addresses of the instances", function(this: SiteWorld) {
    const { store } = getFixture(this);
    store.returnFromCopy(topic => topic === "keyed.reedward-instances" ? store.countRecords(topic) : 0);
});

When("a third instance starts that knows only the store", async function(this: SiteWorld) {
    await startInstance(this, getFixture(this), []);
});

Then("the third instance lists all three", async function(this: SiteWorld) {
    const third = getFixture(this).instances[2]!;
    await waitUntil("all three are listed", async () => (await listEntries(third)).length === 3);
});

Then("the orders let the engines continue their running requests", function(this: SiteWorld) {
    const orders = getFixture(this).engines.flatMap(engine => engine.orders);
    assert.deepEqual(new Set(orders.map(order => order.switchMode)), new Set(["retain"]));
});

Then("the engine receives requests for version {int}", async function(this: SiteWorld, version: number) {
    const fixture = getFixture(this);
    const newest = () => fixture.engines.flatMap(engine => engine.runs).at(-1)?.["expect-version"];
    await waitUntil("requests ask for the new version", async () => {
        await call(fixture, 1);
        return newest() === String(version);
    });
});

When("both engines load version {int} on orders of another holder", async function(this: SiteWorld, version: number) {
    for (const engine of getFixture(this).engines) {
        const res = await request(`http://${engine.address}/reedward/order`, {
            method: "POST",
            body: JSON.stringify({ op: "version", model: "easy-read", version, fence: 99, holder: "other", expect: 0 }),
            reset: true,
        });
        await res.body.dump();
    }
});

Then("a caller's stream is eventually served with version {int}", async function(this: SiteWorld, version: number) {
    const fixture = getFixture(this);
    await waitUntil(
        "the instance learns the version from the engines",
        async () => (await call(fixture, 0)).status === 200,
    );
    assert.equal(fixture.engines.flatMap(engine => engine.runs).at(-1)?.["expect-version"], String(version));
});

When("the plain server reports that it is draining", function(this: SiteWorld) {
    const { store, plain } = getFixture(this);
    store.put("keyed.servers", plain.id, plain.entry("draining"));
});

Then("a plain call is refused as not run within a second", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    await waitUntil(
        "the plain server is out of service",
        async () => (await call(fixture, 0, plainCall)).status === 503,
    );
    assert.match(fixture.answer?.text ?? "", /"outcome":"notRun"/);
    assert.ok(Number(fixture.answer?.headers["retry-after"]) > 0);
});

When("the store becomes unavailable", function(this: SiteWorld) {
    getFixture(this).store.setDown(true);
});

When("a third instance starts", async function(this: SiteWorld) {
    await startInstance(this, getFixture(this));
});

Then("the third instance is ready", async function(this: SiteWorld) {
    const instance = getFixture(this).instances[2]!;
    await waitUntil("the third instance has loaded its peer's state", () => isReady(instance));
});

When("the first instance starts to drain", function(this: SiteWorld) {
    void getFixture(this).instances[0]!.router.drain();
});

Then("the second instance lists only itself", async function(this: SiteWorld) {
    const { instances } = getFixture(this);
    const own = instances[1]!.settings.callerAddress;
    await waitUntil("the draining instance is off the entry list", async () => {
        const entries = await listEntries(instances[1]!);
        return entries.length === 1 && entries[0] === own;
    });
});

Then("the first instance still serves and closes the connection", async function(this: SiteWorld) {
    const answer = await call(getFixture(this), 0);
    assert.equal(answer.status, 200);
    assert.equal(answer.headers["connection"], "close");
});
