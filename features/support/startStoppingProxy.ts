/**
 * @module
 * The proxy of an instance over loopback with upstreams whose answers a scenario writes; its stop runs on a virtual clock.
 */
import { createServer, request, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { advanceClock } from "../../bench/support/advanceClock.js";
import { createPlacerFixture } from "../../bench/support/placerFixtures.js";
import { createRecord, createRoute, createTable } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import {
    type ScriptedRequest,
    type ScriptedUpstream,
    startScriptedUpstream,
} from "../../fakes/startScriptedUpstream.js";
import { createCodec } from "../../platform/createCodec.js";
import { createMemoryBudget } from "../../src/core/memory/createMemoryBudget.js";
import { createAnswerMemory } from "../../src/core/proxy/createAnswerMemory.js";
import { indexRoutes } from "../../src/core/routes/indexRoutes.js";
import type { RequestKind } from "../../src/core/routes/routingTable.js";
import { createShutdown } from "../../src/core/shutdown/createShutdown.js";
import { createConnectionPool } from "../../src/io/proxy/createConnectionPool.js";
import { createProxyService } from "../../src/io/proxy/createProxyService.js";
import { runShutdown } from "../../src/io/shutdown/runShutdown.js";
import { createSenderFixture } from "./createSenderFixture.js";

/** What a caller sends. */
export interface StoppingProxyCall {
    readonly kind: RequestKind;
    readonly deadlineMs: number;
    /** Whether the second half of the body is sent only by {@link CallerRecord.sendRest}. */
    readonly isHalf?: boolean;
}

/** What a caller has received; undefined fields until then. */
export interface CallerRecord {
    status: number | undefined;
    body: string;
    /** Whether the answer, or its connection, has ended. */
    isOver: boolean;
    /** Whether the answer ended as its framing says. */
    isComplete: boolean;
    /** Sends the second half of the body. */
    readonly sendRest: () => void;
}

/** The running proxy. */
export interface StoppingProxy {
    /** Sends a request. */
    readonly call: (call: StoppingProxyCall) => CallerRecord;
    /** Sends requests on one connection, and returns what the connection received so far. */
    readonly callPipelined: (calls: readonly StoppingProxyCall[]) => () => string;
    /** The requests that upstreams have received, in order. */
    readonly received: readonly ScriptedRequest[];
    /** Number of requests that are received, in progress, or whose answers are not written out. */
    readonly countActive: () => number;
    /** Number of requests that wait for an upstream. */
    readonly countWaiting: () => number;
    /** Gives the order to stop. */
    readonly beginStop: () => void;
    /** Advances the clock to a time after the order to stop, or after the start if there was none. */
    readonly advanceTo: (afterMs: number) => Promise<void>;
    readonly stop: () => Promise<void>;
}

/** How many upstreams there are, and how many requests each runs at once. */
export interface StoppingProxyOptions {
    readonly upstreams: number;
    readonly slots: number;
    readonly graceMs: number;
}

const host = "letters.example";
const body = "letter";
const timeoutMs = 15_000;

/** Number of runs that the routes allow. */
const attempts = 3;

/** Time after which a condition that does not come true fails the step, and between two looks, in milliseconds. */
const maxWaitMs = 5_000;
const pollMs = 2;

/** Waits on the machine's clock until a condition is true; throws when it does not become so. */
export async function waitUntil(isTrue: () => boolean, what: string): Promise<void> {
    for (let waitedMs = 0; !isTrue(); waitedMs += pollMs) {
        if (waitedMs >= maxWaitMs) {
            throw new Error(`in vain: ${what}`);
        }
        await delay(pollMs);
    }
}

function createRoutes(): ReturnType<typeof indexRoutes> {
    const kinds: readonly RequestKind[] = ["idempotent", "nonIdempotent", "stream"];
    const routes = kinds.map(kind =>
        createRoute({
            name: kind,
            pathPrefix: `/${kind}/`,
            kind,
            timeoutMs,
            targetLatencyMs: timeoutMs,
            attempts,
            isOpen: true,
            isResumable: kind === "stream",
        })
    );
    return indexRoutes(createTable({ routes, customers: [] }));
}

function sendCall(port: number, id: string, { kind, deadlineMs, isHalf = false }: StoppingProxyCall): CallerRecord {
    const half = body.length / 2;
    const headers = { host, "attempt-id": id, "time-budget": String(deadlineMs), "content-length": body.length };
    const options = { port, host: "127.0.0.1", method: "POST", path: `/${kind}/${id}`, agent: false, headers };
    const req = request(options);
    const record: CallerRecord = {
        status: undefined,
        body: "",
        isOver: false,
        isComplete: false,
        sendRest: () => req.end(body.slice(half)),
    };
    req.on("response", res => {
        record.status = res.statusCode;
        res.setEncoding("utf8");
        res.on("data", text => {
            record.body += text;
        });
        res.on("error", () => undefined);
        res.on("close", () => {
            record.isComplete = res.complete;
            record.isOver = true;
        });
    });
    req.on("error", () => {
        record.isOver = true;
    });
    req.write(body.slice(0, half));
    if (!isHalf) {
        record.sendRest();
    }
    return record;
}

/** Sends requests on one connection, each behind the one before, and returns what the connection received so far. */
function sendPipelined(port: number, calls: readonly StoppingProxyCall[]): () => string {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.setEncoding("utf8");
    socket.on("data", chunk => {
        text += String(chunk);
    });
    socket.on("error", () => undefined);
    calls.forEach(({ kind, deadlineMs }, index) => {
        const head = `POST /${kind}/1 HTTP/1.1\r\nhost: ${host}\r\nattempt-id: pipelined-${index}\r\n`;
        socket.write(`${head}time-budget: ${deadlineMs}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    });
    return () => text;
}

/** Starts the proxy; upstreams answer only what a scenario writes. */
export async function startStoppingProxy(options: StoppingProxyOptions): Promise<StoppingProxy> {
    const received: ScriptedRequest[] = [];
    const upstreams: readonly ScriptedUpstream[] = await Promise.all(
        Array.from({ length: options.upstreams }, () => startScriptedUpstream(req => received.push(req))),
    );
    const clock = createVirtualClock(1);
    const { placer, registry, health } = createPlacerFixture(clock, []);
    const records = upstreams.map(({ address }, index) =>
        createRecord({ id: `u-${index + 1}`, address, slots: options.slots })
    );
    registry.applyList(records, 0);
    const connections = createConnectionPool(clock);
    const answerMemory = createAnswerMemory(32 << 20);
    const codec = createCodec();
    const shutdown = createShutdown({
        graceMs: options.graceMs,
        mayBeListed: () => true,
        hasServingPeer: () => true,
    });
    const send = createSenderFixture({ clock, connections, health, answerMemory });
    const routes = createRoutes();
    const service = createProxyService({
        clock,
        random: clock.random,
        codec,
        writeLog: () => undefined,
        placer,
        send,
        retryBudget: { recordRequest: () => undefined, tryAcquire: () => true, hasRetry: () => true },
        routes: () => routes,
        describeOutdated: () => ({}),
        findRateLimit: () => undefined,
        shutdown,
        readArrived: () => Promise.resolve(true),
        bodyMemory: createMemoryBudget({ maxBytes: Infinity, onReleased: () => undefined, now: () => 0 }),
        onEvicted: () => undefined,
        answerMemory,
        onRetry: () => undefined,
        onSendBegin: () => undefined,
        onSend: () => undefined,
        onPlaced: () => undefined,
        onRefusal: () => undefined,
        onEnd: () => undefined,
    });
    const server: Server = createServer(service.handle);
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    let calls = 0;
    let orderedMs = 0;
    return {
        call: call => {
            calls += 1;
            return sendCall((server.address() as AddressInfo).port, `attempt-${calls}`, call);
        },
        callPipelined: pipelined => sendPipelined((server.address() as AddressInfo).port, pipelined),
        received,
        countActive: service.countActive,
        countWaiting: placer.countWaiting,
        beginStop: () => {
            orderedMs = clock.now();
            shutdown.begin(orderedMs);
            void runShutdown({
                clock,
                shutdown,
                readArrived: () => Promise.resolve(true),
                readLoad: () => ({ requests: service.countActive(), connections: 0, hasDuties: false }),
                refuseLate: service.refuseLate,
                stopRequests: service.stopRequests,
                holdConnections: () => () => undefined,
                stopListening: () => undefined,
                closeCallers: () => server.closeAllConnections(),
            });
        },
        advanceTo: afterMs => advanceClock(clock, orderedMs + afterMs),
        stop: async () => {
            connections.close();
            server.closeAllConnections();
            await new Promise(resolve => {
                server.close(resolve);
            });
            await Promise.all(upstreams.map(upstream => upstream.stop()));
        },
    };
}
