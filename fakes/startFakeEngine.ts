/**
 * @module
 * Fake model engine: prefix cache, resumable streams, orders and load reports over HTTP.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { hashText } from "../src/core/_lib/hashText.js";
import { blockCharacters, blockTokens, charactersPerToken } from "../src/core/constants.js";
import type { CacheEvent, EngineOrder } from "../src/core/ports/enginePort.js";
import { parseModelBody } from "../src/core/request/parseModelBody.js";
import { type HttpFake, startHttpFake, writeJson } from "./_lib/startHttpFake.js";

/** Options of the fake engine. */
export interface FakeEngineOptions {
    readonly port?: number;
    readonly model: string;
    readonly weightsVersion: string;
    /** Capacity of its prefix cache, in blocks. */
    readonly cacheBlocks: number;
    readonly prefillTokensPerSecond: number;
    /** Milliseconds between two generated tokens. */
    readonly tokenIntervalMs: number;
    readonly fencesOrders?: boolean;
    /** Milliseconds that loading weights takes. */
    readonly loadMs?: number;
    /** Called for every model request that it receives; a refused request has no text. */
    readonly onAttempt?: (attempt: EngineAttempt) => void;
}

/** One model request that the fake engine received. */
export interface EngineAttempt {
    readonly streamId: string;
    readonly cacheSalt: string;
    readonly weightsVersion: string;
    readonly body: string;
    /** The complete text of the answer; undefined when the request was refused as not run. */
    readonly text: string | undefined;
}

/** How a stream fails after some events: the connection is aborted, or no more events are sent. */
export interface StreamFault {
    readonly kind: "cut" | "silent";
    readonly afterEvents: number;
}

/** The running fake with its fault switches. */
export interface FakeEngine extends HttpFake {
    /** Number of runs by stream id. */
    readonly runs: ReadonlyMap<string, number>;
    readonly cancelled: ReadonlySet<string>;
    /** Orders that took effect. */
    readonly orders: readonly EngineOrder[];
    /** Injects a fault into the next stream only. */
    readonly failNextStream: (fault: StreamFault) => void;
    /** Aborts all connections and restarts with empty caches as a new incarnation. */
    readonly crash: () => void;
    readonly setDraining: (isDraining: boolean) => void;
    /** While true, every model request is refused as not run. */
    readonly setRefusing: (isRefusing: boolean) => void;
    /** While true, cache events are dropped, which leaves a gap in the sequence numbers. */
    readonly setEventLoss: (isLossy: boolean) => void;
}

interface Generation {
    readonly events: readonly string[];
    readonly startedMs: number;
    readonly firstTokenMs: number;
    readonly cachedTokens: number;
    readonly text: string;
}

function chainBlocks(salt: string, prompt: string): readonly string[] {
    const chain: string[] = [];
    let previous = hashText(salt);
    for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
        previous = hashText(prompt.slice(start, start + blockCharacters), previous);
        chain.push(previous.toString(16));
    }
    return chain;
}

function createTokens(prompt: string, seed: string, count: number): readonly string[] {
    return Array.from(
        { length: count },
        (_, index) => `w${(hashText(`${prompt}/${seed}/${index}`) % 1000n).toString()} `,
    );
}

function createEvents(streamId: string, model: string, tokens: readonly string[], isChat: boolean): readonly string[] {
    const object = isChat ? "chat.completion.chunk" : "text_completion";
    const payloads = tokens.map((text, index) => {
        const finish = index === tokens.length - 1 ? { finish_reason: "stop" } : {};
        const choice = isChat ? { index: 0, delta: { content: text }, ...finish } : { index: 0, text, ...finish };
        return JSON.stringify({ id: streamId, object, created: 0, model, choices: [choice] });
    });
    return [...payloads, "[DONE]"].map((data, index) => `id: ${index}\ndata: ${data}\n\n`);
}

/** Starts the fake engine. */
export async function startFakeEngine(options: FakeEngineOptions): Promise<FakeEngine> {
    let incarnationNumber = 1;
    let cache = new Map<string, true>();
    let generations = new Map<string, Generation>();
    let fault: StreamFault | undefined;
    let isDraining = false;
    let isRefusing = false;
    let isLossy = false;
    let nextSequence = 0;
    let role = "serving";
    let running = 0;
    let lastFencingNumber = 0;
    let loaded = new Set([`${options.model}@${options.weightsVersion}`]);
    const loading = new Set<string>();
    const runs = new Map<string, number>();
    const cancelled = new Set<string>();
    const orders: EngineOrder[] = [];
    const cacheEvents: CacheEvent[] = [];
    const incarnation = () => `${fake.address}/${incarnationNumber}`;

    function recordCacheEvent(action: CacheEvent["action"], block: string): void {
        if (!isLossy) {
            cacheEvents.push({ sequence: nextSequence, action, block });
        }
        nextSequence += 1;
    }

    function touchBlocks(chain: readonly string[]): number {
        const missing = chain.findIndex(block => !cache.has(block));
        const hits = missing === -1 ? chain.length : missing;
        for (const block of chain) {
            if (!cache.delete(block)) {
                recordCacheEvent("stored", block);
            }
            cache.set(block, true);
        }
        for (const block of cache.keys()) {
            if (cache.size <= options.cacheBlocks) {
                break;
            }
            cache.delete(block);
            recordCacheEvent("evicted", block);
        }
        return hits;
    }

    function startGeneration(req: IncomingMessage, body: string): Generation | undefined {
        const isChat = req.url === "/v1/chat/completions";
        const parsed = parseModelBody(isChat ? "/v1/chat/completions" : "/v1/completions", body);
        if (parsed.isErr) {
            return undefined;
        }
        const { prompt, maxOutputTokens } = parsed.value;
        const streamId = String(req.headers["x-stream-id"]);
        const hits = touchBlocks(chainBlocks(String(req.headers["x-cache-salt"]), prompt));
        const promptTokens = Math.ceil(prompt.length / charactersPerToken);
        const prefillMs = ((promptTokens - hits * blockTokens) * 1000) / options.prefillTokensPerSecond;
        const tokens = createTokens(prompt, String(req.headers["x-seed"]), Math.min(maxOutputTokens, 64));
        const events = createEvents(streamId, options.model, tokens, isChat);
        runs.set(streamId, (runs.get(streamId) ?? 0) + 1);
        const generation: Generation = {
            events,
            startedMs: performance.now(),
            firstTokenMs: prefillMs,
            cachedTokens: hits * blockTokens,
            text: tokens.join(""),
        };
        generations.set(streamId, generation);
        return generation;
    }

    function streamEvents(res: ServerResponse, generation: Generation, from: number): void {
        const streamFault = fault;
        fault = undefined;
        let next = from;
        running += 1;
        res.on("close", () => {
            running -= 1;
        });
        function step(): void {
            if (res.destroyed || res.writableEnded) {
                return;
            }
            if (streamFault !== undefined && next >= streamFault.afterEvents) {
                if (streamFault.kind === "cut") {
                    res.destroy();
                }
                return;
            }
            const dueMs = generation.startedMs + generation.firstTokenMs + next * options.tokenIntervalMs;
            const waitMs = dueMs - performance.now();
            if (waitMs > 0) {
                setTimeout(step, waitMs);
                return;
            }
            res.write(generation.events[next]);
            next += 1;
            if (next === generation.events.length) {
                res.end();
                return;
            }
            step();
        }
        step();
    }

    function sendBufferedResponse(req: IncomingMessage, res: ServerResponse, generation: Generation): void {
        const isChat = req.url === "/v1/chat/completions";
        const part = isChat ? { message: { role: "assistant", content: generation.text } } : { text: generation.text };
        const endMs = generation.firstTokenMs + generation.events.length * options.tokenIntervalMs;
        const answer = {
            id: String(req.headers["x-stream-id"]),
            object: isChat ? "chat.completion" : "text_completion",
            created: 0,
            model: options.model,
            choices: [{ index: 0, ...part, finish_reason: "stop" }],
            usage: {
                completion_tokens: generation.events.length - 1,
                prompt_tokens_details: { cached_tokens: generation.cachedTokens },
            },
        };
        setTimeout(() => writeJson(res, 200, answer), Math.max(0, generation.startedMs + endMs - performance.now()));
    }

    function serveModel(req: IncomingMessage, body: string, res: ServerResponse): void {
        res.setHeader("x-correlation-id", String(req.headers["x-correlation-id"] ?? ""));
        res.setHeader("x-incarnation", incarnation());
        const version = String(req.headers["x-weights-version"]);
        const isLoaded = [...loaded].some(weights => weights.endsWith(`@${version}`));
        const attempt = {
            streamId: String(req.headers["x-stream-id"]),
            cacheSalt: String(req.headers["x-cache-salt"]),
            weightsVersion: version,
            body,
        };
        if (isRefusing || isDraining || !isLoaded) {
            options.onAttempt?.({ ...attempt, text: undefined });
            res.setHeader("x-not-run", "true");
            writeJson(res, 503, { error: "not served here now" });
            return;
        }
        const generation = generations.get(attempt.streamId) ?? startGeneration(req, body);
        if (generation === undefined) {
            writeJson(res, 400, { error: "malformed" });
            return;
        }
        options.onAttempt?.({ ...attempt, text: generation.text });
        res.setHeader("x-weights-version", version);
        res.setHeader("x-cached-tokens", String(generation.cachedTokens));
        res.setHeader("x-load", JSON.stringify(readLoad()));
        if ((JSON.parse(body) as { stream?: boolean; }).stream !== true) {
            sendBufferedResponse(req, res, generation);
            return;
        }
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.flushHeaders();
        streamEvents(res, generation, Number(req.headers["x-stream-offset"] ?? 0));
    }

    function readLoad(): object {
        return {
            incarnation: incarnation(),
            weightsVersion: options.weightsVersion,
            queuedRequests: 0,
            runningRequests: running,
            queuedPromptTokens: 0,
            leaving: isDraining,
        };
    }

    function readState(): object {
        return { incarnation: incarnation(), role, loaded: [...loaded], loading: [...loading], lastFencingNumber };
    }

    function applyOrder(order: EngineOrder, res: ServerResponse): void {
        if (options.fencesOrders === true && order.fencingNumber < lastFencingNumber) {
            writeJson(res, 409, { error: "old fencing number", lastFencingNumber });
            return;
        }
        lastFencingNumber = Math.max(lastFencingNumber, order.fencingNumber);
        orders.push(order);
        const weights = `${order.model}@${order.weightsVersion}`;
        if (order.action === "load" && !loaded.has(weights) && !loading.has(weights)) {
            loading.add(weights);
            setTimeout(() => {
                loading.delete(weights);
                loaded.add(weights);
            }, options.loadMs ?? 50);
        }
        else if (order.action === "unload") {
            loaded.delete(weights);
        }
        else if (order.action === "role") {
            role = order.role;
        }
        else if (order.action === "drain") {
            isDraining = true;
        }
        writeJson(res, 200, readState());
    }

    const fake = await startHttpFake((req, body, res) => {
        const url = new URL(req.url ?? "/", "http://engine");
        if (url.pathname.startsWith("/v1/streams/") && req.method === "DELETE") {
            cancelled.add(url.pathname.split("/")[3] ?? "");
            writeJson(res, 200, {});
        }
        else if (req.method === "POST" && url.pathname.startsWith("/v1/")) {
            serveModel(req, body, res);
        }
        else if (url.pathname === "/load") {
            writeJson(res, 200, readLoad());
        }
        else if (url.pathname === "/state") {
            writeJson(res, 200, readState());
        }
        else if (url.pathname === "/cache-events") {
            const from = Number(url.searchParams.get("from"));
            const events = cacheEvents.filter(event => event.sequence >= from).slice(0, 1000);
            const next = events.length === 1000 ? events.at(-1)!.sequence + 1 : nextSequence;
            writeJson(res, 200, { incarnation: incarnation(), nextSequence: next, events });
        }
        else if (url.pathname === "/orders") {
            applyOrder(JSON.parse(body) as EngineOrder, res);
        }
        else if (url.pathname === "/kv/import" || url.pathname === "/kv/export") {
            const { blocks } = JSON.parse(body) as { blocks: string[]; };
            if (url.pathname === "/kv/import") {
                touchBlocks(blocks);
            }
            writeJson(res, 200, { count: blocks.length });
        }
        else {
            writeJson(res, 404, { error: "no such path" });
        }
    }, options.port ?? 0);

    return {
        ...fake,
        runs,
        cancelled,
        orders,
        failNextStream: value => {
            fault = value;
        },
        crash: () => {
            incarnationNumber += 1;
            cache = new Map();
            generations = new Map();
            cacheEvents.length = 0;
            nextSequence = 0;
            loaded = new Set([`${options.model}@${options.weightsVersion}`]);
            fake.destroyConnections();
        },
        setDraining: value => {
            isDraining = value;
        },
        setRefusing: value => {
            isRefusing = value;
        },
        setEventLoss: value => {
            isLossy = value;
        },
    };
}
