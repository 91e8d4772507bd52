/**
 * @module
 * Steps with upstreams that send bytes until their connection is closed.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import * as z from "zod";
import { createRandom } from "../../bench/faults/platform/createRandom.js";
import { createPlainPlacement, createProxyRequest, createRecord } from "../../bench/support/proxyFixtures.js";
import { type EndlessForm, findEndlessForm } from "../../fakes/endlessForms.js";
import { type EndlessCut, sendEndless } from "../../fakes/sendEndless.js";
import { type ScriptedUpstream, startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import { createEngineOrders } from "../../platform/createEngineOrders.js";
import { createPartReader } from "../../platform/createPartReader.js";
import { createStoreClient } from "../../platform/createStoreClient.js";
import { createHealthView } from "../../src/core/placement/createHealthView.js";
import { type AnswerHolding, type AnswerMemory, createAnswerMemory } from "../../src/core/proxy/createAnswerMemory.js";
import type { SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import { createStoreEra } from "../../src/core/store/createStoreEra.js";
import { createEventSplitter } from "../../src/core/stream/createEventSplitter.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createPeerStateReader } from "../../src/io/fleet/createPeerStateReader.js";
import { createCallJson } from "../../src/io/platform/callJson.js";
import { createConnectionPool } from "../../src/io/proxy/createConnectionPool.js";
import { createIndifferentCaller, createSenderFixture } from "../support/createSenderFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface EndlessFixture {
    readonly upstream: ScriptedUpstream;
    readonly sockets: readonly Socket[];
    readonly memory: AnswerMemory;
    /** Failures that were recorded of the upstream. */
    failures: number;
    outcome: SendOutcome | undefined;
    /** Why a read failed; undefined while none has. */
    failure: string | undefined;
}

const fixtures = new WeakMap<SiteWorld, EndlessFixture>();

function getFixture(world: SiteWorld): EndlessFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

const bytesPerMegabyte = 1_000_000;

/** In which sizes a form is sent. */
const largePieces: EndlessCut = { chunks: "16 KB", segments: "16 KB" };

async function startEndless(world: SiteWorld, form: EndlessForm, lines = ""): Promise<void> {
    const sockets: Socket[] = [];
    const upstream = await startScriptedUpstream(({ socket }) => {
        sockets.push(socket);
        void sendEndless(socket, form, { attempt: "attempt-1", lines }, largePieces, createRandom(1));
    });
    fixtures.set(world, {
        upstream,
        sockets,
        memory: createAnswerMemory(32 << 20),
        failures: 0,
        outcome: undefined,
        failure: undefined,
    });
    world.cleanups.push(() => upstream.stop());
}

Given(/^an upstream that sends (.+) without end$/, async function(this: SiteWorld, name: string) {
    await startEndless(this, findEndlessForm(name));
});

/** Time until a request's deadline, in milliseconds. */
const deadlineMs = 4_000;

When(
    /^a caller's (non-idempotent|stream|resumable stream) request is sent to it$/,
    async function(this: SiteWorld, kind: string) {
        const fixture = getFixture(this);
        const clock = createSystemClock();
        const pool = createConnectionPool(clock);
        this.cleanups.unshift(() => {
            pool.close();
            return Promise.resolve();
        });
        const send = createSenderFixture({
            clock,
            connections: pool,
            health: {
                ...createHealthView(),
                recordFailure: () => {
                    fixture.failures += 1;
                },
            },
            answerMemory: fixture.memory,
        });
        const req = createProxyRequest(
            kind === "non-idempotent" ? "nonIdempotent" : "stream",
            { deadlineMs: clock.now() + deadlineMs },
            kind === "resumable stream",
        );
        const placement = createPlainPlacement(createRecord({ address: fixture.upstream.address }));
        const effect = {
            kind: "send",
            placement,
            needsFreshConnection: true,
            lastEventId: undefined,
            mayBeReplaced: () => true,
        } as const;
        fixture.outcome = await new Promise<SendOutcome>(resolve => {
            send(req, effect, createIndifferentCaller(), resolve);
        });
    },
);

Then("the send is lost before its deadline", function(this: SiteWorld) {
    assert.equal(getFixture(this).outcome?.kind, "lost");
});

Then("the upstream counts as failing", function(this: SiteWorld) {
    assert.equal(getFixture(this).failures, 1);
});

Then(
    "it has sent at most {int} MB when its connection is closed",
    async function(this: SiteWorld, megabytes: number) {
        const { sockets } = getFixture(this);
        for (const socket of sockets) {
            if (!socket.closed) {
                await new Promise(resolve => socket.once("close", resolve));
            }
            assert.ok(socket.bytesWritten <= megabytes * bytesPerMegabyte, `${socket.bytesWritten} bytes`);
        }
        assert.ok(sockets.length > 0);
    },
);

Then("nothing of the answer is held", function(this: SiteWorld) {
    assert.equal(getFixture(this).memory.totalBytes(), 0);
});

interface MemoryFixture {
    readonly memory: AnswerMemory;
    readonly ended: string[];
}

const memories = new WeakMap<SiteWorld, MemoryFixture>();

Given("a memory of {int} bytes for answers in progress", function(this: SiteWorld, maxBytes: number) {
    memories.set(this, { memory: createAnswerMemory(maxBytes), ended: [] });
});

When(
    "answers hold {int}, {int} and {int} bytes, and the smallest one grows to {int}",
    function(this: SiteWorld, first: number, second: number, third: number, grownTo: number) {
        const { memory, ended } = memories.get(this)!;
        const open = (name: string): AnswerHolding => {
            const holding: AnswerHolding = memory.open(() => {
                ended.push(name);
                holding.close();
            });
            return holding;
        };
        const holdings = [first, second, third].map(bytes => {
            const holding = open(String(bytes));
            holding.set(bytes);
            return holding;
        });
        holdings.at(-1)!.set(grownTo);
    },
);

Then("only the answer of {int} bytes is ended", function(this: SiteWorld, bytes: number) {
    assert.deepEqual(memories.get(this)!.ended, [String(bytes)]);
});

Then("{int} bytes are held", function(this: SiteWorld, bytes: number) {
    assert.equal(memories.get(this)!.memory.totalBytes(), bytes);
});

const streamText = fc.string({ unit: fc.constantFrom("\n", "\r", "a", ":", "i", "d"), maxLength: 60 });

/** Returns what follows the last blank line of the whole stream. */
function findIncomplete(text: string): string {
    let lineStart: number | undefined;
    let complete = 0;
    for (const lineEnd of text.matchAll(/\r\n|\n|\r/g)) {
        const end = lineEnd.index + lineEnd[0].length;
        complete = lineEnd.index === lineStart ? end : complete;
        lineStart = end;
    }
    return text.slice(complete);
}

/** Removes line ends before an event: they belong to none, and may arrive in the chunk after a blank line. */
function removeLeadingLineEnds(text: string): string {
    return text.replace(/^[\r\n]+/, "");
}

Then(
    "over {int} random streams with seed {int} the splitter finds the same events as a search of the whole stream",
    (runs: number, seed: number) => {
        fc.assert(
            fc.property(streamText, fc.array(fc.integer({ min: 1, max: 7 }), { minLength: 1, maxLength: 5 }), (
                text,
                sizes,
            ) => {
                const splitter = createEventSplitter();
                let emitted = 0;
                let start = 0;
                for (let index = 0; start < text.length; index += 1) {
                    const end = start + sizes[index % sizes.length]!;
                    emitted += splitter.push(Buffer.from(text.slice(start, end)))?.length ?? 0;
                    start = end;
                }
                assert.equal(emitted + splitter.pendingBytes(), text.length);
                const incomplete = removeLeadingLineEnds(text.slice(emitted));
                assert.equal(
                    incomplete,
                    removeLeadingLineEnds(findIncomplete(text)),
                    JSON.stringify({ text, emitted }),
                );
            }),
            { numRuns: runs, seed },
        );
    },
);

/** Lines of a head that each call accepts. */
const jsonLines = "Store-Era: 1\r\nContent-Type: application/json\r\n";

Given("a server that answers every call with a body without end", async function(this: SiteWorld) {
    await startEndless(this, findEndlessForm("a body without framing"), jsonLines);
});

/** Reason of a failure at a time limit. */
const timeLimit = /timeout|aborted/i;

/** Reads that return why they failed. */
const reads: ReadonlyMap<string, (address: string) => Promise<string | undefined>> = new Map([
    ["a topic of the store", async (address: string) => {
        const store = createStoreClient(address, createStoreEra().accept);
        const read = await store.readNewest("topic");
        return read.kind === "failed" ? read.reason : undefined;
    }],
    ["the parts of a holder", async (address: string) => {
        const holder = { id: "u-1", address, isNamed: true, maxReaders: 1, isListed: true };
        const read = await createPartReader().listParts(holder);
        return read.kind === "failed" ? read.reason : undefined;
    }],
    ["the state of an engine", async (address: string) => {
        const state = await createEngineOrders().readState(createRecord({ address }), "easy-read");
        return state === undefined ? "no state" : undefined;
    }],
    ["the state of a peer", async (address: string) => {
        const state = await createPeerStateReader().read(address, { tableVersion: 0, upstreamsDigest: "" });
        return state === undefined ? "no state" : undefined;
    }],
    ["JSON of an outside call", async (address: string) => {
        const { call } = createCallJson(1_000);
        const read = await call({
            method: "GET",
            url: `http://${address}/`,
            timeoutMs: 10_000,
            schema: z.unknown(),
        });
        return read.isErr ? read.error.detail : undefined;
    }],
]);

When(
    /^(a topic of the store|the parts of a holder|the state of an engine|the state of a peer|JSON of an outside call) is read from it$/,
    async function(this: SiteWorld, what: string) {
        const fixture = getFixture(this);
        fixture.failure = await reads.get(what)!(fixture.upstream.address);
    },
);

Then("the read has failed, and not for lack of time", function(this: SiteWorld) {
    const { failure } = getFixture(this);
    assert.ok(failure !== undefined);
    assert.doesNotMatch(failure, timeLimit);
});
