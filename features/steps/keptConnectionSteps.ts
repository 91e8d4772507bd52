/**
 * @module
 * Steps on connections that callers keep between their requests.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { configuration, plainCall, streamHeaders, waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { type LoneInstance, startLoneInstance } from "../support/startLoneInstance.js";

/** A caller with one connection. */
interface KeptConnection {
    readonly write: (text: string) => void;
    /** Everything that has arrived. */
    readonly text: () => string;
    readonly statuses: () => readonly number[];
    /** Whether the instance has closed its side, or has reset the connection. */
    readonly isOver: () => boolean;
}

interface Fixture extends LoneInstance {
    readonly caller: KeptConnection;
}

const fixtures = new WeakMap<SiteWorld, Fixture>();
const firstPort = 27_100;
const settleMs = 300;
const pollMs = 10;
const millisecondsPerSecond = 1_000;

function openConnection(world: SiteWorld, address: string): KeptConnection {
    const [host, port] = address.split(":");
    const socket = connect({ host: host!, port: Number(port), allowHalfOpen: true });
    let text = "";
    let isOver = false;
    socket.on("data", chunk => {
        text += chunk.toString();
    });
    ["end", "error"].forEach(event =>
        socket.on(event, () => {
            isOver = true;
        })
    );
    world.cleanups.push(() => Promise.resolve(void socket.destroy()));
    return {
        write: bytes => void socket.write(bytes),
        text: () => text,
        statuses: () => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => Number(match[1])),
        isOver: () => isOver,
    };
}

function formatRequest(id: string, bodyBytes = 10): string {
    const { host, authorization } = streamHeaders;
    const idLine = id === "" ? "" : `Attempt-Id: ${id}\r\n`;
    const head = `POST ${plainCall.path} HTTP/1.1\r\nHost: ${host}\r\nAuthorization: ${authorization}\r\n${idLine}`;
    return `${head}Content-Length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`;
}

async function waitForAnswers({ caller }: Fixture, count: number): Promise<void> {
    await waitUntil("the answers, or the end", () => caller.isOver() || caller.statuses().length === count);
}

function describeConfiguration(version: number, idleTimeoutMs: number): object {
    return { ...configuration, version, limits: { ...configuration.limits, idle_timeout_ms: idleTimeoutMs } };
}

Given(
    "a process of an instance whose idle timeout is {int} ms",
    async function(this: SiteWorld, idleTimeoutMs: number) {
        const lone = await startLoneInstance(this, {
            lastOctet: 8,
            firstPort,
            storedConfiguration: describeConfiguration(configuration.version, idleTimeoutMs),
        });
        fixtures.set(this, { ...lone, caller: openConnection(this, lone.instance.callerAddress) });
    },
);

/** Requests that are refused, by what is wrong with them. */
const faultyRequests: Readonly<Record<string, string>> = {
    "a body that is too large": formatRequest("faulty", configuration.limits.max_body_bytes + 1),
    "no id": formatRequest(""),
};

When("a caller pipelines a request with {} and a sound one", async function(this: SiteWorld, fault: string) {
    const fixture = fixtures.get(this)!;
    fixture.caller.write(faultyRequests[fault]! + formatRequest("sound"));
    await waitForAnswers(fixture, 2);
});

Then("the upstream has run {int} requests", async function(this: SiteWorld, count: number) {
    await delay(settleMs);
    assert.equal(fixtures.get(this)!.server.runs.length, count);
});

When("a caller uses its connection", async function(this: SiteWorld) {
    const fixture = fixtures.get(this)!;
    fixture.caller.write(formatRequest("first"));
    await waitForAnswers(fixture, 1);
});

Then(
    "the connection stays open for at least {int} ms beyond the time that the answer states",
    async function(this: SiteWorld, beyondMs: number) {
        const { caller } = fixtures.get(this)!;
        const statedSeconds = /^keep-alive: timeout=(\d+)/im.exec(caller.text())?.[1];
        assert.ok(statedSeconds !== undefined, caller.text());
        const untilMs = performance.now() + Number(statedSeconds) * millisecondsPerSecond + beyondMs;
        while (performance.now() < untilMs && !caller.isOver()) {
            await delay(pollMs);
        }
        assert.equal(caller.isOver(), false);
    },
);

When("the operator raises the idle timeout to {int} ms", async function(this: SiteWorld, idleTimeoutMs: number) {
    const { store, instance } = fixtures.get(this)!;
    store.put("keyed.op", "config", describeConfiguration(configuration.version + 1, idleTimeoutMs));
    const other = openConnection(this, instance.callerAddress);
    // Each answer states the idle timeout in force.
    await waitUntil("the configuration is in force", () => {
        other.write(formatRequest(`probe-${other.statuses().length}`));
        return other.text().includes(`timeout=${idleTimeoutMs / millisecondsPerSecond}`);
    });
});

When("{int} ms later the caller uses its connection", async function(this: SiteWorld, afterMs: number) {
    const fixture = fixtures.get(this)!;
    await delay(afterMs);
    fixture.caller.write(formatRequest("second"));
    await waitForAnswers(fixture, 2);
});

Then(/^the caller was answered with ([\d, ]+)$/, function(this: SiteWorld, statuses: string) {
    assert.deepEqual(fixtures.get(this)!.caller.statuses(), statuses.split(", ").map(Number));
});
