/**
 * @module
 * Steps on a real process while upstreams and callers send short pieces without end.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { logReaders } from "../../bench/faults/platform/createLogPipes.js";
import { createRandom } from "../../bench/faults/platform/createRandom.js";
import { playStops, type PlayStopsOptions } from "../../bench/faults/platform/playStops.js";
import { bundledProgram, readDeployArguments } from "../../bench/faults/platform/readDeployArguments.js";
import { stopShapes } from "../../bench/faults/platform/stopShapes.js";
import type { PieceSize } from "../../fakes/cutPieces.js";
import { findEndlessForm } from "../../fakes/endlessForms.js";
import { sendEndless, writeSegments } from "../../fakes/sendEndless.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { type ScriptedUpstream, startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import { configuration } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { startLoneProcess } from "../support/startLoneProcess.js";

interface PieceFixture {
    readonly instance: InstanceProcess;
    readonly endless: ScriptedUpstream | undefined;
    /** Results of the requests to the sound upstream. */
    readonly soundResults: string[];
    readonly uploadResults: string[];
}

const fixtures = new WeakMap<SiteWorld, PieceFixture>();
const firstPort = 27_500;
const metricsPort = 9_464;
const maxBodyBytes = 4_194_304;

/** Chunks of one byte, and requests, that are written at once. */
const chunksPerBlock = 10_000;
const requestsPerBlock = 1_000;

const kilobytesPerMegabyte = 1_024;

const soundAnswer = "sound";

/** Limits of the routes; what never ends is broken off then at the latest. */
const soundTimeoutMs = 10_000;
const endlessTimeoutMs = 2_000;

const endlessKinds = ["stream", "non_idempotent", "idempotent"] as const;

function getFixture(world: SiteWorld): PieceFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function createRoute(name: string, kind: string, service: string, timeoutMs: number): unknown {
    return {
        name,
        host: "letters.example",
        path_prefix: `/${name}/`,
        kind,
        timeout_ms: timeoutMs,
        target_latency_ms: 400,
        service,
        attempts: 2,
    };
}

async function startSound(world: SiteWorld): Promise<string> {
    const server = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "server-seal": "s" });
            res.end(soundAnswer);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    world.cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** What the rows send: a form, and the sizes of its chunks. */
const sentForms: Readonly<Record<string, { readonly form: string; readonly chunks: PieceSize; }>> = {
    "a body in large blocks": { form: "a body without framing", chunks: "64 KB" },
    "events without framing": { form: "events without framing", chunks: "64 KB" },
    "a body in chunks of one byte": { form: "a body in chunks", chunks: "byte" },
    "a rejection in chunks of one byte": { form: "a rejection in chunks", chunks: "byte" },
    "line ends, one a chunk": { form: "line ends in chunks", chunks: "line" },
    "comments, one a chunk": { form: "comments in chunks", chunks: "line" },
    "events, one a chunk": { form: "events in chunks", chunks: "event" },
    "one byte behind long extensions": { form: "a body behind extensions", chunks: "byte" },
};

async function startEndless(world: SiteWorld, name: string): Promise<ScriptedUpstream> {
    const sent = sentForms[name];
    assert.ok(sent !== undefined, name);
    const form = findEndlessForm(sent.form);
    const random = createRandom(1);
    const upstream = await startScriptedUpstream(({ text, socket }) => {
        const attempt = /^attempt-id: (\S+)/im.exec(text)?.[1] ?? "";
        void sendEndless(socket, form, { attempt }, { chunks: sent.chunks, segments: "64 KB" }, random);
    });
    world.cleanups.push(() => upstream.stop());
    return upstream;
}

async function startPlatform(world: SiteWorld, form?: string): Promise<void> {
    const store = await startFakeStore();
    const endless = form === undefined ? undefined : await startEndless(world, form);
    const upstreams = [
        { service: "sound", address: await startSound(world) },
        ...(endless === undefined ? [] : [{ service: "endless", address: endless.address }]),
    ];
    store.put("keyed.op", "config", {
        ...configuration,
        routes: [
            createRoute("sound", "non_idempotent", "sound", soundTimeoutMs),
            ...endlessKinds.map(kind => createRoute(kind, kind, "endless", endlessTimeoutMs)),
        ],
        services: ["sound", "endless"].map(name => ({ name, health_path: "/health", max_conns: 64 })),
        limits: { ...configuration.limits, max_body_bytes: maxBodyBytes },
    });
    upstreams.forEach(({ service, address }, index) =>
        store.put("keyed.servers", `i-${index}`, {
            service,
            address,
            zone: "north",
            slots: 64,
            state: "ready",
            seq_no: 0,
            born: 1,
        })
    );
    const instance = await startLoneProcess(world, { lastOctet: 6, firstPort, storeAddress: store.address });
    world.cleanups.push(() => store.stop());
    fixtures.set(world, { instance, endless, soundResults: [], uploadResults: [] });
}

Given(
    /^a process of an instance before a sound upstream(?: and one that sends (.+) without end)?$/,
    function(this: SiteWorld, form: string | undefined) {
        return startPlatform(this, form ?? undefined);
    },
);

function createHeaders(id: string): Readonly<Record<string, string>> {
    return { host: "letters.example", "attempt-id": id, authorization: "Bearer key-clinic" };
}

async function post({ instance }: PieceFixture, route: string, id: string): Promise<string> {
    try {
        const url = `http://${instance.callerAddress}/${route}/${id}`;
        const res = await request(url, { method: "POST", headers: createHeaders(id), body: "letter", reset: true });
        return `${res.statusCode} ${await res.body.text()}`;
    }
    catch (error) {
        return `closed: ${String(error)}`;
    }
}

async function postSound(fixture: PieceFixture, count: number): Promise<void> {
    const first = fixture.soundResults.length;
    const ids = Array.from({ length: count }, (_, index) => `sound-${first + index}`);
    fixture.soundResults.push(...await Promise.all(ids.map(id => post(fixture, "sound", id))));
}

/** Runs something again and again, with requests to the sound upstream beside and after it. */
async function repeatBesideSound(
    fixture: PieceFixture,
    times: number,
    soundRequests: number,
    run: (round: number) => Promise<unknown>,
): Promise<void> {
    for (let round = 0; round < times; round += 1) {
        await Promise.all([run(round), postSound(fixture, soundRequests)]);
        await postSound(fixture, soundRequests);
    }
}

When(
    "{int} times {int} requests are sent to the endless upstream, and {int} to the sound one beside and after each",
    function(this: SiteWorld, times: number, requests: number, soundRequests: number) {
        const fixture = getFixture(this);
        return repeatBesideSound(fixture, times, soundRequests, round =>
            Promise.all(
                Array.from({ length: requests }, (_, index) =>
                    post(fixture, endlessKinds[index % endlessKinds.length]!, `endless-${round}-${index}`)),
            ));
    },
);

/** Uploads a body in chunks of one byte, and returns the first line of the answer. */
async function upload({ instance }: PieceFixture, id: string, bytes: number): Promise<string> {
    const [host, port] = instance.callerAddress.split(":");
    const socket = connect(Number(port), host);
    let answer = "";
    let error: Error | undefined;
    socket.on("data", received => {
        answer += received.toString("latin1");
    });
    socket.on("error", err => {
        error = err;
    });
    const closed = new Promise(resolve => socket.once("close", resolve));
    const headers = { ...createHeaders(id), "transfer-encoding": "chunked", connection: "close" };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`POST /sound/${id} HTTP/1.1\r\n${lines.join("")}\r\n`);
    await writeSegments(socket, "1\r\na\r\n".repeat(chunksPerBlock), "64 KB", createRandom(1), bytes / chunksPerBlock);
    socket.write("0\r\n\r\n");
    await closed;
    return answer.split("\r\n")[0] ?? String(error);
}

When(
    "{int} uploads of {int} bytes in chunks of one byte are sent in turn, and {int} requests beside and after each",
    function(this: SiteWorld, uploads: number, bytes: number, soundRequests: number) {
        const fixture = getFixture(this);
        return repeatBesideSound(fixture, uploads, soundRequests, async round => {
            fixture.uploadResults.push(await upload(fixture, `upload-${round}`, bytes));
        });
    },
);

When("{int} connections request metrics without end and read nothing", function(this: SiteWorld, connections: number) {
    const [host] = getFixture(this).instance.callerAddress.split(":");
    const block = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(requestsPerBlock);
    for (let index = 0; index < connections; index += 1) {
        const socket = connect(metricsPort, host);
        this.cleanups.unshift(() => void socket.destroy());
        socket.on("error", () => undefined);
        socket.pause();
        void writeSegments(socket, block, "64 KB", createRandom(1));
    }
});

When(
    "{int} requests to the sound upstream are sent {int} times, each {int} ms after the former",
    async function(this: SiteWorld, requests: number, times: number, pauseMs: number) {
        for (let round = 0; round < times; round += 1) {
            await postSound(getFixture(this), requests);
            await delay(pauseMs);
        }
    },
);

/** A short series of reloads, each followed by a trouble. */
const soakOptions: Omit<PlayStopsOptions, "shape" | "seed"> = {
    plan: "reloads",
    statesEra: true,
    troubles: { kinds: ["endless"] },
    gapMs: 600,
    seconds: 12,
    program: bundledProgram,
    logReaders,
    busyProcesses: 0,
};

Then(
    "{int} processes break no promise and hold at most {int} MB while answers never end, with seed {int}",
    async function(this: SiteWorld, instances: number, megabytes: number, seed: number) {
        const limits = {
            nodeArguments: readDeployArguments(),
            memoryKb: megabytes * kilobytesPerMegabyte,
            processorShare: 1,
        };
        const shape = { ...stopShapes["limitedInstances"]!, instances, limits };
        const { violations, counts } = await playStops({ ...soakOptions, shape, seed });
        assert.ok(counts["troubles"]! > 0);
        assert.deepEqual(violations, []);
    },
);

Then("the endless upstream has received requests", function(this: SiteWorld) {
    assert.ok(getFixture(this).endless!.requests.length > 0);
});

Then("each upload is answered", function(this: SiteWorld) {
    getFixture(this).uploadResults.forEach(result => assert.match(result, /^HTTP\/1\.1 \d{3} /));
});

Then("all requests to the sound upstream are answered with its answer", function(this: SiteWorld) {
    const results = new Set(getFixture(this).soundResults);
    assert.deepEqual(results, new Set([`200 ${soundAnswer}`]));
});
