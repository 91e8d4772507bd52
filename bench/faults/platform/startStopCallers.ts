/**
 * @module
 * Callers that ask the instances for entries, keep connections open, and send requests of all kinds, with bodies of a stated
 * length or in chunks, some of which arrive in several parts.
 */
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { completeFirstAnswer } from "../../../fakes/endlessForms.js";
import { type Call, describeHeaders, drawCall } from "./drawCall.js";
import { readSharedClock } from "./readSharedClock.js";
import type { CallShape } from "./stopShapes.js";
import { type AttemptRecord, promiseStatuses, type RequestRecord } from "./stopTypes.js";
import { watchTurns } from "./watchTurns.js";
import { writeCallBody } from "./writeCallBody.js";

/** Options of {@link startStopCallers}. */
export interface StopCallersOptions {
    readonly directories: readonly string[];
    /** Number of the first caller; each number is used once in a run. */
    readonly firstCaller: number;
    readonly callers: number;
    readonly calls: readonly CallShape[];
    /** Mean pause between two requests of a caller, in milliseconds. */
    readonly pauseMs: number;
    /** Failure domains that callers are in, by turns. */
    readonly failureDomains: readonly string[];
    /** Whether every second caller stays at an entry until it refuses connections, whatever it answers. */
    readonly keepsEntries: boolean;
    /** Whether some requests are sent in pieces and some answers are read late. */
    readonly hasOddHabits: boolean;
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

/**
 * How a caller uses a list of entries: for its time to live, three times as long, until an entry fails, or until its current
 * entry refuses connections.
 */
type ListHabit = "timely" | "slow" | "sticky" | "kept";

const retryPauseMs = 100;
const maxAttempts = 3;
const failedEntryMs = 1_000;

/** Characters of an answer that are kept. */
const maxKeptLength = 1_048_576;
const directoryTimeoutMs = 1_000;
const maxTtlMs = 5_000;
const slowFactor = 3;
const millisecondsPerSecond = 1_000;

/** Whether a text is the answer to an attempt. */
function isWholeAnswer(id: string, call: Call, text: string): boolean {
    return call.shape.kind === "stream"
        ? text.includes(`data: word ${call.events} of`)
        : text.startsWith(`${id} ${call.bodyBytes}`) || text === completeFirstAnswer;
}

interface Answer {
    readonly record: AttemptRecord;
    readonly retryAfterMs: number | undefined;
}

/** Starts the callers. */
export function startStopCallers(options: StopCallersOptions): StopCallers {
    const requests: RequestRecord[] = [];
    const readEarliestMs = watchTurns();
    let isStopped = false;

    async function fetchEntries(
        caller: number,
    ): Promise<{ readonly entries: readonly string[]; readonly ttlMs: number; } | undefined> {
        const failureDomain = options.failureDomains[caller % options.failureDomains.length]!;
        for (let tried = 0; tried < Math.min(3, options.directories.length); tried += 1) {
            const directory = options.directories[(caller + tried) % options.directories.length]!;
            try {
                const query = `name=${options.host}&region=region&zone=${failureDomain}`;
                const url = `http://${directory}/reedward/resolve?${query}`;
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
            const startedMs = readSharedClock();
            const { kind, name, timeoutMs } = call.shape;
            const finish = (isComplete: boolean, error: string | undefined) => {
                const isWhole = status !== 200 || isWholeAnswer(id, call, text);
                const record = {
                    id,
                    request: requestId,
                    kind,
                    canResume: call.shape.canResume ?? false,
                    address,
                    isChunked: call.isChunked,
                    sentMs,
                    deadlineMs: startedMs + leftMs,
                    timeoutMs: startedMs + timeoutMs,
                    endMs: readSharedClock(),
                    earliestEndMs: readEarliestMs(),
                    status,
                    isComplete: isComplete && isWhole,
                    isTruncated: isComplete && !isWhole,
                    error,
                };
                resolve({ record, retryAfterMs });
            };
            const { host: hostHeader, key } = options;
            const headers = describeHeaders(call, { id, host: hostHeader, key, leftMs });
            const path = `/${name}/${id}`;
            const req = httpRequest({ host, port, path, method: "POST", headers, agent }, res => {
                status = res.statusCode ?? 0;
                const stated = Number(res.headers["retry-after"]);
                retryAfterMs = Number.isFinite(stated) ? stated * millisecondsPerSecond : undefined;
                res.on("data", (chunk: Buffer) => {
                    // No sound answer is as long.
                    text += text.length < maxKeptLength ? chunk.toString() : "";
                });
                if (call.unreadMs > 0) {
                    res.pause();
                    setTimeout(() => res.resume(), call.unreadMs);
                }
                res.on("error", (err: NodeJS.ErrnoException) => finish(false, err.code));
                res.on("end", () => finish(res.complete, undefined));
            });
            req.on("finish", () => {
                sentMs = readSharedClock();
            });
            req.on("error", (err: NodeJS.ErrnoException) => {
                if (status === 0) {
                    finish(false, err.code);
                }
            });
            void writeCallBody(req, call, options.random);
        });
    }

    function mayRepeat(call: Call, record: AttemptRecord): boolean {
        if (record.isComplete && record.status < 500) {
            return false;
        }
        return call.shape.kind === "idempotent" || record.error === "ECONNREFUSED"
            || (record.isComplete && promiseStatuses.includes(record.status));
    }

    async function runCaller(index: number): Promise<void> {
        const otherHabit = (["timely", "timely", "slow", "sticky"] as const satisfies ListHabit[])[index % 4]!;
        const habit = options.keepsEntries && index % 2 === 1 ? "kept" : otherHabit;
        const agents = new Map<string, Agent>();
        const failedUntilMs = new Map<string, number>();
        let entries: readonly string[] = [];
        let validUntilMs = -Infinity;
        let current: string | undefined;

        async function chooseEntry(): Promise<string | undefined> {
            const isUsable = (address: string) => readSharedClock() > (failedUntilMs.get(address) ?? -Infinity);
            if ((habit === "sticky" || habit === "kept") && current !== undefined && isUsable(current)) {
                return current;
            }
            if (readSharedClock() > validUntilMs) {
                const list = await fetchEntries(index);
                if (list !== undefined) {
                    entries = list.entries;
                    validUntilMs = readSharedClock() + list.ttlMs * (habit === "slow" ? slowFactor : 1);
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
            const call = drawCall(options.calls, options.random, options.hasOddHabits);
            const beganMs = readSharedClock();
            const attempts: AttemptRecord[] = [];
            while (attempts.length < maxAttempts) {
                const leftMs = beganMs + call.shape.deadlineMs - readSharedClock();
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
                if (habit === "kept" ? record.error === "ECONNREFUSED" : record.status === 0) {
                    failedUntilMs.set(address, readSharedClock() + failedEntryMs);
                }
                if (!mayRepeat(call, record)) {
                    break;
                }
                const restMs = beganMs + call.shape.deadlineMs - readSharedClock();
                await delay(Math.max(0, Math.min(retryAfterMs ?? retryPauseMs, restMs / 3)));
            }
            requests.push({
                id,
                kind: call.shape.kind,
                workMs: call.workMs,
                beganMs,
                endMs: readSharedClock(),
                attempts,
            });
        }

        for (let sequence = 1; !isStopped; sequence += 1) {
            await runRequest(`c${index}.${sequence}`);
            await delay(options.random() * 2 * options.pauseMs);
        }
        agents.forEach(agent => agent.destroy());
    }

    const running = Array.from({ length: options.callers }, (_, index) => runCaller(options.firstCaller + index));
    return {
        requests,
        stop: async () => {
            isStopped = true;
            await Promise.all(running);
        },
    };
}
