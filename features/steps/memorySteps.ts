/**
 * @module
 * Steps on the memory that requests and answers hold, in the decisions and in a real process.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { createGarbageMeter } from "../../src/core/memory/createGarbageMeter.js";
import {
    createMemoryBudget,
    type MemoryBudget,
    type MemoryReservation,
} from "../../src/core/memory/createMemoryBudget.js";
import { createPartView } from "../../src/core/placement/createPartView.js";
import { type AnswerMemory, createAnswerMemory } from "../../src/core/proxy/createAnswerMemory.js";
import { configuration } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { loneProcesses, startLoneProcess } from "../support/startLoneProcess.js";

interface MemoryFixture {
    budget: MemoryBudget | undefined;
    readonly reservations: Map<number, MemoryReservation>;
    answers: AnswerMemory | undefined;
    readonly ended: string[];
    instance: InstanceProcess | undefined;
    statuses: readonly string[];
    /** Lets upstreams answer. */
    onRefused: () => void;
    /** Numbers of the parts that are known of each holder. */
    knownParts: readonly (readonly number[])[];
    reportedParts: readonly number[];
}

const fixtures = new WeakMap<SiteWorld, MemoryFixture>();
const bytesPerMegabyte = 1_048_576;
const firstPort = 26_000;

/** Time that uploads may take on a busy machine, in milliseconds. */
const routeTimeoutMs = 15_000;

function getFixture(world: SiteWorld): MemoryFixture {
    const fixture = fixtures.get(world) ?? {
        budget: undefined,
        reservations: new Map<number, MemoryReservation>(),
        answers: undefined,
        ended: [],
        instance: undefined,
        statuses: [],
        onRefused: () => undefined,
        knownParts: [],
        reportedParts: [],
    };
    fixtures.set(world, fixture);
    return fixture;
}

Given("a budget of {int} bytes for request bodies", function(this: SiteWorld, maxBytes: number) {
    getFixture(this).budget = createMemoryBudget({ maxBytes, onReleased: () => undefined, now: () => 0 });
});

function tryHold(fixture: MemoryFixture, bytes: number): boolean {
    const reservation = fixture.budget!.open();
    fixture.reservations.set(bytes, reservation);
    return reservation.tryGrow(bytes);
}

When("bodies hold {int} and {int} bytes", function(this: SiteWorld, first: number, second: number) {
    assert.ok(tryHold(getFixture(this), first));
    assert.ok(tryHold(getFixture(this), second));
});

When("the body of {int} bytes is returned", function(this: SiteWorld, bytes: number) {
    getFixture(this).reservations.get(bytes)!.release();
});

Then(/^a body of (\d+) bytes finds (no )?room$/, function(this: SiteWorld, bytes: string, no: string | undefined) {
    assert.equal(tryHold(getFixture(this), Number(bytes)), typeof no !== "string");
});

Then(
    "{int} answers of {int} MB that are no longer held are collected {int} times",
    (answers: number, megabytes: number, times: number) => {
        let collected = 0;
        const garbage = createGarbageMeter(() => {
            collected += 1;
        });
        const memory = createAnswerMemory(Infinity, garbage.record);
        for (let index = 0; index < answers; index += 1) {
            memory.hold(megabytes * bytesPerMegabyte).close();
        }
        assert.equal(collected, times);
    },
);

Given(
    "a memory of {int} bytes for answers, of which one that is not written out holds {int}",
    function(this: SiteWorld, maxBytes: number, bytes: number) {
        const fixture = getFixture(this);
        fixture.answers = createAnswerMemory(maxBytes);
        fixture.answers.hold(bytes);
    },
);

When("an answer that is collected grows to {int} bytes", function(this: SiteWorld, bytes: number) {
    const { answers, ended } = getFixture(this);
    const holding = answers!.open(() => {
        ended.push("collected");
        holding.close();
    });
    holding.set(bytes);
});

Then("only the answer that is collected is ended", function(this: SiteWorld) {
    const { answers, ended } = getFixture(this);
    assert.deepEqual(ended, ["collected"]);
    assert.equal(answers!.totalBytes(), 700);
});

/** Answers no request before `isReleased` resolves, so that the bodies of all requests until then are held at once. */
function createHoldingListener(isReleased: Promise<void>): RequestListener {
    return (req, res) => {
        req.resume();
        req.on("end", () => {
            void isReleased.then(() => {
                res.writeHead(200, { "attempt-id": req.headers["attempt-id"] ?? "", "server-seal": "s" });
                res.end("ok");
            });
        });
    };
}

/** Answers with bytes until the connection is closed. */
const flood: RequestListener = (req, res) => {
    const block = Buffer.alloc(65_536, "a");
    req.resume();
    res.writeHead(200, { "attempt-id": req.headers["attempt-id"] ?? "", "server-seal": "s" });
    const writeMore = () => {
        while (!res.destroyed && res.write(block)) {
            // Goes on until the write buffer is full.
        }
    };
    res.on("drain", writeMore);
    writeMore();
};

async function startProcess(
    world: SiteWorld,
    listener: RequestListener,
    routes: readonly unknown[] = configuration.routes,
): Promise<void> {
    const store = await startFakeStore();
    const server = createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const largeBodies = {
        ...configuration,
        routes,
        limits: { ...configuration.limits, max_body_bytes: 4 * bytesPerMegabyte },
    };
    store.put("keyed.op", "config", largeBodies);
    ["i-1", "i-2"].forEach(id =>
        store.put("keyed.servers", id, {
            service: "portal",
            address: `127.0.0.1:${port}`,
            zone: "north",
            slots: 64,
            state: "ready",
            seq_no: 0,
            born: 1,
        })
    );
    const instance = await startLoneProcess(world, { lastOctet: 8, firstPort, storeAddress: store.address });
    world.cleanups.push(
        () => store.stop(),
        () => {
            server.closeAllConnections();
            server.close();
        },
    );
    getFixture(world).instance = instance;
}

Given(
    "a platform with a process of an instance, whose upstreams answer once an upload is refused",
    function(this: SiteWorld) {
        const isRefused = new Promise<void>(resolve => {
            getFixture(this).onRefused = resolve;
        });
        const routes = configuration.routes.map(route => ({ ...route, timeout_ms: routeTimeoutMs }));
        return startProcess(this, createHoldingListener(isRefused), routes);
    },
);

Given("a platform with a process of an instance, whose upstreams send bodies without end", function(this: SiteWorld) {
    return startProcess(this, flood);
});

async function post(instance: InstanceProcess, id: string, body: string | Buffer): Promise<string> {
    try {
        const res = await request(`http://${instance.callerAddress}/documents/${id}`, {
            method: "POST",
            headers: { host: "letters.example", "attempt-id": id, authorization: "Bearer key-clinic" },
            body,
            reset: true,
        });
        const text = await res.body.text();
        const { error } = res.statusCode === 503
            ? JSON.parse(text) as { error: { code: string; }; }
            : { error: undefined };
        return error === undefined ? String(res.statusCode) : `${res.statusCode} ${error.code}`;
    }
    catch (error) {
        return `closed: ${String(error)}`;
    }
}

When("{int} callers upload {int} MB each at once", async function(this: SiteWorld, callers: number, megabytes: number) {
    const fixture = getFixture(this);
    const body = Buffer.alloc(megabytes * 1_000_000, "b");
    fixture.statuses = await Promise.all(
        Array.from({ length: callers }, async (_, index) => {
            const status = await post(fixture.instance!, `u-${index}`, body);
            if (status !== "200") {
                fixture.onRefused();
            }
            return status;
        }),
    );
});

Then(
    "every upload is answered, some with {int} and some refused as {string}",
    function(this: SiteWorld, status: number, kind: string) {
        const { statuses } = getFixture(this);
        const expected = [String(status), `503 ${kind}`];
        assert.deepEqual(new Set(statuses), new Set(expected), statuses.join(", "));
    },
);

When("{int} times {int} requests are sent at once", async function(this: SiteWorld, times: number, requests: number) {
    const fixture = getFixture(this);
    for (let round = 0; round < times; round += 1) {
        await Promise.all(
            Array.from({ length: requests }, (_, index) => post(fixture.instance!, `f-${round}-${index}`, "letter")),
        );
    }
});

Then("the process has held at most {int} MB", function(this: SiteWorld, megabytes: number) {
    const instance = loneProcesses.get(this)!;
    assert.equal(instance.lives.at(-1)?.end, undefined);
    const status = readFileSync(`/proc/${instance.pid()}/status`, "utf8");
    const peakMegabytes = Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) / 1_024;
    assert.ok(peakMegabytes <= megabytes, `${Math.round(peakMegabytes)} MB`);
});

const partOf = (number: number) => ({ id: `part-${number}`, tokens: 16 });

/** Returns the numbers of the parts of each holder that are known after all holders have reported theirs in turn. */
function reportParts(partsByHolder: readonly number[]): readonly (readonly number[])[] {
    const view = createPartView();
    const holders = partsByHolder.map((parts, index) => ({
        name: `h-${index}`,
        numbers: Array.from({ length: parts }, (_, number) => number),
    }));
    holders.forEach(({ name, numbers }) =>
        view.applyEvents(name, numbers.map(number => ({ salt: "s", part: partOf(number).id, tokens: 16 })))
    );
    const isKnown = (name: string, number: number) => {
        const parts = [partOf(number), { id: "own", tokens: 16 }];
        return view.countCachedTokens({ model: "m", parts, promptTokens: 32, outputTokens: 1 }, "s", name, 0).cached
            > 0;
    };
    return holders.map(({ name, numbers }) => numbers.filter(number => isKnown(name, number)));
}

When("{int} holders report {int} cached parts each", function(this: SiteWorld, holders: number, parts: number) {
    getFixture(this).knownParts = reportParts(Array.from({ length: holders }, () => parts));
});

When(
    "{int} holders report {int} cached parts each, and one more reports {int}",
    function(this: SiteWorld, holders: number, parts: number, more: number) {
        const fixture = getFixture(this);
        const reported = [...Array.from({ length: holders }, () => parts), more];
        fixture.knownParts = reportParts(reported);
        fixture.reportedParts = reported;
    },
);

Then("all of these parts are known", function(this: SiteWorld) {
    const { knownParts, reportedParts } = getFixture(this);
    assert.deepEqual(knownParts.map(numbers => numbers.length), reportedParts);
});

Then(
    "{int} of these parts are known, the newest {int} of each holder",
    function(this: SiteWorld, total: number, newest: number) {
        const { knownParts } = getFixture(this);
        assert.equal(knownParts.flat().length, total);
        knownParts.forEach(numbers => assert.equal(numbers[0], numbers.at(-1)! - newest + 1));
    },
);
