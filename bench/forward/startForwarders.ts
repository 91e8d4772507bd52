/**
 * @module
 * The two forwarders that are compared: the request core with its HTTP adapters, and a plain pass-through over `http`.
 */
import { randomUUID } from "node:crypto";
import { Agent, createServer, request, type Server } from "node:http";
import { err, ok } from "true-myth/result";
import type { Customer, Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { runSteps } from "../../src/core/effects/runSteps.js";
import { createRefusal } from "../../src/core/errors/createRefusal.js";
import { createRetryBudget } from "../../src/core/request/createRetryBudget.js";
import { createStreamReaders } from "../../src/core/request/createStreamReaders.js";
import { serveModelRequest } from "../../src/core/request/serveModelRequest.js";
import { createLogClaims } from "../../src/io/claims/createLogClaims.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createExchange } from "../../src/io/http/createExchange.js";
import { createUpstreamClient } from "../../src/io/upstream/createUpstreamClient.js";

const timeoutMs = 30_000;
const deadlineMs = 120_000;
const customer = { id: "clinic", classOfService: "standard" } as Customer;

/** Creates a server that forwards every request through the request core. */
export function createCoreForwarder(upstreamPort: number): Server {
    const clock = createSystemClock();
    const upstream = { id: "engine-1", address: `127.0.0.1:${upstreamPort}`, role: "engine" } as Upstream;
    const upstreams = createUpstreamClient({
        connectTimeoutMs: timeoutMs,
        silenceTimeoutMs: timeoutMs,
        onMismatch: () => undefined,
    });
    const dependencies = {
        clock,
        admission: {
            admit: (_: unknown, decide: (verdict: { readonly kind: "admitted"; }) => void) =>
                decide({ kind: "admitted" }),
            cancel: () => undefined,
            complete: () => undefined,
        },
        claims: createLogClaims({ log: undefined, clock, onAppend: () => undefined }),
        upstreams,
        cancelStream: () => Promise.resolve(err({ kind: "notSent" as const, detail: "" })),
        maxAnswerBytes: 1 << 20,
    };
    const readers = createStreamReaders();
    const retryBudget = createRetryBudget({ retryRatio: 0, capacity: 0 });
    const server = createServer((req, res) => {
        req.resume();
        const requestId = randomUUID();
        const steps = serveModelRequest({
            requestId,
            customer,
            idempotencyKey: undefined,
            deadlineMs: clock.now() + deadlineMs,
            model: { kind: "model", id: "easy-read", owner: "o", weightsVersion: "v1", minimumServingShare: 0.5 },
            path: "/v1/completions",
            prompt: "p",
            maxOutputTokens: 64,
            isStreaming: true,
            body: {},
        }, {
            chooseUpstream: route =>
                route.excluded.size > 0
                    ? err(createRefusal("noUpstream", ""))
                    : ok({ upstream, cachedBlocks: 0, candidates: [] }),
            trackInFlight: () => undefined,
            reportFeedback: () => undefined,
            readers,
            retryBudget,
            countRetry: () => undefined,
            countDenial: () => undefined,
            now: clock.now,
            random: Math.random,
            silenceTimeoutMs: timeoutMs,
        });
        const exchange = createExchange(requestId, res, dependencies);
        runSteps(steps, exchange.handlers, () => undefined, () => res.destroy());
    });
    server.on("close", () => void upstreams.close());
    return server;
}

/** Creates a server that pipes every request to the upstream and its answer back. */
export function createPassThrough(upstreamPort: number): Server {
    const agent = new Agent({ keepAlive: true });
    const server = createServer((req, res) => {
        const call = request({
            port: upstreamPort,
            host: "127.0.0.1",
            method: "POST",
            path: req.url,
            headers: req.headers,
            agent,
        }, answer => {
            res.writeHead(answer.statusCode ?? 502, answer.headers);
            res.flushHeaders();
            answer.pipe(res);
        });
        call.on("error", () => res.destroy());
        req.pipe(call);
    });
    server.on("close", () => agent.destroy());
    return server;
}
