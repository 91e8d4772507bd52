/**
 * @module
 * Worker thread that plays the engine: it writes one chunk to every open stream at a steady interval.
 */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

/** Load of a source. */
export interface SourceLoad {
    readonly events: number;
    readonly eventsPerChunk: number;
    /** Milliseconds between two chunks of a stream; 0 writes as fast as the reader takes them. */
    readonly intervalMs: number;
}

const load = workerData as SourceLoad;
const payload = "x".repeat(120);

function createChunk(first: number): string {
    const last = Math.min(load.events, first + load.eventsPerChunk);
    let chunk = "";
    for (let id = first; id < last; id += 1) {
        chunk += `id: ${id}\ndata: ${id === load.events - 1 ? "[DONE]" : payload}\n\n`;
    }
    return chunk;
}

const chunks = Array.from(
    { length: Math.ceil(load.events / load.eventsPerChunk) },
    (_, index) => createChunk(index * load.eventsPerChunk),
);
const open = new Map<ServerResponse, number>();

function writeNext(res: ServerResponse): boolean {
    const next = open.get(res) ?? 0;
    const hasRoom = res.write(chunks[next]);
    open.set(res, next + 1);
    if (next + 1 === chunks.length) {
        open.delete(res);
        res.end();
    }
    return hasRoom;
}

function pump(res: ServerResponse): void {
    while (open.has(res) && writeNext(res)) {
        // The loop ends when the socket is full or the stream has ended.
    }
}

const server = createServer((req, res) => {
    req.resume();
    res.writeHead(200, {
        "content-type": "text/event-stream",
        "x-correlation-id": String(req.headers["x-correlation-id"] ?? ""),
        "x-weights-version": "v1",
    });
    res.flushHeaders();
    open.set(res, 0);
    res.on("close", () => open.delete(res));
    if (load.intervalMs === 0) {
        res.on("drain", () => pump(res));
        pump(res);
    }
});
if (load.intervalMs > 0) {
    setInterval(() => [...open.keys()].forEach(writeNext), load.intervalMs);
}
server.listen(0, "127.0.0.1", () => parentPort!.postMessage((server.address() as AddressInfo).port));
