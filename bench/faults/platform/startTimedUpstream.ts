/**
 * @module
 * Upstream whose runs take as long as the caller asks for: a plain answer after that time, or a stream that lasts as long.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { readSharedClock } from "./readSharedClock.js";
import type { RunRecord } from "./stopTypes.js";

/** The running upstream. */
export interface TimedUpstream {
    readonly id: string;
    readonly runs: readonly RunRecord[];
    /** Its record in the store. */
    readonly entry: unknown;
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
    readonly random: () => number;
}

/** Header with the time that a run takes, in milliseconds. */
export const workHeader = "x-work-ms";

/** Model that the engines serve. */
export const servedModel = "easy-read";

/** Interval of the events of a stream, in milliseconds. */
export const eventIntervalMs = 50;

/** Time for which an engine loads weights, in milliseconds. */
const loadMs = 570;

const eventPollMs = 200;

/** Starts an upstream on loopback. */
export function startTimedUpstream(options: TimedUpstreamOptions): Promise<TimedUpstream> {
    const { id, service, isEngine, slots } = options;
    const runs: RunRecord[] = [];
    let version = 1;
    let orders = 0;
    let lastFence = -1;
    let isLoading = false;

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

    function stream(res: ServerResponse, head: Record<string, string>, workMs: number): void {
        res.writeHead(200, { ...head, "content-type": "text/event-stream", "weight-versions": String(version) });
        const events = Math.max(1, Math.round(workMs / eventIntervalMs));
        let sent = 0;
        const timer = setInterval(() => {
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
        if (isOther || isLoading) {
            reject(req, res, isOther ? 421 : 503);
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
        res.on("close", () => {
            record.endMs = readSharedClock();
            record.isComplete = res.writableFinished;
        });
        const head = { "attempt-id": attempt, "server-seal": `seal-${id}`, "instance-id": id };
        const workMs = Number(req.headers[workHeader] ?? 0);
        if (options.random() < options.brokenRunShare) {
            setTimeout(() => {
                record.isBrokenOff = !res.writableFinished && !res.destroyed;
                res.destroy();
            }, workMs / 2);
        }
        if (isEngine) {
            stream(res, head, workMs);
            return;
        }
        const timer = setTimeout(() => {
            res.writeHead(200, head);
            res.end(`${attempt} ${bodyBytes}`);
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
                    const models = isEngine ? [{ name: servedModel, version, adapters: [] }] : [];
                    const use = { waiting: 0, running: 0, kv_used: 0, kv_total: 100_000, handles: 0 };
                    sendJson(res, 200, { stage: "combined", models, busy: isLoading, seq_no: orders, ...use });
                    return;
                }
                case "/reedward/order":
                    applyOrder(res, body.toString());
                    return;
                case "/reedward/kv-events": {
                    const events = { epoch: 1, next: 0, lost: false, events: [] };
                    setTimeout(() => sendJson(res, 200, events), eventPollMs).unref();
                    return;
                }
                default:
                    run(req, res, body.length);
            }
        });
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            resolve({
                id,
                runs,
                entry: {
                    service,
                    address,
                    zone: options.failureDomain,
                    version: "v1",
                    slots,
                    state: "ready",
                    cold_left_ms: 0,
                    models: isEngine ? [{ name: servedModel, version, adapters: [] }] : [],
                    seq_no: orders,
                    born: 1,
                },
                stop: () => {
                    server.closeAllConnections();
                    server.close();
                },
            });
        });
    });
}
