/**
 * @module
 * Path of a request from a caller over loopback to scripted upstreams and back, with the steps that decide about retries.
 */
import { createServer, request, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import {
    createPlainPlacement,
    createProxyRequest,
    createRecord,
    createRoute,
} from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import {
    type ScriptedRequest,
    type ScriptedUpstream,
    startScriptedUpstream,
} from "../../fakes/startScriptedUpstream.js";
import { runSteps } from "../../src/core/effects/runSteps.js";
import { createRefusal } from "../../src/core/errors/createRefusal.js";
import type { ProxyEffect, ProxyEffectResults } from "../../src/core/proxy/proxyEffects.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { serveProxyRequest } from "../../src/core/proxy/serveProxyRequest.js";
import type { RequestKind } from "../../src/core/routes/routingTable.js";
import { createCallerExchange } from "../../src/io/proxy/createCallerExchange.js";
import { createConnectionPool } from "../../src/io/proxy/createConnectionPool.js";
import { createSenderFixture } from "./createSenderFixture.js";

/** A request of the caller. */
export interface AnswerPathCall {
    readonly id: string;
    readonly kind: RequestKind;
    readonly isResumable: boolean;
    /** Maximum number of upstreams that may run it. */
    readonly attempts: number;
    readonly method?: string;
    readonly lastEventId?: string;
}

/** What the caller received. */
export interface CallerView {
    /** Undefined when the connection ended before a head. */
    readonly status: number | undefined;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly body: string;
    /** Whether the answer ended as its framing says. */
    readonly isComplete: boolean;
}

/** The running path. */
export interface AnswerPath {
    readonly upstreams: readonly ScriptedUpstream[];
    readonly call: (call: AnswerPathCall) => Promise<CallerView>;
    /** Number of answers that were reported as discarded. */
    readonly countDiscarded: () => number;
    readonly stop: () => Promise<void>;
}

/** Time in which a request is due, in milliseconds. */
const dueMs = 3_000;

function toRequest(call: AnswerPathCall, arrivedMs: number): ProxyRequest {
    const { id, kind, isResumable, attempts, method = "POST", lastEventId } = call;
    return createProxyRequest(kind, {
        id,
        method,
        headers: [["host", "letters.example"], ["attempt-id", id]],
        body: method === "POST" ? Buffer.from("letter") : undefined,
        route: createRoute({ kind, isResumable, attempts }),
        lastEventId,
        arrivedMs,
        deadlineMs: arrivedMs + dueMs,
    });
}

function readAnswer(port: number, call: AnswerPathCall): Promise<CallerView> {
    return new Promise(resolve => {
        const { method = "POST", id } = call;
        const req = request({ port, host: "127.0.0.1", method, agent: false, headers: { "attempt-id": id } }, res => {
            let body = "";
            res.setEncoding("utf8");
            res.on("data", text => {
                body += text;
            });
            res.on("error", () => undefined);
            res.on("close", () => {
                resolve({ status: res.statusCode, headers: res.headers, body, isComplete: res.complete });
            });
        });
        req.on("error", () => resolve({ status: undefined, headers: {}, body: "", isComplete: false }));
        req.end();
    });
}

/** Starts the path; the first upstream is used first, the next ones for retries. No time limit is reached. */
export async function startAnswerPath(
    scripts: readonly ((req: ScriptedRequest) => void)[],
): Promise<AnswerPath> {
    const upstreams = await Promise.all(scripts.map(script => startScriptedUpstream(script)));
    const clock = createVirtualClock(1);
    const connections = createConnectionPool(clock);
    const calls = new Map<string, AnswerPathCall>();
    let discarded = 0;
    const send = createSenderFixture({
        clock,
        connections,
        onForeignAnswer: () => {
            discarded += 1;
        },
    });

    function serve(req: ProxyRequest, res: ServerResponse): void {
        const caller = createCallerExchange(res, { requestId: req.id, isClosing: () => false });
        runSteps<void, ProxyEffect, ProxyEffectResults>(
            serveProxyRequest(req, {
                tryAcquireRetry: () => true,
                hasRetry: () => true,
                hasAlternative: () => true,
                onRetry: () => undefined,
            }),
            {
                place: ({ excluded }, resume) => {
                    const index = upstreams.findIndex((_, one) => !excluded.includes(`u-${one + 1}`));
                    const address = upstreams[index]?.address;
                    if (address === undefined) {
                        resume({ kind: "refused", refusal: createRefusal("noUpstream", "") });
                        return;
                    }
                    const placement = createPlainPlacement(createRecord({ id: `u-${index + 1}`, address }));
                    resume({ kind: "placed", placement });
                },
                send: (effect, resume) => {
                    send(req, effect, caller, resume);
                },
                answer: ({ answer }, resume) => {
                    caller.answer(answer);
                    resume(undefined);
                },
                refuse: ({ refusal }, resume) => {
                    caller.refuse(refusal);
                    resume(undefined);
                },
                cut: (_, resume) => {
                    caller.abort();
                    resume(undefined);
                },
            },
            () => undefined,
            () => caller.abort(),
        );
    }

    const server: Server = createServer((req, res) => {
        req.resume();
        const call = calls.get(String(req.headers["attempt-id"]));
        serve(toRequest(call!, clock.now()), res);
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return {
        upstreams,
        call: call => {
            calls.set(call.id, call);
            return readAnswer((server.address() as AddressInfo).port, call);
        },
        countDiscarded: () => discarded,
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
