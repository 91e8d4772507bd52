/**
 * @module
 * Steps on upstreams that answer while the request is still being written to them.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { createPlainPlacement, createProxyRequest, createRecord } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import type { RequestKind } from "../../src/core/routes/routingTable.js";
import { createConnectionPool } from "../../src/io/proxy/createConnectionPool.js";
import type { SendToUpstream } from "../../src/io/proxy/upstreamSenderTypes.js";
import { own, sized, typed, writeEvents } from "../support/answerForms.js";
import { createIndifferentCaller, createSenderFixture } from "../support/createSenderFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { keptRequestId, startEarlyUpstream } from "../support/startEarlyUpstream.js";

interface EarlyFixture {
    readonly answer: string;
    readonly kind: RequestKind;
    readonly end: (socket: Socket) => void;
    outcomes: readonly SendOutcome[];
}

/** One upload. */
interface Upload {
    readonly bytes: number;
    readonly isRead: boolean;
    readonly isKept: boolean;
}

const fixtures = new WeakMap<SiteWorld, EarlyFixture>();
const received = new WeakMap<SiteWorld, Buffer>();

const body = "b".repeat(400);

const answers: Readonly<Record<string, string>> = {
    "a body without a length": `HTTP/1.1 200 OK\r\n${own}\r\n${body}`,
    "a body without a length and \"Connection: close\"": `HTTP/1.1 200 OK\r\n${own}Connection: close\r\n\r\n${body}`,
    "a body without a length in HTTP/1.0": `HTTP/1.0 200 OK\r\n${own}\r\n${body}`,
    "a status line without a reason": `HTTP/1.1 200\r\n${own}\r\n${body}`,
    "two events without a length": `HTTP/1.1 200 OK\r\n${own}${typed}\r\n${writeEvents([1, 2])}`,
    "a head without a length": `HTTP/1.1 200 OK\r\n${own}\r\n`,
    "a 500 without a length": `HTTP/1.1 500 Failed\r\n${own}\r\n${body}`,
};

/** Ends by name; the others are resets after a time. */
const ends: ReadonlyMap<string, (socket: Socket) => void> = new Map<string, (socket: Socket) => void>([
    ["closes its side", socket => socket.end()],
    // The answer and the reset have both arrived when the other side reads.
    ["resets the connection at once", socket => socket.resetAndDestroy()],
]);

function resetLater(delayMs: number): (socket: Socket) => void {
    return socket => void setTimeout(() => socket.resetAndDestroy(), delayMs);
}

Given(
    /^an upstream that answers the head of an upload with (.+) and (closes its side|resets the connection .+)$/,
    function(this: SiteWorld, form: string, end: string) {
        const answer = answers[form];
        assert.ok(answer !== undefined, form);
        fixtures.set(this, {
            answer,
            kind: answer.includes(typed) ? "stream" : "nonIdempotent",
            end: ends.get(end) ?? resetLater(Number(/after (\d+) ms/.exec(end)?.[1])),
            outcomes: [],
        });
    },
);

async function sendOnce(
    send: SendToUpstream,
    address: string,
    kind: RequestKind,
    request: { readonly id: string; readonly body: Buffer; },
): Promise<SendOutcome> {
    const { id, body: requestBody } = request;
    const req = createProxyRequest(kind, {
        id,
        headers: [["host", "letters.example"], ["attempt-id", id]],
        body: requestBody,
    });
    const effect = {
        kind: "send",
        placement: createPlainPlacement(createRecord({ address })),
        needsFreshConnection: true,
        lastEventId: undefined,
        mayBeReplaced: () => true,
    } as const;
    return new Promise(resolve => {
        send(req, effect, createIndifferentCaller(), resolve);
    });
}

async function upload(world: SiteWorld, { bytes, isRead, isKept }: Upload): Promise<SendOutcome> {
    const { answer, kind, end } = fixtures.get(world)!;
    const upstream = await startEarlyUpstream({ answer, isRead, end });
    const clock = createVirtualClock(1);
    const connections = createConnectionPool(clock);
    world.cleanups.push(async () => {
        connections.close();
        await upstream.stop();
    });
    const send = createSenderFixture({ clock, connections });
    if (isKept) {
        const first = await sendOnce(send, upstream.address, "nonIdempotent", {
            id: keptRequestId,
            body: Buffer.from("u"),
        });
        assert.equal(first.kind, "answered");
        await new Promise(resolve => setImmediate(resolve));
    }
    const outcome = await sendOnce(send, upstream.address, kind, { id: "attempt-1", body: Buffer.alloc(bytes, "u") });
    assert.equal(upstream.countConnections(), 1);
    return outcome;
}

const lastByte = "|";

When(
    "an upload of {int} bytes is answered early, and another request is sent before the upstream reads on",
    async function(this: SiteWorld, bytes: number) {
        const answer = `HTTP/1.1 200 OK\r\n${own}${sized("body")}\r\nbody`;
        const upstream = await startEarlyUpstream({ answer, isRead: false, end: () => undefined });
        const clock = createVirtualClock(1);
        const connections = createConnectionPool(clock);
        this.cleanups.push(() => connections.close(), upstream.stop);
        const send = createSenderFixture({ clock, connections });
        const first = { id: "attempt-1", body: Buffer.alloc(bytes, "u") };
        assert.equal((await sendOnce(send, upstream.address, "nonIdempotent", first)).kind, "answered");
        await new Promise(resolve => setImmediate(resolve));
        void sendOnce(send, upstream.address, "nonIdempotent", { id: "attempt-2", body: Buffer.from(lastByte) });
        received.set(this, await upstream.readOn(lastByte));
    },
);

Then(
    "the upstream has received {int} bytes of the upload and then the other request",
    function(this: SiteWorld, bytes: number) {
        const whole = received.get(this)!;
        const bodyStart = whole.indexOf("\r\n\r\n") + "\r\n\r\n".length;
        const bodyEnd = bodyStart + bytes;
        assert.ok(whole.subarray(bodyStart, bodyEnd).equals(Buffer.alloc(bytes, "u")));
        assert.match(whole.subarray(bodyEnd).toString(), /^POST [^]+attempt-id: attempt-2\r\n[^]+\r\n\r\n\|$/i);
    },
);

const uploadBytes = [200_000, 2_000_000, 3_500_000, 32_000_000];

When(
    "uploads of 0.2, 2, 3.5 and 32 MB are sent to it, read and not read, on new and on kept connections",
    async function(this: SiteWorld) {
        const uploads = uploadBytes.flatMap(bytes =>
            [true, false].flatMap(isRead => [true, false].map(isKept => ({ bytes, isRead, isKept })))
        );
        fixtures.get(this)!.outcomes = await Promise.all(uploads.map(one => upload(this, one)));
    },
);

Then("each of them counts as {word}", function(this: SiteWorld, kind: string) {
    const { outcomes } = fixtures.get(this)!;
    assert.deepEqual(outcomes.map(outcome => outcome.kind), Array(2 * 2 * uploadBytes.length).fill(kind));
});
