/**
 * @module
 * Upstream whose runs take as long as the caller asks for: a plain answer after that time, or a stream that lasts as long.
 */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { answerEndless } from "./answerEndless.js";
import { createTimedRuns, type DrawnTime, eventIntervalMs } from "./createTimedRuns.js";
import { readSharedClock } from "./readSharedClock.js";
import type { RunRecord } from "./stopTypes.js";
import type { EngineTrouble } from "./troubleTypes.js";
import type { ReplacedUpstream } from "./workerMessages.js";

/** The running upstream. */
export interface TimedUpstream {
    /** Id of its first incarnation. */
    readonly name: string;
    readonly listRuns: () => readonly RunRecord[];
    /** Its record in the store. */
    readonly entry: unknown;
    readonly disturb: (trouble: EngineTrouble) => void;
    readonly stop: () => void;
}

/** What an upstream is. */
export interface TimedUpstreamOptions {
    readonly id: string;
    readonly service: string;
    readonly failureDomain: string;
    /** Requests that it runs at once. */
    readonly slots: number;
    /** Engines serve the model, other upstreams do not. */
    readonly isEngine: boolean;
    /** Share of its runs that it breaks off midway. */
    readonly brokenRunShare: number;
    /** Time from the begin of work to the first event of a stream; undefined if it is short. */
    readonly firstEvent: DrawnTime | undefined;
    /** Whether it rejects all orders, so that it keeps its weights. */
    readonly rejectsOrders: boolean;
    /** Whether it works on a request to its end although its connection has closed. */
    readonly keepsClosedRuns: boolean;
    readonly random: () => number;
    /** Called when it has come back under a new id. */
    readonly reportReplaced: (upstream: ReplacedUpstream) => void;
}

/** Model that the engines serve. */
export const servedModel = "easy-read";

/** Time to the first event of an engine that is not slow. */
const promptFirstEvent: DrawnTime = { minMs: eventIntervalMs, maxMs: eventIntervalMs };

/** Time to the first event of an engine that has the trouble `slow`. */
const slowFirstEvent: DrawnTime = { minMs: 2_000, maxMs: 4_000 };

/** Time for which an engine loads weights, in milliseconds. */
const loadMs = 570;

const eventPollMs = 200;

/** Share of the runs that an engine breaks off while it has the trouble `break`. */
const troubledBrokenShare = 0.3;

/** Share of the troubles `endless` in which other calls than runs are answered without end, and share of these calls. */
const endlessToCallsShare = 0.5;
const endlessCallShare = 0.5;

/** Longest time for which an engine is away that restarts, in milliseconds. */
const maxRestartMs = 1_500;

/** Paths of calls that are no requests for runs. */
const callPaths: readonly string[] = ["/reedward/report", "/reedward/order", "/reedward/kv-events", "/health"];

const host = "127.0.0.1";

/** Starts an upstream on loopback. */
export function startTimedUpstream(options: TimedUpstreamOptions): Promise<TimedUpstream> {
    const { id: name, service, isEngine, slots } = options;
    let version = 1;
    let orders = 0;
    let lastFence = -1;
    let isLoading = false;
    let id = name;
    let incarnation = 1;
    let port = 0;
    let stillUntilMs = -Infinity;
    let rejectsUntilMs = -Infinity;
    let breaksUntilMs = -Infinity;
    let slowUntilMs = -Infinity;
    let endlessUntilMs = -Infinity;
    let isEndlessToCalls = false;
    let rejectsOrdersUntilMs = options.rejectsOrders ? Infinity : -Infinity;

    /** Acts as soon as it does not stand still. */
    function whenAwake(act: () => void): void {
        const waitMs = stillUntilMs - readSharedClock();
        if (waitMs <= 0) {
            act();
            return;
        }
        setTimeout(() => whenAwake(act), waitMs).unref();
    }

    const runs = createTimedRuns({
        isEngine,
        keepsClosedRuns: options.keepsClosedRuns,
        slots,
        random: options.random,
        readState: () => {
            const nowMs = readSharedClock();
            return {
                id,
                version: isEngine ? version : 0,
                rejectsRuns: isLoading || nowMs < rejectsUntilMs,
                brokenShare: nowMs < breaksUntilMs ? troubledBrokenShare : options.brokenRunShare,
                isEndless: nowMs < endlessUntilMs,
                firstEvent: nowMs < slowUntilMs ? slowFirstEvent : options.firstEvent ?? promptFirstEvent,
            };
        },
        whenAwake,
        isStill: () => readSharedClock() < stillUntilMs,
    });

    function sendJson(res: ServerResponse, status: number, body: unknown): void {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(body));
    }

    function applyOrder(res: ServerResponse, text: string): void {
        const order = JSON.parse(text) as { version: number; fence: number; expect?: number; };
        if (order.fence < lastFence) {
            sendJson(res, 412, {});
            return;
        }
        lastFence = order.fence;
        const isRejected = isLoading || readSharedClock() < rejectsOrdersUntilMs;
        if (isRejected || (order.expect !== undefined && order.expect !== orders)) {
            sendJson(res, 409, {});
            return;
        }
        orders += 1;
        isLoading = true;
        runs.rejectWaiting();
        setTimeout(() => {
            version = order.version;
            isLoading = false;
        }, loadMs);
        sendJson(res, 202, {});
    }

    function drawEndlessCall(): boolean {
        return isEndlessToCalls && readSharedClock() < endlessUntilMs && options.random() < endlessCallShare;
    }

    const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            const body = Buffer.concat(chunks);
            const path = new URL(req.url ?? "", "http://server").pathname;
            if (callPaths.includes(path) && drawEndlessCall()) {
                answerEndless(req, { random: options.random, mayBeginComplete: true });
                return;
            }
            switch (path) {
                case "/reedward/report": {
                    const served = isEngine ? [{ name: servedModel, version, adapters: [] }] : [];
                    const counts = { waiting: runs.countWaiting(), running: runs.countWorking() };
                    const use = { ...counts, kv_used: 0, kv_total: 100_000, handles: 0 };
                    whenAwake(() =>
                        sendJson(res, 200, {
                            stage: "combined",
                            models: served,
                            busy: isLoading,
                            seq_no: orders,
                            ...use,
                        })
                    );
                    return;
                }
                case "/reedward/order":
                    whenAwake(() => applyOrder(res, body.toString()));
                    return;
                case "/reedward/kv-events": {
                    const events = { epoch: 1, next: 0, lost: false, events: [] };
                    setTimeout(() => whenAwake(() => sendJson(res, 200, events)), eventPollMs).unref();
                    return;
                }
                default:
                    runs.take(req, res, body.length);
            }
        });
    });
    function listen(onListening: () => void): void {
        server.listen(port, host, () => {
            port = (server.address() as AddressInfo).port;
            onListening();
        });
    }

    function describeEntry(): unknown {
        return {
            service,
            address: `${host}:${port}`,
            zone: options.failureDomain,
            version: "v1",
            slots,
            state: "ready",
            cold_left_ms: 0,
            models: isEngine ? [{ name: servedModel, version, adapters: [] }] : [],
            seq_no: orders,
            born: incarnation,
        };
    }

    /** Drops all connections, and comes back as an engine that nobody has ordered yet. */
    function restart({ lastsMs, keepsAddress }: EngineTrouble): void {
        runs.breakOff(1);
        server.closeAllConnections();
        server.close(() => {
            setTimeout(() => {
                const formerId = id;
                incarnation += 1;
                id = `${name}-${incarnation}`;
                orders = 0;
                lastFence = -1;
                port = keepsAddress ? port : 0;
                listen(() => options.reportReplaced({ formerId, id, entry: describeEntry() }));
            }, Math.min(lastsMs, maxRestartMs));
        });
    }

    function disturb(trouble: EngineTrouble): void {
        const untilMs = readSharedClock() + trouble.lastsMs;
        switch (trouble.kind) {
            case "still":
                stillUntilMs = Math.max(stillUntilMs, untilMs);
                return;
            case "reject":
                rejectsUntilMs = Math.max(rejectsUntilMs, untilMs);
                return;
            case "break":
                breaksUntilMs = Math.max(breaksUntilMs, untilMs);
                runs.breakOff(troubledBrokenShare);
                return;
            case "endless":
                endlessUntilMs = Math.max(endlessUntilMs, untilMs);
                isEndlessToCalls = options.random() < endlessToCallsShare;
                return;
            case "slow":
                slowUntilMs = Math.max(slowUntilMs, untilMs);
                return;
            case "rejectOrders":
                rejectsOrdersUntilMs = Math.max(rejectsOrdersUntilMs, untilMs);
                return;
            default:
                if (server.listening) {
                    restart(trouble);
                }
        }
    }

    return new Promise(resolve => {
        listen(() => {
            resolve({
                name,
                listRuns: runs.listRecords,
                entry: describeEntry(),
                disturb,
                stop: () => {
                    server.closeAllConnections();
                    server.close();
                },
            });
        });
    });
}
