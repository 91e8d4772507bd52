/**
 * @module
 * A caller, an instance on a virtual clock, and an engine with version 1 that writes what a scenario tells it to.
 */
import { createServer, request } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setImmediate as flush } from "node:timers/promises";
import { advanceClock } from "../../bench/support/advanceClock.js";
import { createRecord, createRoute, createTable } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { startScriptedUpstream } from "../../fakes/startScriptedUpstream.js";
import type { Fleet } from "../../src/assemble/assembleFleet.js";
import { assemblePermits } from "../../src/assemble/assemblePermits.js";
import { assembleProxy } from "../../src/assemble/assembleProxy.js";
import { assembleQuarantine } from "../../src/assemble/assembleQuarantine.js";
import { assembleViews } from "../../src/assemble/assembleViews.js";
import type { InstanceContext } from "../../src/assemble/routerPorts.js";
import type { LogEventName } from "../../src/core/logEvents/logEventTable.js";
import type { RecordStore, StoreFailure } from "../../src/core/ports/recordStore.js";
import type { UpstreamRecord } from "../../src/core/registry/upstreamRecord.js";
import { createShutdown } from "../../src/core/shutdown/createShutdown.js";
import { createInstanceContext } from "./createInstanceContext.js";
import { streamHeaders } from "./platformFixture.js";

/** What the caller has received. */
export interface OutdatedAnswer {
    readonly status: number;
    readonly text: string;
}

/** A line of the instance's log. */
export interface LoggedLine {
    readonly event: LogEventName;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** The running path; times are milliseconds after the start of the instance. */
export interface OutdatedPath {
    readonly logged: readonly LoggedLine[];
    readonly advanceTo: (atMs: number) => Promise<void>;
    /** Tells the instance of version 2; `ageMs` is undefined if nobody knows its age. */
    readonly nameVersion: (ageMs: number | undefined) => void;
    /** Tells the instance that versions may have been named unnoticed until now. */
    readonly endGap: () => void;
    readonly beginStop: () => void;
    /** Sends the caller's stream, and waits until the engine has it. */
    readonly send: (isResumable: boolean) => Promise<void>;
    /** Number of requests that the engine has got, after a bounded wait for more than a number. */
    readonly countRequests: (moreThan: number) => Promise<number>;
    /** Writes bytes of the engine's answer, and waits until the instance has read them. */
    readonly write: (text: string) => Promise<void>;
    /** Lets an engine join that has version 2 and answers at once. */
    readonly addCurrentEngine: () => Promise<void>;
    /** Breaks off the engine's answer. */
    readonly breakOff: () => Promise<void>;
    /** Lets an engine join that has version 1; returns how many requests it has got, after a bounded wait for one. */
    readonly addOldEngine: () => Promise<() => Promise<number>>;
    /** Waits for a bounded time until the connection of the engine is closed; returns whether it is. */
    readonly waitClosed: () => Promise<boolean>;
    /** Resolves to the caller's answer. */
    readonly readAnswer: () => Promise<OutdatedAnswer>;
    readonly stop: () => Promise<void>;
}

/** Bytes of an engine's answer. */
export const streamBytes = {
    head: "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n",
    event: "11\r\nid: 1\ndata: one\n\n\r\n",
    end: "0\r\n\r\n",
};

const model = "easy-read";
const storeFailure: StoreFailure = { kind: "failed", cause: "connection", reason: "not used" };

const unusedStore: RecordStore = {
    readNewest: () => Promise.resolve(storeFailure),
    readKeyed: () => new Promise(() => undefined),
    readPlain: () => new Promise(() => undefined),
    appendAt: () => Promise.resolve(storeFailure),
    putKeyed: () => Promise.resolve(storeFailure),
    close: () => undefined,
};

/** The fleet of an instance without others. */
const loneFleet = {
    reportPrefill: () => undefined,
    isDirect: () => true,
    countInstances: () => 1,
} as unknown as Fleet;

/** Turns of the event loop in which what was written has arrived, and longest wait for it in milliseconds. */
const arrivalTurns = 20;
const arrivalMs = 2_000;

async function waitUntil(isTrue: () => boolean): Promise<boolean> {
    const untilMs = Date.now() + arrivalMs;
    while (!isTrue() && Date.now() < untilMs) {
        await new Promise(resolve => setTimeout(resolve, 2));
    }
    return isTrue();
}

/** Starts the path; the engine writes nothing yet. */
export async function startOutdatedPath(): Promise<OutdatedPath> {
    const clock = createVirtualClock(1);
    const startedMs = clock.now();
    const logged: LoggedLine[] = [];
    const context: InstanceContext = {
        ...createInstanceContext(clock, unusedStore),
        writeLog: (event, fields) => {
            logged.push({ event, fields: fields ?? {} });
        },
    };
    const views = assembleViews(context);
    const quarantine = assembleQuarantine(context, {
        listOthers: () => [],
        send: () => undefined,
        isReader: () => false,
    });
    const permits = assemblePermits(context, views, {
        listLive: () => [],
        isDirect: () => true,
        viewTimeoutMs: () => 0,
        send: () => undefined,
        isServing: () => true,
    });
    const shutdown = createShutdown({ graceMs: 8_000, mayBeListed: () => true, hasServingPeer: () => false });
    const partFeeds = { listStores: () => [], refresh: () => undefined, stop: () => undefined };
    const proxy = assembleProxy(context, views, loneFleet, partFeeds, { quarantine, permits }, shutdown);
    const server = createServer(proxy.handle);
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    let tableVersion = 0;
    let engineSocket: Socket | undefined;
    const engine = await startScriptedUpstream(({ socket }) => {
        engineSocket = socket;
    });
    const engines: UpstreamRecord[] = [createRecord({ id: "engine-1", address: engine.address })];
    views.registry.applyList(engines, clock.now());
    const stops = [engine.stop];
    let answer: Promise<OutdatedAnswer> = Promise.reject(new Error("nothing was sent"));
    answer.catch(() => undefined);

    function call(): Promise<OutdatedAnswer> {
        const { port } = server.address() as AddressInfo;
        return new Promise((resolve, reject) => {
            const headers = { ...streamHeaders, "time-budget": "20000" };
            const req = request({ port, path: "/adapt/7", method: "POST", headers, agent: false }, res => {
                let text = "";
                res.on("data", (chunk: Buffer) => {
                    text += chunk.toString();
                });
                res.on("end", () => resolve({ status: res.statusCode ?? 0, text }));
                res.on("error", reject);
            });
            req.on("error", reject);
            req.end();
        });
    }

    async function waitArrival(): Promise<void> {
        for (let turn = 0; turn < arrivalTurns; turn += 1) {
            await flush();
        }
    }

    return {
        logged,
        advanceTo: atMs => advanceClock(clock, startedMs + atMs),
        nameVersion: ageMs => views.recordTarget({ model, version: 2, ageMs }, "store"),
        endGap: views.recordGap,
        beginStop: () => shutdown.begin(clock.now()),
        send: async isResumable => {
            tableVersion += 1;
            const times = { kind: "stream", timeoutMs: 20_000, isResumable } as const;
            views.applyTable(createTable({ version: tableVersion, routes: [createRoute(times)] }), "store");
            const { length: before } = engine.requests;
            answer = call();
            answer.catch(() => undefined);
            await waitUntil(() => engine.requests.length > before);
        },
        countRequests: async moreThan => {
            await waitUntil(() => engine.requests.length > moreThan);
            return engine.requests.length;
        },
        write: async text => {
            engineSocket?.write(text);
            await waitArrival();
        },
        breakOff: async () => {
            engineSocket?.destroy();
            await waitArrival();
        },
        addOldEngine: async () => {
            const old = await startScriptedUpstream(() => undefined);
            stops.push(old.stop);
            engines.push(createRecord({ id: "engine-3", address: old.address }));
            views.registry.applyList(engines, clock.now());
            return async () => {
                await waitUntil(() => old.requests.length > 0);
                return old.requests.length;
            };
        },
        addCurrentEngine: async () => {
            const { head, event, end } = streamBytes;
            const current = await startScriptedUpstream(({ text, socket }) => {
                const lastId = Number(/^last-event-id: (\d+)/im.exec(text)?.[1] ?? 0);
                socket.write(head + event.replace("id: 1", `id: ${lastId + 1}`).replace("one", "two") + end);
            });
            stops.push(current.stop);
            const weights = [{ model, version: 2 }];
            engines.push(createRecord({ id: "engine-2", address: current.address, weights }));
            views.registry.applyList(engines, clock.now());
            proxy.dispatch();
        },
        waitClosed: () => waitUntil(() => engineSocket?.destroyed === true || engineSocket?.readableEnded === true),
        readAnswer: () => answer,
        stop: async () => {
            proxy.close();
            quarantine.stop();
            server.closeAllConnections();
            server.close();
            await Promise.all(stops.map(stop => stop()));
        },
    };
}
