/**
 * @module
 * Steps on a real process beside a crowd of clients that stop short and stay.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { type CrowdFormName, crowdForms } from "../support/crowdForms.js";
import { configuration, streamHeaders } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { type Crowd, startCrowd } from "../support/startCrowd.js";
import { startLoneProcess } from "../support/startLoneProcess.js";

interface CrowdFixture {
    readonly instance: InstanceProcess;
    crowd: Crowd | undefined;
    mostDescriptors: number;
    requests: number;
    slowAnswer: string;
    /** What each of some callers in calm received. */
    calmAnswers: readonly string[];
}

const fixtures = new WeakMap<SiteWorld, CrowdFixture>();
const firstPort = 27_600;
const kilobytesPerMegabyte = 1_024;
const bytesPerKilobyte = 1_024;
const largeAnswerBytes = 2_000_000;

/** Long enough that the crowd stays, whatever the machine's speed. */
const routeTimeoutMs = 60_000;

/** How long an ordinary caller waits for an answer, how often it tries, and how long it waits in between, in milliseconds. */
const answerTimeoutMs = 20_000;
const maxTries = 4;
const retryDelayMs = 250;

/** Interval at which open descriptors are counted, and time for which the crowd has stayed at least, in milliseconds. */
const watchIntervalMs = 50;
const stayMs = 3_000;

const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: routeTimeoutMs,
    idle_timeout_ms: routeTimeoutMs,
};

/** Answers at once, on paths for large answers with 2 MB. */
async function startUpstream(world: SiteWorld): Promise<string> {
    const large = Buffer.alloc(largeAnswerBytes, "a");
    const server = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "server-seal": "s" });
            res.end(req.url?.startsWith("/large/") === true ? large : "ordinary");
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    world.cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Formats a request with a body in one chunk, whose connection closes after the answer. */
function formatSlowRequest(bodyBytes: number): string {
    const { host, authorization } = streamHeaders;
    const head = [
        "POST /documents/slow HTTP/1.1",
        `Host: ${host}`,
        "Attempt-Id: slow",
        `Authorization: ${authorization}`,
        "Connection: close",
        "Transfer-Encoding: chunked",
    ];
    return `${head.join("\r\n")}\r\n\r\n${bodyBytes.toString(16)}\r\n${"b".repeat(bodyBytes)}\r\n0\r\n\r\n`;
}

function countDescriptors({ instance }: CrowdFixture): number {
    try {
        return readdirSync(`/proc/${instance.pid()}/fd`).length;
    }
    catch {
        // The process has ended.
        return 0;
    }
}

function watchDescriptors(world: SiteWorld, fixture: CrowdFixture): void {
    const timer = setInterval(() => {
        fixture.mostDescriptors = Math.max(fixture.mostDescriptors, countDescriptors(fixture));
    }, watchIntervalMs);
    world.cleanups.push(() => clearInterval(timer));
}

Given(
    "a process of an instance that is allowed {int} MB and {int} descriptors",
    async function(this: SiteWorld, megabytes: number, descriptors: number) {
        const store = await startFakeStore();
        const [route] = configuration.routes.filter(({ path_prefix: prefix }) => prefix === "/documents/");
        const routes = ["/documents/", "/large/"].map((prefix, index) => ({
            ...route,
            name: `route-${index}`,
            path_prefix: prefix,
            timeout_ms: routeTimeoutMs,
        }));
        store.put("keyed.op", "config", { ...configuration, routes, limits });
        const address = await startUpstream(this);
        store.put("keyed.servers", "i-1", {
            service: "portal",
            address,
            zone: "north",
            slots: 64,
            state: "ready",
            seq_no: 0,
            born: 1,
        });
        const place = { lastOctet: 12, firstPort, storeAddress: store.address };
        const changedSettings = { limits: { memory_mb: megabytes, max_fds: descriptors } };
        const instance = await startLoneProcess(this, place, changedSettings);
        this.cleanups.push(() => store.stop());
        const fixture = {
            instance,
            crowd: undefined,
            mostDescriptors: 0,
            requests: 0,
            slowAnswer: "",
            calmAnswers: [],
        };
        fixtures.set(this, fixture);
        watchDescriptors(this, fixture);
    },
);

/** Starts the crowd, and waits until it stays: all is sent, or what is left is not read. */
async function gatherCrowd(world: SiteWorld, clients: number, names: readonly CrowdFormName[]): Promise<void> {
    const fixture = fixtures.get(world)!;
    const crowd = startCrowd(fixture.instance.callerAddress, clients, names.map(name => crowdForms[name]));
    fixture.crowd = crowd;
    world.cleanups.unshift(() => crowd.leave());
    await Promise.race([crowd.settled(), delay(stayMs)]);
}

When(
    /^(\d+) clients send (in all ways by turns|.+), stay, and come back when they are closed$/,
    function(this: SiteWorld, clients: string, form: string) {
        const names = form === "in all ways by turns" ? Object.keys(crowdForms) : [form];
        return gatherCrowd(this, Number(clients), names as readonly CrowdFormName[]);
    },
);

/** Sends a request on a connection of its own, and returns how it ended. */
async function callOnce({ instance }: CrowdFixture, id: string): Promise<string> {
    try {
        const { host, authorization } = streamHeaders;
        const res = await request(`http://${instance.callerAddress}/documents/${id}`, {
            method: "POST",
            headers: { host, authorization, "attempt-id": id },
            body: "letter",
            reset: true,
            headersTimeout: answerTimeoutMs,
            bodyTimeout: answerTimeoutMs,
        });
        return `${res.statusCode} ${await res.body.text()}`;
    }
    catch (error) {
        return `closed: ${String(error)}`;
    }
}

Then(
    /^the process answers an ordinary request(?: while they stay)?$/,
    async function(this: SiteWorld) {
        const fixture = fixtures.get(this)!;
        const ends: string[] = [];
        while (ends.length < maxTries && !ends.includes("200 ordinary")) {
            fixture.requests += 1;
            ends.push(await callOnce(fixture, `ordinary-${fixture.requests}`));
            await delay(retryDelayMs);
        }
        assert.equal(ends.at(-1), "200 ordinary", ends.join(", "));
    },
);

When("the clients have left", function(this: SiteWorld) {
    fixtures.get(this)!.crowd!.leave();
});

Then(
    "the process lives, and has held at most {int} MB and {int} descriptors",
    function(this: SiteWorld, megabytes: number, descriptors: number) {
        const { instance, mostDescriptors } = fixtures.get(this)!;
        assert.equal(instance.lives.at(-1)?.end, undefined);
        const status = readFileSync(`/proc/${instance.pid()}/status`, "utf8");
        const peakMegabytes = Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) / kilobytesPerMegabyte;
        assert.ok(peakMegabytes <= megabytes, `${Math.round(peakMegabytes)} MB`);
        assert.ok(mostDescriptors <= descriptors, `${mostDescriptors} descriptors`);
    },
);

When(
    "a slow caller sends {int} KB in {int} pieces, {int} ms apart",
    async function(this: SiteWorld, kilobytes: number, pieces: number, pauseMs: number) {
        const fixture = fixtures.get(this)!;
        const [host, port] = fixture.instance.callerAddress.split(":");
        const bytes = Buffer.from(formatSlowRequest(kilobytes * bytesPerKilobyte));
        const socket = connect(Number(port), host);
        this.cleanups.unshift(() => void socket.destroy());
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.on("error", () => undefined);
        socket.on("data", (received: Buffer) => {
            fixture.slowAnswer += received.toString("latin1");
        });
        const pieceBytes = Math.ceil(bytes.length / pieces);
        for (let start = 0; start < bytes.length; start += pieceBytes) {
            socket.write(bytes.subarray(start, start + pieceBytes));
            await delay(pauseMs);
        }
        await closed;
    },
);

Then("this caller is answered with the upstream's answer", function(this: SiteWorld) {
    assert.match(fixtures.get(this)!.slowAnswer, /^HTTP\/1\.1 200 [^]*ordinary/);
});

/** Formats a request with a body of a stated length. */
function formatRequest(id: string, body: string): string {
    const { host, authorization } = streamHeaders;
    const head = [
        `POST /documents/${id} HTTP/1.1`,
        `Host: ${host}`,
        `Attempt-Id: ${id}`,
        `Authorization: ${authorization}`,
        `Content-Length: ${body.length}`,
    ];
    return `${head.join("\r\n")}\r\n\r\n${body}`;
}

/** Sends bytes on a connection of their own; returns what it received until so many answers came, or it was closed. */
function exchange(world: SiteWorld, bytes: string, answers: number): Promise<string> {
    const [host, port] = fixtures.get(world)!.instance.callerAddress.split(":");
    const socket = connect(Number(port), host);
    world.cleanups.unshift(() => void socket.destroy());
    let received = "";
    return new Promise(resolve => {
        const finish = () => resolve(received);
        socket.on("error", finish);
        socket.on("close", finish);
        socket.on("data", (piece: Buffer) => {
            received += piece.toString("latin1");
            if (received.split("HTTP/1.1 ").length > answers) {
                finish();
            }
        });
        socket.write(bytes);
    });
}

When(
    "{int} callers upload {int} KB each in lines of {int} bytes at once",
    async function(this: SiteWorld, callers: number, kilobytes: number, lineBytes: number) {
        const body = `${"l".repeat(lineBytes - 1)}\n`.repeat(Math.ceil(kilobytes * bytesPerKilobyte / lineBytes));
        const calls = Array.from(
            { length: callers },
            (_, index) => exchange(this, formatRequest(`up-${index}`, body), 1),
        );
        fixtures.get(this)!.calmAnswers = await Promise.all(calls);
    },
);

When(
    "{int} callers send {int} short requests each on one connection at once",
    async function(this: SiteWorld, callers: number, count: number) {
        const calls = Array.from({ length: callers }, (_, index) => {
            const requests = [...Array(count).keys()].map(number => formatRequest(`p-${index}-${number}`, "b"));
            return exchange(this, requests.join(""), count);
        });
        fixtures.get(this)!.calmAnswers = await Promise.all(calls);
    },
);

Then(/^each of them has (\d+) answers? "([\d|]+)"$/, function(this: SiteWorld, count: string, statuses: string) {
    const pattern = new RegExp(`HTTP/1\\.1 (?:${statuses}) `, "g");
    const answers = fixtures.get(this)!.calmAnswers.map(received => received.match(pattern)?.length ?? 0);
    const isShort = (answered: number) => answered !== Number(count);
    assert.ok(!answers.some(isShort), `${answers.filter(isShort).length} callers: ${answers.join(" ")}`);
});
