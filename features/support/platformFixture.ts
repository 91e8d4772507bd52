/**
 * @module
 * Instances of the router with the platform's adapter, against fakes on loopback.
 */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { request } from "undici";
import type { FakeServer } from "../../fakes/startFakeServer.js";
import type { FakeStore } from "../../fakes/startFakeStore.js";
import { createCodec } from "../../platform/createCodec.js";
import { createEngineOrders } from "../../platform/createEngineOrders.js";
import { createPorts } from "../../platform/createPorts.js";
import { createStoreClient } from "../../platform/createStoreClient.js";
import type { RouterSettings } from "../../src/assemble/routerPorts.js";
import type { LogEventName } from "../../src/core/logEvents/logEventTable.js";
import { createStoreEra } from "../../src/core/store/createStoreEra.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createRouterMetrics, type RouterMetrics } from "../../src/io/metrics/createRouterMetrics.js";
import { type Router, wireRouter } from "../../src/wireRouter.js";
import type { SiteWorld } from "./siteWorld.js";

/** An instance that runs in the test's process. */
export interface RunningInstance {
    readonly settings: RouterSettings;
    readonly router: Router;
    readonly metrics: RouterMetrics;
}

/** An answer that a caller received. */
export interface Answer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

/** Fakes of the platform, and the instances on them. */
export interface PlatformFixture {
    readonly store: FakeStore;
    readonly engines: readonly FakeServer[];
    readonly plain: FakeServer;
    readonly instances: RunningInstance[];
    readonly logged: { readonly event: LogEventName; readonly fields: Readonly<Record<string, unknown>>; }[];
    answer: Answer | undefined;
}

/** Fixtures by scenario. */
export const fixtures = new WeakMap<SiteWorld, PlatformFixture>();

/** Upper bound of each wait, in milliseconds; only a failing test reaches it. */
const timeoutMs = 20_000;

/** Returns the fixture of a scenario. */
export function getFixture(world: SiteWorld): PlatformFixture {
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

/** Waits until a condition holds. */
export async function waitUntil(what: string, isTrue: () => boolean | Promise<boolean>): Promise<void> {
    const untilMs = Date.now() + timeoutMs;
    while (!await isTrue()) {
        assert.ok(Date.now() < untilMs, what);
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

/** The configuration that the operator publishes first. */
export const configuration = {
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

/** Creates the settings of an instance that listens nowhere. */
export function createSettings(instance: string): RouterSettings {
    return {
        instance,
        failureDomain: "domain",
        host: "127.0.0.1",
        callerAddress: "127.0.0.1:0",
        readinessAddress: "127.0.0.1:0",
        directoryAddress: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        heartbeatPort: 0,
        metricsAddress: "127.0.0.1:0",
        contacts: [],
        memoryBytes: 200 * 1_048_576,
        maxDescriptors: 4_100,
        graceMs: 900,
        drainMs: 1_000,
        configMs: 1_000,
        reconnectLimitMs: 3_000,
        leaseSeparationMs: 3_000,
        weightsLimitMs: 8_000,
        allWeightsLimitMs: 11_000,
        retryRatio: 0.2,
        retrySlack: 50,
        retryWindowMs: 10_000,
        maxEntryTtlMs: 5_000,
        quotaBounds: { windowMs: 8_000, overshootRatio: 0.1, slack: 0 },
    };
}

/** Starts one more instance, which stops at the end of the scenario. */
export async function startInstance(
    world: SiteWorld,
    fixture: PlatformFixture,
    contacts = fixture.instances.slice(0, 1).map(one => `127.0.0.1:${one.settings.heartbeatPort}`),
): Promise<void> {
    const [caller, ready, directory, peer, heartbeat, metricsPort] = await Promise.all(
        Array.from({ length: 6 }, findFreePort),
    );
    const index = fixture.instances.length + 1;
    const settings: RouterSettings = {
        ...createSettings(`entry-${index}`),
        failureDomain: `domain-${index}`,
        callerAddress: `127.0.0.1:${caller}`,
        readinessAddress: `127.0.0.1:${ready}`,
        directoryAddress: `127.0.0.1:${directory}`,
        peerAddress: `127.0.0.1:${peer}`,
        heartbeatPort: heartbeat!,
        metricsAddress: `127.0.0.1:${metricsPort}`,
        contacts,
    };
    const storeEra = createStoreEra();
    const store = createStoreClient(fixture.store.address, storeEra.accept);
    const clock = createSystemClock();
    const metrics = createRouterMetrics();
    const router = wireRouter({
        settings,
        ports: createPorts(store, storeEra, createCodec(), createEngineOrders()),
        clock,
        startedMs: clock.now(),
        random: Math.random,
        writeLog: (event, fields) => {
            fixture.logged.push({ event, fields: fields ?? {} });
        },
        metrics,
        listDropped: () => new Map(),
        collectGarbage: () => undefined,
    });
    fixture.instances.push({ settings, router, metrics });
    world.cleanups.unshift(async () => {
        await router.drain();
        store.close();
    });
}

/** Returns whether an instance reports that it is ready. */
export async function isReady(instance: RunningInstance): Promise<boolean> {
    const res = await request(`http://${instance.settings.readinessAddress}/reedward/readiness`, { reset: true });
    await res.body.dump();
    return res.statusCode === 200;
}

/** Returns the entries that an instance lists for callers. */
export async function listEntries(instance: RunningInstance): Promise<readonly string[]> {
    const url = `http://${instance.settings.directoryAddress}/reedward/resolve?name=letters.example&zone=north`;
    const res = await request(url, { reset: true });
    const body = await res.body.json() as { readonly addrs?: readonly string[]; };
    return body.addrs ?? [];
}
/** Headers of a caller's stream. */
export const streamHeaders = {
    host: "letters.example",
    "attempt-id": "attempt-1",
    authorization: "Bearer key-clinic",
    model: "easy-read",
    "token-count": "1460,80",
    "prompt-prefix": "aa:800,bb:660",
    "time-budget": "4000",
};

/** What differs from a caller's stream. */
export interface CallOptions {
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string | undefined>>;
    readonly body?: string;
}

/** Sends a call to an instance, given by its index. */
export async function call(fixture: PlatformFixture, index: number, options: CallOptions = {}): Promise<Answer> {
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

/** A call of the plain service. */
export const plainCall: CallOptions = {
    path: "/documents/1",
    headers: { model: undefined, "token-count": undefined, "prompt-prefix": undefined },
};
