/**
 * @module
 * Fake model server of the platform: serves streams, plain calls, its report, orders and cache events.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** An order that the server accepted. */
export interface FakeServerOrder {
    readonly version: number;
    readonly fence: number;
    readonly holder: string;
    readonly switchMode: string | undefined;
}

/** The running server. */
export interface FakeServer {
    readonly address: string;
    readonly id: string;
    /** Sets headers that its answers have in addition. */
    readonly setAnswerHeaders: (headers: Readonly<Record<string, string>>) => void;
    /** Rejects all further requests with 503 and these headers. */
    readonly setRejectionHeaders: (headers: Readonly<Record<string, string>>) => void;
    readonly countRejections: () => number;
    /** Headers of the requests that it ran. */
    readonly runs: readonly Readonly<Record<string, string | string[] | undefined>>[];
    /** Orders that it accepted, in order. */
    readonly orders: readonly FakeServerOrder[];
    readonly version: () => number;
    /** Its record in the store. */
    readonly entry: (state?: "ready" | "draining") => unknown;
    readonly stop: () => Promise<void>;
}

const model = "easy-read";

/** Starts a server of a service on loopback. */
export function startFakeServer(id: string, service: string): Promise<FakeServer> {
    const runs: IncomingMessage["headers"][] = [];
    const orders: FakeServerOrder[] = [];
    let version = 1;
    let lastFencingNumber = -1;
    let answerHeaders: Readonly<Record<string, string>> = {};
    let rejectionHeaders: Readonly<Record<string, string>> | undefined;
    let rejections = 0;

    function sendJson(res: ServerResponse, status: number, body: unknown): void {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(body));
    }

    function applyOrder(res: ServerResponse, text: string): void {
        const order = JSON.parse(text) as {
            readonly version: number;
            readonly fence: number;
            readonly holder: string;
            readonly switch_mode?: string;
            readonly expect?: number;
        };
        if (order.fence < lastFencingNumber) {
            sendJson(res, 412, {});
            return;
        }
        lastFencingNumber = order.fence;
        if (order.expect !== undefined && order.expect !== orders.length) {
            sendJson(res, 409, {});
            return;
        }
        const { version: ordered, fence, holder, switch_mode: switchMode } = order;
        orders.push({ version: ordered, fence, holder, switchMode });
        version = order.version;
        sendJson(res, 202, {});
    }

    function sendReport(res: ServerResponse): void {
        const models = [{ name: model, version, adapters: [] }];
        sendJson(res, 200, { stage: "combined", models, busy: false, seq_no: orders.length, waiting: 0, running: 0 });
    }

    function run(req: IncomingMessage, res: ServerResponse): void {
        const { "expect-instance": expected, "attempt-id": attempt = "" } = req.headers;
        const expectedVersion = req.headers["expect-version"];
        if (expected !== id || (expectedVersion !== undefined && Number(expectedVersion) !== version)) {
            res.writeHead(421, { "attempt-id": attempt, "instance-id": id, "content-length": "0" });
            res.end();
            return;
        }
        if (rejectionHeaders !== undefined) {
            rejections += 1;
            res.writeHead(503, {
                "attempt-id": attempt,
                "not-executed": "1",
                "content-length": "0",
                ...rejectionHeaders,
            });
            res.end();
            return;
        }
        runs.push(req.headers);
        const own = { "attempt-id": attempt, "server-seal": `seal-${id}` };
        const head = { ...own, ...answerHeaders };
        if (req.headers["model"] === undefined) {
            res.writeHead(200, head);
            res.end(`answer of ${id}`);
            return;
        }
        res.writeHead(200, { ...head, "content-type": "text/event-stream", "weight-versions": String(version) });
        res.write("id: 1\ndata: a\n\n");
        res.end("id: 2\ndata: b\n\n");
    }

    const server = createServer((req, res) => {
        const url = new URL(req.url ?? "", "http://server");
        let text = "";
        req.on("data", (chunk: Buffer) => {
            text += chunk.toString();
        });
        req.on("end", () => {
            switch (url.pathname) {
                case "/reedward/report":
                    sendReport(res);
                    return;
                case "/reedward/order":
                    applyOrder(res, text);
                    return;
                case "/reedward/kv-events":
                    setTimeout(() => sendJson(res, 200, { epoch: 1, next: 0, lost: false, events: [] }), 200).unref();
                    return;
                default:
                    run(req, res);
            }
        });
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            resolve({
                address,
                id,
                setAnswerHeaders: headers => {
                    answerHeaders = headers;
                },
                setRejectionHeaders: headers => {
                    rejectionHeaders = headers;
                },
                countRejections: () => rejections,
                runs,
                orders,
                version: () => version,
                entry: (state = "ready") => ({
                    service,
                    address,
                    zone: "north",
                    version: "v1",
                    slots: 8,
                    state,
                    cold_left_ms: 0,
                    models: service === "adapt" ? [{ name: model, version, adapters: [] }] : [],
                    seq_no: orders.length,
                    born: 1,
                }),
                stop: () =>
                    new Promise(stopped => {
                        server.closeAllConnections();
                        server.close(() => stopped());
                    }),
            });
        });
    });
}
