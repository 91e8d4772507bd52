/**
 * @module
 * Steps that run instances of the router with the platform's adapter against stand-ins on loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
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

interface PlatformScene {
    readonly store: FakeStore;
    readonly engines: readonly FakeServer[];
    readonly plain: FakeServer;
    readonly instances: RunningInstance[];
    readonly logged: { readonly event: LogEventName; readonly fields: Readonly<Record<string, unknown>>; }[];
    answer: Answer | undefined;
}

const scenes = new WeakMap<SiteWorld, PlatformScene>();

/** Time limit of what is waited for, in milliseconds; only a failure takes so long. */
const patienceMs = 20_000;

function sceneOf(world: SiteWorld): PlatformScene {
    const scene = scenes.get(world);
    assert.ok(scene !== undefined);
    return scene;
}

function findFreePort(): Promise<number> {
    return new Promise(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            const port = typeof address === "object" ? address?.port : undefined;
            assert.ok(port !== undefined);
            server.close(() => resolve(port));
        });
    });
}

async function waitUntil(what: string, isTrue: () => boolean | Promise<boolean>): Promise<void> {
    const untilMs = Date.now() + patienceMs;
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

async function startInstance(world: SiteWorld, scene: PlatformScene): Promise<void> {
    const [caller, ready, directory, peer, heartbeat, metrics] = await Promise.all(
        Array.from({ length: 6 }, findFreePort),
    );
    const settings: RouterSettings = {
        instance: `entry-${scene.instances.length + 1}`,
        failureDomain: `domain-${scene.instances.length + 1}`,
        host: "127.0.0.1",
        callerAddress: `127.0.0.1:${caller}`,
        readinessAddress: `127.0.0.1:${ready}`,
        directoryAddress: `127.0.0.1:${directory}`,
        peerAddress: `127.0.0.1:${peer}`,
        heartbeatPort: heartbeat!,
        metricsAddress: `127.0.0.1:${metrics}`,
        contacts: scene.instances.slice(0, 1).map(one => `127.0.0.1:${one.settings.heartbeatPort}`),
        graceMs: 900,
        drainMs: 1_000,
        leaseSeparationMs: 3_000,
        weightsLimitMs: 8_000,
        retryRatio: 0.2,
        retrySlack: 50,
        retryWindowMs: 10_000,
        maxEntryTtlMs: 5_000,
    };
    const store = createStoreClient(scene.store.address);
    const router = wireRouter({
        settings,
        ports: createPorts(store, createCodec(), createEngineOrders()),
        clock: createSystemClock(),
        random: Math.random,
        writeLog: (event, fields) => {
            scene.logged.push({ event, fields: fields ?? {} });
        },
        metrics: createRouterMetrics(),
        listDropped: () => new Map(),
    });
    scene.instances.push({ settings, router });
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
        const scene: PlatformScene = { store, engines, plain, instances: [], logged: [], answer: undefined };
        scenes.set(this, scene);
        this.cleanups.push(() => store.stop(), ...[...engines, plain].map(server => () => server.stop()));
        store.put("keyed.op", "config", configuration);
        [...engines, plain].forEach(server => store.put("keyed.servers", server.id, server.entry()));
        await startInstance(this, scene);
        await startInstance(this, scene);
        for (const instance of scene.instances) {
            await waitUntil(
                "both instances know each other",
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

async function call(scene: PlatformScene, index: number, options: CallOptions = {}): Promise<Answer> {
    const address = scene.instances[index]!.settings.callerAddress;
    const given = Object.entries({ ...streamHeaders, ...options.headers }).filter(([, value]) => value !== undefined);
    const res = await request(`http://${address}${options.path ?? "/adapt/7?x=1"}`, {
        method: "POST",
        headers: Object.fromEntries(given) as Record<string, string>,
        body: options.body ?? "letter",
        reset: true,
    });
    const answer = { status: res.statusCode, headers: res.headers, text: await res.body.text() };
    scene.answer = answer;
    return answer;
}

const plainCall: CallOptions = {
    path: "/documents/1",
    headers: { model: undefined, "token-count": undefined, "prompt-prefix": undefined },
};

const names = ["first", "second", "third"];

When("a caller asks the first instance for the entries", () => undefined);

Then("both instances are named", async function(this: SiteWorld) {
    const scene = sceneOf(this);
    const expected = scene.instances.map(instance => instance.settings.callerAddress).toSorted();
    assert.deepEqual((await listEntries(scene.instances[0]!)).toSorted(), expected);
});

When("a caller streams a request through the {word} instance", async function(this: SiteWorld, name: string) {
    await call(sceneOf(this), names.indexOf(name));
});

Then("it gets both events and the engine's seal", function(this: SiteWorld) {
    const { answer } = sceneOf(this);
    assert.equal(answer?.text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert.match(String(answer?.headers["server-seal"]), /^seal-i-[12]$/);
});

Then("the engine got the customer, its own id, the version and a salt, and no key", function(this: SiteWorld) {
    const engine = sceneOf(this).engines.find(one => one.runs.length > 0);
    const run = engine?.runs[0];
    assert.equal(run?.["tenant"], "clinic");
    assert.equal(run?.["expect-instance"], engine?.id);
    assert.equal(run?.["expect-version"], "1");
    assert.equal(run?.["cache-salt"], "easy-read/1/only/clinic");
    assert.equal(run?.["authorization"], undefined);
    assert.ok(Number(run?.["time-budget"]) <= 4_000);
});

When("a caller sends a plain call through the first instance", async function(this: SiteWorld) {
    await call(sceneOf(this), 0, plainCall);
});

Then("it gets the plain server's answer", function(this: SiteWorld) {
    assert.equal(sceneOf(this).answer?.text, "answer of i-3");
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

const attempts: ReadonlyMap<string, (scene: PlatformScene) => Promise<number>> = new Map<
    string,
    (scene: PlatformScene) => Promise<number>
>([
    [
        "a request without a key",
        async scene => (await call(scene, 0, { headers: { authorization: undefined } })).status,
    ],
    [
        "a request with an unknown key",
        async scene => (await call(scene, 0, { headers: { authorization: "Bearer other" } })).status,
    ],
    ["a request to an unknown path", async scene => (await call(scene, 0, { path: "/letters/" })).status],
    [
        "a request with a body that is too large",
        async scene => (await call(scene, 0, { body: "x".repeat(30_000) })).status,
    ],
    ["a request with a length and an encoding", scene => {
        const lines = ["POST /adapt/7 HTTP/1.1", "Host: letters.example", "Attempt-Id: a", "Content-Length: 4"];
        const text = [...lines, "Transfer-Encoding: chunked", "", "0", "", "GET /adapt/8 HTTP/1.1", "", ""].join(
            "\r\n",
        );
        return sendRaw(scene.instances[0]!.settings.callerAddress, text);
    }],
    ["a request that sets the system's headers", async scene => {
        const headers = {
            tenant: "other",
            "cache-salt": "own",
            "expect-instance": "i-9",
            "hold": "h-1",
            "kv-from": "x",
        };
        const { status } = await call(scene, 0, { headers });
        const run = scene.engines.flatMap(engine => engine.runs).at(-1);
        assert.deepEqual([run?.["tenant"], run?.["hold"], run?.["kv-from"]], ["clinic", undefined, undefined]);
        return status;
    }],
]);

let status: number | undefined;

When(/^a caller sends (a request .*)$/, async function(this: SiteWorld, name: string) {
    const attempt = attempts.get(name);
    assert.ok(attempt !== undefined, name);
    status = await attempt(sceneOf(this));
});

Then("it is answered {int}", function(expected: number) {
    assert.equal(status, expected);
});

Then(
    "the log says for the request that it was refused as {string}",
    function(this: SiteWorld, kind: string) {
        const refusals = sceneOf(this).logged.filter(line => line.event === "requestRefused");
        assert.deepEqual(refusals.map(line => [line.fields["requestId"], line.fields["kind"]]), [[
            streamHeaders["attempt-id"],
            kind,
        ]]);
    },
);

When("the operator names version {int}", function(this: SiteWorld, version: number) {
    sceneOf(this).store.put("keyed.op", "version/easy-read", { model: "easy-read", version });
});

Then(
    "both engines have version {int} by orders of one holder with one order each",
    async function(this: SiteWorld, version: number) {
        const { engines } = sceneOf(this);
        await waitUntil("both engines have the version", () => engines.every(engine => engine.version() === version));
        const orders = engines.flatMap(engine => engine.orders);
        assert.equal(orders.length, engines.length);
        assert.equal(new Set(orders.map(order => order.holder)).size, 1);
    },
);

Then("the engine was asked for version {int}", async function(this: SiteWorld, version: number) {
    const scene = sceneOf(this);
    const newest = () => scene.engines.flatMap(engine => engine.runs).at(-1)?.["expect-version"];
    await waitUntil("requests follow the weights", async () => {
        await call(scene, 1);
        return newest() === String(version);
    });
});

When("both engines take version {int} by orders of somebody else", async function(this: SiteWorld, version: number) {
    for (const engine of sceneOf(this).engines) {
        const res = await request(`http://${engine.address}/reedward/order`, {
            method: "POST",
            body: JSON.stringify({ op: "version", model: "easy-read", version, fence: 99, holder: "other", expect: 0 }),
            reset: true,
        });
        await res.body.dump();
    }
});

Then("a caller's stream is served with version {int} in the end", async function(this: SiteWorld, version: number) {
    const scene = sceneOf(this);
    await waitUntil("the weights are learned", async () => (await call(scene, 0)).status === 200);
    assert.equal(scene.engines.flatMap(engine => engine.runs).at(-1)?.["expect-version"], String(version));
});

When("the plain server says that it drains", function(this: SiteWorld) {
    const { store, plain } = sceneOf(this);
    store.put("keyed.servers", plain.id, plain.entry("draining"));
});

Then("a plain call is refused as not run within a second", async function(this: SiteWorld) {
    const scene = sceneOf(this);
    await waitUntil("the plain server is out of service", async () => (await call(scene, 0, plainCall)).status === 503);
    assert.match(scene.answer?.text ?? "", /"outcome":"notRun"/);
    assert.ok(Number(scene.answer?.headers["retry-after"]) > 0);
});

When("the store goes away", function(this: SiteWorld) {
    sceneOf(this).store.setDown(true);
});

When("a third instance starts", async function(this: SiteWorld) {
    await startInstance(this, sceneOf(this));
});

Then("the third instance is ready", async function(this: SiteWorld) {
    const instance = sceneOf(this).instances[2]!;
    await waitUntil("the third instance has taken its peer's state", () => isReady(instance));
});

When("the first instance is told to leave", function(this: SiteWorld) {
    void sceneOf(this).instances[0]!.router.drain();
});

Then("the second instance names only itself", async function(this: SiteWorld) {
    const { instances } = sceneOf(this);
    const own = instances[1]!.settings.callerAddress;
    await waitUntil("the leaving instance is off the list", async () => {
        const entries = await listEntries(instances[1]!);
        return entries.length === 1 && entries[0] === own;
    });
});

Then("the first instance still serves and closes the connection", async function(this: SiteWorld) {
    const answer = await call(sceneOf(this), 0);
    assert.equal(answer.status, 200);
    assert.equal(answer.headers["connection"], "close");
});
