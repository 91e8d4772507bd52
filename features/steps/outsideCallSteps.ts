/**
 * @module
 * Steps in which the answers to calls of an instance are broken in every form.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { isDeepStrictEqual } from "node:util";
import { type ScriptedRequest, startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import {
    createJsonAnswer,
    createNewestAnswer,
    createOutsideClients,
    createRecordsAnswer,
    encodeAnswer,
    type Framing,
    isUnknown,
    listParts,
    order,
    type OutsideCall,
    outsideCalls,
    type OutsideClients,
    type PlainAnswer,
    readEvents,
} from "../support/outsideCalls.js";
import type { SiteWorld } from "../support/siteWorld.js";

/** Writes the answer to one request. */
type Answer = (req: ScriptedRequest) => void;

interface CallFixture {
    readonly address: string;
    /** Sets how the requests from now on are answered. */
    readonly setAnswer: (answer: Answer) => void;
    /** What was taken from answers that say something else, with the answer. */
    readonly mistakes: string[];
}

const fixtures = new WeakMap<SiteWorld, CallFixture>();

function getFixture(world: SiteWorld): CallFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

Given("a server that an instance calls", async function(this: SiteWorld) {
    let current: Answer = () => undefined;
    const server = await startScriptedUpstream(req => current(req));
    this.cleanups.push(() => server.stop());
    fixtures.set(this, {
        address: server.address,
        setAnswer: answer => {
            current = answer;
        },
        mistakes: [],
    });
});

function close(clients: OutsideClients): void {
    clients.store.close();
    clients.peers.close();
}

/** Makes one call with clients of its own. */
async function askOnce(fixture: CallFixture, call: OutsideCall, answer: Answer): Promise<unknown> {
    fixture.setAnswer(answer);
    const clients = createOutsideClients(fixture.address);
    const told = await call.ask(clients);
    close(clients);
    return told;
}

function describe(call: OutsideCall, form: string, told: unknown): string {
    return `${call.name}, ${form}: ${JSON.stringify(told)}`;
}

interface Records {
    readonly kind: "records";
    readonly records: readonly unknown[];
    readonly next: number;
}

function isRecords(told: unknown): told is Records {
    return told instanceof Object && "kind" in told && told.kind === "records";
}

/** Returns whether a read took the first records alone and goes on after them: an answer may end after any record. */
function isBeginning(told: unknown, whole: unknown): boolean {
    return isRecords(told) && isRecords(whole) && told.records.length > 0
        && told.next === whole.next - (whole.records.length - told.records.length)
        && isDeepStrictEqual(told.records, whole.records.slice(0, told.records.length));
}

/** How a connection ends after the bytes of an answer. */
type Ending = "closed" | "reset at once" | "reset after a moment";

function end(socket: Socket, ending: Ending): void {
    switch (ending) {
        case "closed":
            socket.end();
            return;
        case "reset at once":
            socket.resetAndDestroy();
            return;
        default:
            setTimeout(() => socket.resetAndDestroy(), 2);
    }
}

/** An answer of which only the first bytes are written. */
interface Cut {
    readonly call: OutsideCall;
    readonly framing: Framing;
    readonly ending: Ending;
    readonly bytes: number;
}

const framings: readonly Framing[] = ["length", "chunks", "connection"];

const endings: readonly Ending[] = ["closed", "reset at once", "reset after a moment"];

/** Returns whether nothing in the bytes tells the answer from a whole one. */
function looksWhole({ call, framing, ending, bytes }: Cut): boolean {
    const headBytes = encodeAnswer({ ...call.answer, body: Buffer.alloc(0) }, "connection").length;
    return framing === "connection" && ending === "closed" && bytes >= headBytes && call.endpoint === "order";
}

async function playCut(fixture: CallFixture, cut: Cut): Promise<void> {
    const { call, framing, ending } = cut;
    const bytes = encodeAnswer(call.answer, framing);
    const whole = framing === "connection"
        ? await askOnce(fixture, call, ({ socket }) => socket.end(bytes))
        : undefined;
    const told = await askOnce(fixture, call, ({ socket }) => {
        if (cut.bytes === 0) {
            end(socket, ending);
            return;
        }
        socket.write(bytes.subarray(0, cut.bytes), () => end(socket, ending));
    });
    const mayBeBeginning = ending === "closed" && framing === "connection" && isBeginning(told, whole);
    if (!isUnknown(told) && !mayBeBeginning && !(looksWhole(cut) && isDeepStrictEqual(told, whole))) {
        fixture.mistakes.push(describe(call, `${cut.bytes} of ${bytes.length} bytes by ${framing}, ${ending}`, told));
    }
}

When(
    "{int} answers drawn with seed {int} stop after some of their bytes",
    async function(this: SiteWorld, count: number, seed: number) {
        const fixture = getFixture(this);
        const cuts = fc.record({
            call: fc.constantFrom(...outsideCalls),
            framing: fc.constantFrom(...framings),
            ending: fc.constantFrom(...endings),
            share: fc.noBias(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })),
        });
        for (const { share, ...cut } of fc.sample(cuts, { numRuns: count, seed })) {
            const { length } = encodeAnswer(cut.call.answer, cut.framing);
            await playCut(fixture, { ...cut, bytes: Math.floor(share * length) });
        }
    },
);

When("every answer without a length is reset after its last byte", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    for (const call of outsideCalls) {
        const bytes = encodeAnswer(call.answer, "connection");
        const told = await askOnce(fixture, call, ({ socket }) => {
            socket.write(bytes, () => end(socket, "reset after a moment"));
        });
        if (!isUnknown(told)) {
            fixture.mistakes.push(describe(call, "reset", told));
        }
    }
});

/** What a whole answer to an order states by its status alone. */
const orderAnswers: Readonly<Record<string, string>> = {
    200: "alreadyHolds",
    202: "accepted",
    409: "conflict",
    412: "fenced",
};

function isStated(call: OutsideCall, told: unknown, bytes: Buffer): boolean {
    const status = bytes.toString("latin1", "HTTP/1.1 ".length, "HTTP/1.1 200".length);
    return call.endpoint === "order" && told === orderAnswers[status];
}

/** Answers that no call has, by what they are. */
const oddAnswers: ReadonlyMap<string, Buffer> = new Map([
    ["an empty 200", encodeAnswer({ status: 200, body: Buffer.alloc(0) }, "length")],
    ["204", Buffer.from("HTTP/1.1 204 No Content\r\nStore-Era: 1\r\n\r\n")],
    [
        "a 200 as HTML",
        Buffer.from("HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 13\r\n\r\n<html></html>"),
    ],
    ["an empty object", encodeAnswer(createJsonAnswer(200, {}), "length")],
    ["an empty list", encodeAnswer(createJsonAnswer(200, []), "length")],
    ["a redirect", Buffer.from("HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n")],
    ["500", encodeAnswer({ status: 500, body: Buffer.alloc(0) }, "length")],
    ["502", encodeAnswer({ status: 502, body: Buffer.alloc(0) }, "length")],
    ["an early answer of another protocol", Buffer.from("SSH-2.0-any\r\n")],
    ["100 and the end", Buffer.from("HTTP/1.1 100 Continue\r\n\r\n")],
    ["103 and the end", Buffer.from("HTTP/1.1 103 Early Hints\r\n\r\n")],
    ["nothing", Buffer.alloc(0)],
]);

When("every call gets each answer that no call has", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    for (const call of outsideCalls) {
        for (const [name, bytes] of oddAnswers) {
            const told = await askOnce(fixture, call, ({ socket }) => socket.end(bytes));
            if (!isUnknown(told) && !isStated(call, told, bytes)) {
                fixture.mistakes.push(describe(call, name, told));
            }
        }
    }
});

When("every call gets the answer to each other call", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    for (const call of outsideCalls) {
        for (const other of outsideCalls) {
            const bytes = encodeAnswer(other.answer, "length");
            const told = await askOnce(fixture, call, ({ socket }) => socket.end(bytes));
            if (call.endpoint !== other.endpoint && !isUnknown(told) && !isStated(call, told, bytes)) {
                fixture.mistakes.push(describe(call, `the answer to ${other.name}`, told));
            }
        }
    }
});

/** Two calls on one connection, the second one after the answer to the first. */
interface CallPair {
    readonly name: string;
    readonly first: (clients: OutsideClients) => Promise<unknown>;
    readonly firstAnswer: PlainAnswer;
    readonly second: (clients: OutsideClients) => Promise<unknown>;
    readonly secondAnswer: PlainAnswer;
}

const value = Buffer.from("value");

const events = (next: number, numbers: readonly number[]) =>
    createJsonAnswer(200, {
        epoch: 7,
        next,
        lost: false,
        events: numbers.map(number => [number, "+", "s1", `part-${number}`, 800, "easy-read"]),
    });

const callPairs: readonly CallPair[] = [
    {
        name: "records to the end",
        first: ({ store }) => store.readKeyed("topic", 3, 0),
        firstAnswer: createRecordsAnswer(5, ["one", "two"]),
        second: ({ store }) => store.readKeyed("topic", 5, 0),
        secondAnswer: createRecordsAnswer(6, ["three"]),
    },
    {
        name: "the first of many records",
        first: ({ store }) => store.readKeyed("topic", 3, 0),
        firstAnswer: createRecordsAnswer(20, ["one", "two"]),
        second: ({ store }) => store.readKeyed("topic", 5, 0),
        secondAnswer: createRecordsAnswer(20, ["three"]),
    },
    {
        name: "claims",
        first: ({ store }) => store.readPlain("topic", 0),
        firstAnswer: createRecordsAnswer(2, ["one", "two"]),
        second: ({ store }) => store.readPlain("topic", 2),
        secondAnswer: createRecordsAnswer(3, ["three"]),
    },
    {
        name: "appends",
        first: ({ store }) => store.putKeyed("topic", "entry-1", value),
        firstAnswer: createJsonAnswer(200, { offset: 4, end: 5 }),
        second: ({ store }) => store.putKeyed("topic", "entry-1", value),
        secondAnswer: createJsonAnswer(200, { offset: 9, end: 10 }),
    },
    {
        name: "conditional appends",
        first: ({ store }) => store.appendAt("topic", 4, value),
        firstAnswer: createJsonAnswer(200, { offset: 4, end: 5 }),
        second: ({ store }) => store.appendAt("topic", 5, value),
        secondAnswer: createJsonAnswer(412, { end: 6 }),
    },
    {
        name: "a conditional append after one that came too late",
        first: ({ store }) => store.appendAt("topic", 4, value),
        firstAnswer: createJsonAnswer(412, { end: 5 }),
        second: ({ store }) => store.appendAt("topic", 5, value),
        secondAnswer: createJsonAnswer(200, { offset: 5, end: 6 }),
    },
    {
        name: "changes of parts",
        first: clients => readEvents(clients, 4),
        firstAnswer: events(6, [5, 6]),
        second: clients => readEvents(clients, 6),
        secondAnswer: events(7, [7]),
    },
    {
        name: "a list after changes",
        first: clients => readEvents(clients, 4),
        firstAnswer: events(6, [5, 6]),
        second: listParts,
        secondAnswer: createJsonAnswer(200, { epoch: 7, next: 6, held: [["s1", "part-1", 800, "easy-read"]] }),
    },
    {
        name: "an order after an order",
        first: order,
        firstAnswer: createJsonAnswer(200, {}),
        second: order,
        secondAnswer: createJsonAnswer(409, {}),
    },
];

/** When the bytes of an answer arrive that is written once more. */
type Extra = "ahead of the next answer" | "behind it in the same bytes" | "behind it a moment later";

const extras: readonly Extra[] = [
    "ahead of the next answer",
    "behind it in the same bytes",
    "behind it a moment later",
];

async function pause(delayMs: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, delayMs));
}

async function playPair(fixture: CallFixture, pair: CallPair, extra: Extra): Promise<void> {
    const first = encodeAnswer(pair.firstAnswer, "length");
    const second = encodeAnswer(pair.secondAnswer, "length");
    let isFirst = true;
    fixture.setAnswer(({ socket, index }) => {
        if (isFirst) {
            socket.write(extra === "behind it in the same bytes" ? Buffer.concat([first, first]) : first);
            if (extra === "behind it a moment later") {
                setTimeout(() => socket.write(first), 2);
            }
            return;
        }
        socket.write(extra === "ahead of the next answer" && index > 0 ? Buffer.concat([first, second]) : second);
    });
    const clients = createOutsideClients(fixture.address);
    const toldFirst = await pair.first(clients);
    isFirst = false;
    const told = await pair.second(clients);
    await pause(5);
    const toldNext = await pair.second(clients);
    close(clients);
    const other = createOutsideClients(fixture.address);
    const whole = await pair.second(other);
    close(other);
    assert.ok(!isUnknown(whole) && !isUnknown(toldFirst), `${pair.name}: ${JSON.stringify([toldFirst, whole])}`);
    const isTrue = (one: unknown) => isUnknown(one) || isDeepStrictEqual(one, whole);
    if (!isTrue(told) || !isTrue(toldNext)) {
        fixture.mistakes.push(`${pair.name}, ${extra}: ${JSON.stringify([told, toldNext])}`);
    }
}

When(
    "each call gets the earlier answer on its connection once more, ahead of its own or behind the earlier one",
    async function(this: SiteWorld) {
        for (const pair of callPairs) {
            for (const extra of extras) {
                await playPair(getFixture(this), pair, extra);
            }
        }
    },
);

When("each call gets the answer to the call before it, which came too late", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    for (const pair of callPairs) {
        const sockets: Socket[] = [];
        fixture.setAnswer(({ socket }) => sockets.push(socket));
        const clients = createOutsideClients(fixture.address);
        assert.ok(isUnknown(await pair.first(clients)), pair.name);
        fixture.setAnswer(({ socket }) => {
            sockets[0]!.write(encodeAnswer(pair.firstAnswer, "length"));
            setTimeout(() => socket.write(encodeAnswer(pair.secondAnswer, "length")), 2);
        });
        const told = await pair.second(clients);
        const whole = await pair.second(clients);
        close(clients);
        if (!isUnknown(told) && !isDeepStrictEqual(told, whole)) {
            fixture.mistakes.push(`${pair.name}, late: ${JSON.stringify(told)}`);
        }
    }
});

/** Reads all newest records, page by page, and records a mistake unless the read fails. */
async function readPages(fixture: CallFixture, pages: readonly PlainAnswer[]): Promise<void> {
    let count = 0;
    fixture.setAnswer(({ socket }) => {
        socket.write(encodeAnswer(pages[count]!, "length"));
        count += 1;
    });
    const clients = createOutsideClients(fixture.address);
    const told = await clients.store.readNewest("topic");
    close(clients);
    if (!isUnknown(told)) {
        fixture.mistakes.push(JSON.stringify(told));
    }
}

When("a read of all newest records gets its first page once more", async function(this: SiteWorld) {
    const first = createNewestAnswer(["a", "b"], true);
    await readPages(getFixture(this), [first, first, createNewestAnswer(["c"], false)]);
});

When("a page of newest records is empty though more follow", async function(this: SiteWorld) {
    await readPages(getFixture(this), [createNewestAnswer([], true)]);
});

When("the store no longer knows a topic whose records were read", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    const clients = createOutsideClients(fixture.address);
    fixture.setAnswer(({ socket }) => socket.write(encodeAnswer(createNewestAnswer(["a"], false), "length")));
    assert.ok(!isUnknown(await clients.store.readNewest("topic")));
    fixture.setAnswer(({ socket }) => socket.write(encodeAnswer(createJsonAnswer(404, {}), "length")));
    const newest = await clients.store.readNewest("topic");
    const read = await clients.store.readKeyed("topic", 9, 0);
    close(clients);
    if (!isUnknown(newest) || read.kind === "records") {
        fixture.mistakes.push(JSON.stringify([newest, read]));
    }
});

Then("no call has taken what was not said", function(this: SiteWorld) {
    const { mistakes } = getFixture(this);
    assert.equal(mistakes.length, 0, `${mistakes.length} mistakes\n${mistakes.slice(0, 40).join("\n")}`);
});
