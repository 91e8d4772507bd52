/**
 * @module
 * Worker thread that acts as the engine: it writes one chunk to every open stream at a fixed interval.
 */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

/** Load of a source. */
export interface SourceLoad {
    readonly events: number;
    readonly eventsPerChunk: number;
    /** Milliseconds between two chunks of a stream; 0 writes as fast as the reader consumes them. */
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
const nextChunks = new Map<ServerResponse, number>();

function writeNext(res: ServerResponse): boolean {
    const next = nextChunks.get(res) ?? 0;
    const canWriteMore = res.write(chunks[next]);
    nextChunks.set(res, next + 1);
    if (next + 1 === chunks.length) {
        nextChunks.delete(res);
        res.end();
    }
    return canWriteMore;
}

function pump(res: ServerResponse): void {
    while (nextChunks.has(res) && writeNext(res)) {
        // Writes until the socket buffer is full or the stream has ended.
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
    nextChunks.set(res, 0);
    res.on("close", () => nextChunks.delete(res));
    if (load.intervalMs === 0) {
        res.on("drain", () => pump(res));
        pump(res);
    }
});
if (load.intervalMs > 0) {
    setInterval(() => [...nextChunks.keys()].forEach(writeNext), load.intervalMs);
}
server.listen(0, "127.0.0.1", () => parentPort!.postMessage((server.address() as AddressInfo).port));
