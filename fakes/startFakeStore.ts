/**
 * @module
 * Fake of the platform's store: a log of single-partition topics with conditional appends, long-polling reads and reads
 * of the newest record of each key.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** The running store. */
export interface FakeStore {
    readonly address: string;
    /** Appends a keyed record, as the operator and the upstreams do. */
    readonly put: (topic: string, key: string, value: unknown) => void;
    /** Puts a record whose value is a text as another writer may have written it; without a key, appends it. */
    readonly putText: (topic: string, key: string | undefined, text: string) => void;
    /** Appends a tombstone: a keyed record without a value. */
    readonly remove: (topic: string, key: string) => void;
    /** While true, connections are closed without a response. */
    readonly setDown: (isDown: boolean) => void;
    readonly countRecords: (topic: string) => number;
    /**
     * Comes back from an older copy: the newest records of each topic are gone, open connections end, and the era rises.
     * Their offsets are given out again.
     */
    readonly returnFromCopy: (lostRecords: (topic: string) => number) => void;
    /** Replaces the era that answers state; undefined leaves the header out. */
    readonly setStatedEra: (text: string | undefined) => void;
    /** Sets what may answer calls in its place, and returns whether it does; undefined if nothing does. */
    readonly setSubstitute: (answer: StoreSubstitute | undefined) => void;
    readonly stop: () => Promise<void>;
}

/** Answers a call in place of the store, with the lines of a head that state its era, or returns false. */
export type StoreSubstitute = (req: IncomingMessage, eraLines: string) => boolean;

interface LongPoll {
    readonly topic: string;
    readonly respond: () => void;
}

function readBody(req: IncomingMessage): Promise<Buffer> {
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

const eraHeader = "store-era";

/** Starts the fake store on loopback. */
export function startFakeStore(): Promise<FakeStore> {
    const topics = new Map<string, Buffer[]>();
    const longPolls = new Set<LongPoll>();
    let isDown = false;
    let era = 1;
    let statedEra: string | undefined = String(era);
    let substitute: StoreSubstitute | undefined;
    const findRecords = (topic: string) => {
        const records = topics.get(topic) ?? [];
        topics.set(topic, records);
        return records;
    };

    function append(topic: string, record: Buffer): number {
        const records = findRecords(topic);
        records.push(record);
        for (const longPoll of longPolls) {
            if (longPoll.topic === topic) {
                longPolls.delete(longPoll);
                longPoll.respond();
            }
        }
        return records.length - 1;
    }

    function createKeyedRecord(key: string, value: Buffer): Buffer {
        return Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value]);
    }

    function sendNewest(res: ServerResponse, topic: string): void {
        const newest = new Map<string, { key: string; value: string; offset: number; }>();
        findRecords(topic).forEach((record, offset) => {
            const keyEnd = 1 + record[0]!;
            const key = record.toString("utf8", 1, keyEnd);
            newest.delete(key);
            if (record.length > keyEnd) {
                newest.set(key, { key, value: record.subarray(keyEnd).toString("base64"), offset });
            }
        });
        sendJson(res, 200, { items: [...newest.values()], more: false, end: findRecords(topic).length });
    }

    function sendRecords(res: ServerResponse, topic: string, from: number): void {
        const records = findRecords(topic);
        if (from > records.length) {
            sendJson(res, 410, { first: 0 });
            return;
        }
        res.writeHead(200, { "content-type": "application/octet-stream" });
        res.end(Buffer.concat([frameOffset(records.length), frameOffset(0), ...records.slice(from).map(frame)]));
    }

    function handleRead(res: ServerResponse, query: URLSearchParams): void {
        const topic = query.get("topic") ?? "";
        const from = Number(query.get("from"));
        const waitMs = Number(query.get("wait_ms") ?? 0);
        if (findRecords(topic).length !== from || waitMs === 0) {
            sendRecords(res, topic, from);
            return;
        }
        const longPoll: LongPoll = { topic, respond: () => sendRecords(res, topic, from) };
        longPolls.add(longPoll);
        setTimeout(() => {
            if (longPolls.delete(longPoll)) {
                longPoll.respond();
            }
        }, waitMs).unref();
    }

    async function handleAppend(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): Promise<void> {
        const body = await readBody(req);
        const topic = query.get("topic") ?? "";
        const end = findRecords(topic).length;
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
        if (isDown) {
            res.destroy();
            return;
        }
        if (substitute?.(req, statedEra === undefined ? "" : `${eraHeader}: ${statedEra}\r\n`) === true) {
            return;
        }
        if (statedEra !== undefined) {
            res.setHeader(eraHeader, statedEra);
        }
        switch (url.pathname) {
            case "/reedward/log-newest":
                sendNewest(res, url.searchParams.get("topic") ?? "");
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
                    append(topic, createKeyedRecord(key, Buffer.from(JSON.stringify(value))));
                },
                putText: (topic, key, text) => {
                    const value = Buffer.from(text);
                    append(topic, key === undefined ? value : createKeyedRecord(key, value));
                },
                remove: (topic, key) => {
                    append(topic, createKeyedRecord(key, Buffer.alloc(0)));
                },
                setDown: down => {
                    isDown = down;
                    if (down) {
                        server.closeAllConnections();
                    }
                },
                countRecords: topic => findRecords(topic).length,
                returnFromCopy: lostRecords => {
                    server.closeAllConnections();
                    longPolls.clear();
                    for (const [topic, records] of topics) {
                        records.splice(Math.max(0, records.length - lostRecords(topic)));
                    }
                    era += 1;
                    statedEra = String(era);
                },
                setStatedEra: text => {
                    statedEra = text;
                },
                setSubstitute: answer => {
                    substitute = answer;
                },
                stop: () =>
                    new Promise(stopped => {
                        server.closeAllConnections();
                        server.close(() => stopped());
                    }),
            });
        });
    });
}
