/**
 * @module
 * Steps on the ends of requests, over real sockets: what callers do, and what an instance tells of it.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { createPlainPlacement, createProxyRequest, createRecord } from "../../bench/support/proxyFixtures.js";
import { startFakeServer } from "../../fakes/startFakeServer.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { describeSend } from "../../src/io/proxy/describeSend.js";
import {
    configuration,
    fixtures,
    getFixture,
    isReady,
    type PlatformFixture,
    startInstance,
    streamHeaders,
    waitUntil,
} from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

const bodyText = "letter";
const longAnswerBytes = 8 * 1_048_576;

/** What an upstream has received. */
interface ArrivedRequests {
    count: number;
    /** Answer the requests that are held back. */
    readonly releases: (() => void)[];
}

const arrivedRequests = new WeakMap<SiteWorld, ArrivedRequests>();

/** What callers have received, by scenario. */
const receivedTexts = new WeakMap<SiteWorld, string>();

function createHoldingUpstream(arrived: ArrivedRequests): Server {
    return createServer((req, res) => {
        req.resume();
        arrived.count += 1;
        const answer = () => {
            res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "server-seal": "seal" });
            res.end(req.url === "/documents/long" ? Buffer.alloc(longAnswerBytes) : "short");
        };
        if (req.url === "/documents/held") {
            arrived.releases.push(answer);
            return;
        }
        answer();
    });
}

Given(
    "an instance before an upstream that holds back its answers to some requests",
    async function(this: SiteWorld) {
        const store = await startFakeStore();
        const plain = await startFakeServer("i-3", "portal");
        const arrived: ArrivedRequests = { count: 0, releases: [] };
        const upstream = createHoldingUpstream(arrived).listen(0, "127.0.0.1");
        await once(upstream, "listening");
        this.cleanups.push(() => store.stop(), () => plain.stop(), () => {
            upstream.closeAllConnections();
            upstream.close();
        });
        const fixture: PlatformFixture = {
            store,
            engines: [],
            plain,
            instances: [],
            logged: [],
            answer: undefined,
        };
        const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
        store.put("keyed.op", "config", configuration);
        store.put("keyed.servers", plain.id, { ...plain.entry() as object, address });
        await startInstance(this, fixture);
        fixtures.set(this, fixture);
        arrivedRequests.set(this, arrived);
        await waitUntil("the instance is ready", () => isReady(fixture.instances[0]!));
    },
);

function formatRequest(path: string, id: string): string {
    const { host, authorization } = streamHeaders;
    const head = [
        `POST ${path} HTTP/1.1`,
        `host: ${host}`,
        `authorization: ${authorization}`,
        `attempt-id: ${id}`,
        `content-length: ${bodyText.length}`,
    ];
    return `${head.join("\r\n")}\r\n\r\n${bodyText}`;
}

async function openConnection(world: SiteWorld): Promise<Socket> {
    const [host, port] = getFixture(world).instances[0]!.settings.callerAddress.split(":");
    const socket = connect(Number(port), host);
    world.cleanups.push(() => void socket.destroy());
    socket.on("error", () => undefined);
    await once(socket, "connect");
    return socket;
}

async function waitForUpstream(world: SiteWorld): Promise<void> {
    await waitUntil("an upstream has the request", () => arrivedRequests.get(world)!.count > 0);
}

type Act = (socket: Socket, world: SiteWorld) => Promise<void> | void;

async function readWhole(socket: Socket, path: string): Promise<void> {
    socket.write(formatRequest(path, "attempt-1"));
    await once(socket, "data");
}

/** What a caller does. */
const acts: ReadonlyMap<string, Act> = new Map<string, Act>([
    ["reads its answer", socket => readWhole(socket, "/documents/1")],
    ["sends a request to an unknown path", socket => readWhole(socket, "/unknown")],
    ["closes its connection with the last byte of its request", socket => {
        socket.end(formatRequest("/documents/held", "attempt-1"));
    }],
    ["closes its connection while an upstream has its request", async (socket, world) => {
        socket.write(formatRequest("/documents/held", "attempt-1"));
        await waitForUpstream(world);
        socket.end();
    }],
    ["closes its connection within its body", socket => {
        socket.end(formatRequest("/documents/held", "attempt-1").slice(0, -1));
    }],
    ["sends two requests at once and closes its connection", async (socket, world) => {
        const texts = ["attempt-1", "attempt-2"].map(id => formatRequest("/documents/held", id));
        socket.write(texts.join(""));
        await waitForUpstream(world);
        socket.end();
    }],
    ["closes its connection within a second request", async (socket, world) => {
        socket.write(formatRequest("/documents/held", "attempt-1"));
        await waitForUpstream(world);
        socket.end("POST /documents/held HTTP/1.1\r\nhost");
    }],
    ["resets its connection before it has read a long answer", async socket => {
        await readWhole(socket, "/documents/long");
        socket.pause();
        socket.resetAndDestroy();
    }],
    ["sends a request, and bytes that are no request behind it", async (socket, world) => {
        let text = "";
        const closed = once(socket, "close");
        socket.on("data", (chunk: Buffer) => {
            text += chunk.toString();
        });
        socket.write(formatRequest("/documents/held", "attempt-1"));
        await waitForUpstream(world);
        socket.write("no request\r\n\r\n");
        const { logged } = getFixture(world);
        await waitUntil("the bytes are read", () => logged.some(line => line.event === "clientError"));
        arrivedRequests.get(world)!.releases.forEach(release => release());
        await closed;
        receivedTexts.set(world, text);
    }],
    ["has a request at an upstream when the instance stops", async (socket, world) => {
        socket.write(formatRequest("/documents/held", "attempt-1"));
        await waitForUpstream(world);
        void getFixture(world).instances[0]!.router.drain();
    }],
    ["has sent half of its body when the instance stops", (socket, world) => {
        socket.write(formatRequest("/documents/held", "attempt-1").slice(0, -1));
        socket.resume();
        void getFixture(world).instances[0]!.router.drain();
    }],
]);

When(
    /^the caller of an instance ((?:reads|sends|closes|resets|has) .*)$/,
    async function(this: SiteWorld, name: string) {
        const act = acts.get(name);
        assert.ok(act !== undefined, name);
        await act(await openConnection(this), this);
    },
);

Then("its connection has one answer, of status {int}", function(this: SiteWorld, status: number) {
    const statuses = [...receivedTexts.get(this)!.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, found]) => Number(found));
    assert.deepEqual(statuses, [status]);
});

/** Reads the ends that the metrics count, each as its result, and whether the answer was written out. */
async function readEnds(world: SiteWorld): Promise<readonly string[]> {
    const text = await getFixture(world).instances[0]!.metrics.registry.metrics();
    const lines = text.matchAll(
        /^reedward_router_requests_total\{.*result="(\w+)"(?:,written="(\w+)")?\} (\d+)$/gm,
    );
    return [...lines].flatMap(([, result = "", written, count]) =>
        Array.from({ length: Number(count) }, () => written === "true" ? `${result} written` : result)
    );
}

Then("the requests that the instance read ended as {string}", async function(this: SiteWorld, ends: string) {
    const expected = ends.split(", ");
    let found: readonly string[] = [];
    await waitUntil(`${ends} is counted`, async () => {
        found = await readEnds(this);
        return found.length >= expected.length;
    });
    assert.deepEqual(found, expected);
    const ids = getFixture(this).logged
        .filter(line => line.event === "requestServed" || line.event === "requestRefused")
        .map(line => line.fields["requestId"]);
    assert.equal(new Set(ids).size, expected.length, "a line with the id of each request");
});

Then(
    "the instance tells of the phases {string} with the time that is left",
    async function(this: SiteWorld, phases: string) {
        const { instances, logged } = getFixture(this);
        await instances[0]!.router.drain();
        const lines = logged.filter(line => ["leaving", "stopAdvanced", "stopped"].includes(line.event));
        const told = lines.map(({ fields }) => `${String(fields["phase"])} ${String(fields["active"])}`);
        assert.equal(told.join(", "), phases);
        const { graceMs } = instances[0]!.settings;
        for (const { fields } of lines) {
            assert.equal(Number(fields["sinceMs"]) + Number(fields["leftMs"]), graceMs);
            assert.equal(typeof fields["connections"], "number");
        }
    },
);

Then(
    "the line of a request that is sent {int} ms after the order to stop of {int} ms says how long the instance has",
    (sinceMs: number, graceMs: number) => {
        const req = createProxyRequest("stream", { arrivedMs: 0, deadlineMs: 5_000 });
        const stop = { phase: "leaving", sinceMs, leftMs: graceMs - sinceMs } as const;
        const { leavingMs, leftMs, dueMs } = describeSend(req, createPlainPlacement(createRecord()), 0, stop);
        assert.deepEqual({ leavingMs, leftMs, dueMs }, { leavingMs: sinceMs, leftMs: graceMs - sinceMs, dueMs: 5_000 });
        assert.equal(describeSend(req, createPlainPlacement(createRecord()), 0, undefined)["leavingMs"], undefined);
    },
);
