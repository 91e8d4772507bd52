/**
 * @module
 * Callers that ask the instances for entries, keep connections open, and send requests of all kinds, with bodies of a stated
 * length or in chunks, some of which arrive in two parts.
 */
import { Agent, type ClientRequest, request as httpRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { eventIntervalMs, servedModel, workHeader } from "./startTimedUpstream.js";
import type { AttemptRecord, CallKind, RequestRecord } from "./stopTypes.js";

/** Options of {@link startStopCallers}. */
export interface StopCallersOptions {
    readonly directories: readonly string[];
    readonly callers: number;
    readonly host: string;
    readonly key: string;
    readonly random: () => number;
}

/** The running callers. */
export interface StopCallers {
    readonly requests: readonly RequestRecord[];
    /** Lets the requests in progress end. */
    readonly stop: () => Promise<void>;
}

/** How a caller uses a list of entries: for its time to live, three times as long, or until an entry fails. */
type ListHabit = "timely" | "slow" | "sticky";

interface Call {
    readonly kind: CallKind;
    readonly workMs: number;
    readonly isChunked: boolean;
    readonly hasTwoParts: boolean;
    readonly deadlineMs: number;
}

const pauseMs = 60;
const retryPauseMs = 100;
const maxAttempts = 3;
const failedEntryMs = 1_000;
const directoryTimeoutMs = 1_000;
const maxTtlMs = 5_000;
const slowFactor = 3;
const millisecondsPerSecond = 1_000;
const partPauseMs = 120;
const bodyText = "x".repeat(600);

/** Statuses that promise that the request was not run. */
const promiseStatuses = [408, 421, 429, 503];

function drawCall(random: () => number): Call {
    const kind = (["idempotent", "nonIdempotent", "stream"] as const)[Math.floor(random() * 3)]!;
    const workMs = kind === "stream" ? 50 + random() ** 2 * 2_450 : 10 + random() ** 2 * 490;
    return {
        kind,
        workMs,
        isChunked: random() < 0.4,
        hasTwoParts: random() < 0.2,
        deadlineMs: kind === "stream" ? 12_000 : 3_000,
    };
}

const paths: Readonly<Record<CallKind, string>> = {
    idempotent: "/glossary/",
    nonIdempotent: "/documents/",
    stream: "/adapt/",
};

function createHeaders(id: string, call: Call, options: StopCallersOptions, leftMs: number): Record<string, string> {
    const events = Math.max(1, Math.round(call.workMs / eventIntervalMs));
    return {
        host: options.host,
        "attempt-id": id,
        authorization: `Bearer ${options.key}`,
        "time-budget": String(Math.round(leftMs)),
        [workHeader]: String(Math.round(call.workMs)),
        ...(call.isChunked ? { "transfer-encoding": "chunked" } : { "content-length": String(bodyText.length) }),
        ...(call.kind === "stream"
            ? {
                model: servedModel,
                "token-count": `600,${events}`,
                "prompt-prefix": `aa:400,${id.replaceAll(/\W/g, "")}:200`,
            }
            : {}),
    };
}

async function writeBody(req: ClientRequest, call: Call): Promise<void> {
    if (call.hasTwoParts) {
        req.write(bodyText.slice(0, bodyText.length / 2));
        await delay(partPauseMs);
        req.end(bodyText.slice(bodyText.length / 2));
        return;
    }
    req.end(bodyText);
}

interface Answer {
    readonly record: AttemptRecord;
    readonly retryAfterMs: number | undefined;
}

/** Starts the callers. */
export function startStopCallers(options: StopCallersOptions): StopCallers {
    const requests: RequestRecord[] = [];
    let isStopped = false;

    async function fetchEntries(
        from: number,
    ): Promise<{ readonly entries: readonly string[]; readonly ttlMs: number; } | undefined> {
        for (let tried = 0; tried < Math.min(3, options.directories.length); tried += 1) {
            const directory = options.directories[(from + tried) % options.directories.length]!;
            try {
                const url = `http://${directory}/reedward/resolve?name=${options.host}&region=region&zone=north`;
                const res = await request(url, { reset: true, headersTimeout: directoryTimeoutMs });
                if (res.statusCode === 200) {
                    const body = await res.body.json() as {
                        readonly addrs: readonly string[];
                        readonly ttl_s: number;
                    };
                    return { entries: body.addrs, ttlMs: Math.min(maxTtlMs, body.ttl_s * millisecondsPerSecond) };
                }
                await res.body.dump();
            }
            catch {
                // The next one is asked.
            }
        }
        return undefined;
    }

    function send(
        id: string,
        requestId: string,
        address: string,
        call: Call,
        agent: Agent | false,
        leftMs: number,
    ): Promise<Answer> {
        const [host, port] = address.split(":");
        return new Promise(resolve => {
            let sentMs: number | undefined;
            let status = 0;
            let text = "";
            let retryAfterMs: number | undefined;
            const finish = (isComplete: boolean, error: string | undefined) => {
                const { kind, isChunked } = call;
                const endMs = performance.now();
                const isWhole = isComplete
                    && (status !== 200 || kind !== "stream" || text.includes(`data: word ${lastEvent} of`));
                const record = {
                    id,
                    request: requestId,
                    kind,
                    address,
                    isChunked,
                    sentMs,
                    endMs,
                    status,
                    isComplete: isWhole,
                    error,
                };
                resolve({ record, retryAfterMs });
            };
            const lastEvent = Math.max(1, Math.round(Math.round(call.workMs) / eventIntervalMs));
            const headers = createHeaders(id, call, options, leftMs);
            const path = `${paths[call.kind]}${id}`;
            const req = httpRequest({ host, port, path, method: "POST", headers, agent }, res => {
                status = res.statusCode ?? 0;
                const stated = Number(res.headers["retry-after"]);
                retryAfterMs = Number.isFinite(stated) ? stated * millisecondsPerSecond : undefined;
                res.on("data", (chunk: Buffer) => {
                    text += chunk.toString();
                });
                res.on("error", (err: NodeJS.ErrnoException) => finish(false, err.code));
                res.on("end", () => finish(res.complete, undefined));
            });
            req.on("finish", () => {
                sentMs = performance.now();
            });
            req.on("error", (err: NodeJS.ErrnoException) => {
                if (status === 0) {
                    finish(false, err.code);
                }
            });
            void writeBody(req, call);
        });
    }

    function mayRepeat(call: Call, record: AttemptRecord): boolean {
        if (record.isComplete && record.status < 500) {
            return false;
        }
        return call.kind === "idempotent" || record.error === "ECONNREFUSED"
            || (record.isComplete && promiseStatuses.includes(record.status));
    }

    async function runCaller(index: number): Promise<void> {
        const habit = (["timely", "timely", "slow", "sticky"] as const satisfies ListHabit[])[index % 4]!;
        const agents = new Map<string, Agent>();
        const failedUntilMs = new Map<string, number>();
        let entries: readonly string[] = [];
        let validUntilMs = -Infinity;
        let current: string | undefined;

        async function chooseEntry(): Promise<string | undefined> {
            const isUsable = (address: string) => performance.now() > (failedUntilMs.get(address) ?? -Infinity);
            if (habit === "sticky" && current !== undefined && isUsable(current)) {
                return current;
            }
            if (performance.now() > validUntilMs) {
                const list = await fetchEntries(index);
                if (list !== undefined) {
                    entries = list.entries;
                    validUntilMs = performance.now() + list.ttlMs * (habit === "slow" ? slowFactor : 1);
                }
            }
            const usable = entries.filter(isUsable);
            current = usable[Math.floor(options.random() * usable.length)];
            return current;
        }

        function agentOf(address: string): Agent {
            const agent = agents.get(address) ?? new Agent({ keepAlive: true });
            agents.set(address, agent);
            return agent;
        }

        async function runRequest(id: string): Promise<void> {
            const call = drawCall(options.random);
            const beganMs = performance.now();
            const attempts: AttemptRecord[] = [];
            while (attempts.length < maxAttempts) {
                const leftMs = beganMs + call.deadlineMs - performance.now();
                const address = await chooseEntry();
                if (leftMs < retryPauseMs) {
                    break;
                }
                if (address === undefined) {
                    await delay(retryPauseMs);
                    continue;
                }
                const agent = attempts.length === 0 ? agentOf(address) : false;
                const { record, retryAfterMs } = await send(
                    `${id}.${attempts.length}`,
                    id,
                    address,
                    call,
                    agent,
                    leftMs,
                );
                attempts.push(record);
                if (record.status === 0) {
                    failedUntilMs.set(address, performance.now() + failedEntryMs);
                }
                if (!mayRepeat(call, record)) {
                    break;
                }
                const restMs = beganMs + call.deadlineMs - performance.now();
                await delay(Math.max(0, Math.min(retryAfterMs ?? retryPauseMs, restMs / 3)));
            }
            requests.push({ id, kind: call.kind, workMs: call.workMs, beganMs, endMs: performance.now(), attempts });
        }

        for (let sequence = 1; !isStopped; sequence += 1) {
            await runRequest(`c${index}.${sequence}`);
            await delay(options.random() * 2 * pauseMs);
        }
        agents.forEach(agent => agent.destroy());
    }

    const running = Array.from({ length: options.callers }, (_, index) => runCaller(index));
    return {
        requests,
        stop: async () => {
            isStopped = true;
            await Promise.all(running);
        },
    };
}
