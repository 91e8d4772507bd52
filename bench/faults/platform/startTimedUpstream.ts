/**
 * @module
 * Upstream whose runs take as long as the caller asks for: a plain answer after that time, or a stream that lasts as long.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { readSharedClock } from "./readSharedClock.js";
import type { RunRecord } from "./stopTypes.js";
import type { EngineTrouble } from "./troubleTypes.js";
import type { ReplacedUpstream } from "./workerMessages.js";

/** The running upstream. */
export interface TimedUpstream {
    /** Id of its first incarnation. */
    readonly name: string;
    readonly runs: readonly RunRecord[];
    /** Its record in the store. */
    readonly entry: unknown;
    readonly disturb: (trouble: EngineTrouble) => void;
    readonly stop: () => void;
}

interface Run {
    readonly record: RunRecord;
    readonly res: ServerResponse;
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
    readonly random: () => number;
    /** Called when it has come back under a new id. */
    readonly reportReplaced: (upstream: ReplacedUpstream) => void;
}

/** Header with the time that a run takes, in milliseconds. */
export const workHeader = "x-work-ms";

/** Header with the size of a plain answer, in bytes; it may be left out. */
export const answerBytesHeader = "x-answer-bytes";

/** Model that the engines serve. */
export const servedModel = "easy-read";

/** Interval of the events of a stream, in milliseconds. */
export const eventIntervalMs = 50;

/** Time for which an engine loads weights, in milliseconds. */
const loadMs = 570;

const eventPollMs = 200;

/** Share of the runs that an engine breaks off while it has the trouble `break`. */
const troubledBrokenShare = 0.3;

/** Longest time for which an engine is away that restarts, in milliseconds. */
const maxRestartMs = 1_500;

const host = "127.0.0.1";

/** Starts an upstream on loopback. */
export function startTimedUpstream(options: TimedUpstreamOptions): Promise<TimedUpstream> {
    const { id: name, service, isEngine, slots } = options;
    const runs: RunRecord[] = [];
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
    const running = new Set<Run>();

    /** Acts as soon as it does not stand still. */
    function whenAwake(act: () => void): void {
        const waitMs = stillUntilMs - readSharedClock();
        if (waitMs <= 0) {
            act();
            return;
        }
        setTimeout(() => whenAwake(act), waitMs).unref();
    }

    function breakOff({ record, res }: Run): void {
        record.isBrokenOff ||= !res.writableFinished && !res.destroyed;
        res.destroy();
    }

    function sendJson(res: ServerResponse, status: number, body: unknown): void {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(body));
    }

    function reject(req: IncomingMessage, res: ServerResponse, status: number): void {
        const attempt = req.headers["attempt-id"] ?? "";
        res.writeHead(status, { "instance-id": id, "attempt-id": attempt, "not-executed": "1", "content-length": "0" });
        res.end();
    }

    function applyOrder(res: ServerResponse, text: string): void {
        const order = JSON.parse(text) as { version: number; fence: number; expect?: number; };
        if (order.fence < lastFence) {
            sendJson(res, 412, {});
            return;
        }
        lastFence = order.fence;
        if (isLoading || (order.expect !== undefined && order.expect !== orders)) {
            sendJson(res, 409, {});
            return;
        }
        orders += 1;
        isLoading = true;
        setTimeout(() => {
            version = order.version;
            isLoading = false;
        }, loadMs);
        sendJson(res, 202, {});
    }

    function stream(res: ServerResponse, head: Record<string, string>, workMs: number, resumedAfter: number): void {
        if (res.destroyed) {
            return;
        }
        res.writeHead(200, { ...head, "content-type": "text/event-stream", "weight-versions": String(version) });
        const events = Math.max(1, Math.round(workMs / eventIntervalMs));
        let sent = Math.min(resumedAfter, events - 1);
        const timer = setInterval(() => {
            if (readSharedClock() < stillUntilMs) {
                return;
            }
            sent += 1;
            res.write(`id: ${sent}\ndata: word ${sent} of ${events}\n\n`);
            if (sent === events) {
                clearInterval(timer);
                res.end();
            }
        }, eventIntervalMs);
        res.on("close", () => clearInterval(timer));
    }

    function run(req: IncomingMessage, res: ServerResponse, bodyBytes: number): void {
        const expectedVersion = req.headers["expect-version"];
        const isOther = req.headers["expect-instance"] !== id
            || (expectedVersion !== undefined && Number(expectedVersion) !== version);
        if (isOther || isLoading || readSharedClock() < rejectsUntilMs) {
            whenAwake(() => reject(req, res, isOther ? 421 : 503));
            return;
        }
        const attempt = String(req.headers["attempt-id"]);
        const record: RunRecord = {
            attempt,
            upstream: id,
            version: isEngine ? version : 0,
            beganMs: readSharedClock(),
            endMs: undefined,
            isComplete: false,
            isBrokenOff: false,
        };
        runs.push(record);
        const current = { record, res };
        running.add(current);
        res.on("close", () => {
            running.delete(current);
            record.endMs = readSharedClock();
            record.isComplete = res.writableFinished;
        });
        const head = { "attempt-id": attempt, "server-seal": `seal-${id}`, "instance-id": id };
        const workMs = Number(req.headers[workHeader] ?? 0);
        const brokenShare = readSharedClock() < breaksUntilMs ? troubledBrokenShare : options.brokenRunShare;
        if (options.random() < brokenShare) {
            setTimeout(() => breakOff(current), workMs / 2);
        }
        if (isEngine) {
            const resumedAfter = Number(req.headers["last-event-id"] ?? 0);
            whenAwake(() => stream(res, head, workMs, resumedAfter));
            return;
        }
        const timer = setTimeout(() => {
            res.writeHead(200, head);
            res.end(`${attempt} ${bodyBytes}`.padEnd(Number(req.headers[answerBytesHeader] ?? 0)));
        }, workMs);
        res.on("close", () => clearTimeout(timer));
    }

    const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            const body = Buffer.concat(chunks);
            switch (new URL(req.url ?? "", "http://server").pathname) {
                case "/reedward/report": {
                    const served = isEngine ? [{ name: servedModel, version, adapters: [] }] : [];
                    const use = { waiting: 0, running: 0, kv_used: 0, kv_total: 100_000, handles: 0 };
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
                    run(req, res, body.length);
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
        running.forEach(breakOff);
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
                [...running].filter(() => options.random() < troubledBrokenShare).forEach(breakOff);
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
                runs,
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
