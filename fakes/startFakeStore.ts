/**
 * @module
 * Stand-in for the platform's store: a log of topics with one partition, conditional appends, reads that are held back,
 * and the newest record of each key.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** The running store. */
export interface FakeStore {
    readonly address: string;
    /** Writes a record with a key, as the operator and the upstreams do. */
    readonly put: (topic: string, key: string, value: unknown) => void;
    readonly remove: (topic: string, key: string) => void;
    /** Whether calls are answered; others are closed without an answer. */
    readonly setAway: (isAway: boolean) => void;
    readonly countRecords: (topic: string) => number;
    readonly stop: () => Promise<void>;
}

interface Waiting {
    readonly topic: string;
    readonly answer: () => void;
}

function readAll(req: IncomingMessage): Promise<Buffer> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => resolve(Buffer.concat(chunks)));
    });
}

function frame(record: Buffer): Buffer {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(record.length);
    return Buffer.concat([length, record]);
}

function frameOffset(offset: number): Buffer {
    const bytes = Buffer.alloc(8);
    bytes.writeBigUInt64BE(BigInt(offset));
    return bytes;
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
}

/** Starts a store on loopback. */
export function startFakeStore(): Promise<FakeStore> {
    const topics = new Map<string, Buffer[]>();
    const waiting = new Set<Waiting>();
    let isAway = false;
    const recordsOf = (topic: string) => {
        const records = topics.get(topic) ?? [];
        topics.set(topic, records);
        return records;
    };

    function append(topic: string, record: Buffer): number {
        const records = recordsOf(topic);
        records.push(record);
        for (const one of waiting) {
            if (one.topic === topic) {
                waiting.delete(one);
                one.answer();
            }
        }
        return records.length - 1;
    }

    function keyed(key: string, value: Buffer): Buffer {
        return Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value]);
    }

    function answerNewest(res: ServerResponse, topic: string): void {
        const newest = new Map<string, { key: string; value: string; offset: number; }>();
        recordsOf(topic).forEach((record, offset) => {
            const keyEnd = 1 + record[0]!;
            const key = record.toString("utf8", 1, keyEnd);
            newest.delete(key);
            if (record.length > keyEnd) {
                newest.set(key, { key, value: record.subarray(keyEnd).toString("base64"), offset });
            }
        });
        sendJson(res, 200, { items: [...newest.values()], more: false, end: recordsOf(topic).length });
    }

    function answerRead(res: ServerResponse, topic: string, from: number): void {
        const records = recordsOf(topic);
        res.writeHead(200, { "content-type": "application/octet-stream" });
        res.end(Buffer.concat([frameOffset(records.length), frameOffset(0), ...records.slice(from).map(frame)]));
    }

    function handleRead(res: ServerResponse, query: URLSearchParams): void {
        const topic = query.get("topic") ?? "";
        const from = Number(query.get("from"));
        const waitMs = Number(query.get("wait_ms") ?? 0);
        if (recordsOf(topic).length > from || waitMs === 0) {
            answerRead(res, topic, from);
            return;
        }
        const one: Waiting = { topic, answer: () => answerRead(res, topic, from) };
        waiting.add(one);
        setTimeout(() => {
            if (waiting.delete(one)) {
                one.answer();
            }
        }, waitMs).unref();
    }

    async function handleAppend(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): Promise<void> {
        const body = await readAll(req);
        const topic = query.get("topic") ?? "";
        const end = recordsOf(topic).length;
        const expected = query.get("at") ?? undefined;
        if (expected !== undefined && Number(expected) !== end) {
            sendJson(res, 412, { end });
            return;
        }
        const offset = append(topic, body.subarray(4));
        sendJson(res, 200, { offset, end: offset + 1 });
    }

    const server = createServer((req, res) => {
        const url = new URL(req.url ?? "", "http://store");
        if (isAway) {
            res.destroy();
            return;
        }
        switch (url.pathname) {
            case "/reedward/log-newest":
                answerNewest(res, url.searchParams.get("topic") ?? "");
                return;
            case "/reedward/log-read":
                handleRead(res, url.searchParams);
                return;
            case "/reedward/log-append":
                void handleAppend(req, res, url.searchParams);
                return;
            default:
                sendJson(res, 404, {});
        }
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            resolve({
                address: `127.0.0.1:${port}`,
                put: (topic, key, value) => {
                    append(topic, keyed(key, Buffer.from(JSON.stringify(value))));
                },
                remove: (topic, key) => {
                    append(topic, keyed(key, Buffer.alloc(0)));
                },
                setAway: away => {
                    isAway = away;
                    if (away) {
                        server.closeAllConnections();
                    }
                },
                countRecords: topic => recordsOf(topic).length,
                stop: () =>
                    new Promise(stopped => {
                        server.closeAllConnections();
                        server.close(() => stopped());
                    }),
            });
        });
    });
}
