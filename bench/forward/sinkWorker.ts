/**
 * @module
 * Worker thread that acts as the callers: it opens and reads streams and reports when all have ended.
 */
import { Agent, request } from "node:http";
import { parentPort, workerData } from "node:worker_threads";

/** Streams that a sink opens, and the port that it connects to. */
export interface SinkLoad {
    readonly port: number;
    readonly streams: number;
}

/** Result of a sink. */
export interface SinkReport {
    /** Streams that were received up to their last event. */
    readonly complete: number;
    readonly milliseconds: number;
}

const load = workerData as SinkLoad;
const agent = new Agent({ keepAlive: false, maxSockets: load.streams });
const startMs = performance.now();
let ended = 0;
let complete = 0;

function recordEnd(tail: string): void {
    ended += 1;
    complete += tail.includes("[DONE]") ? 1 : 0;
    if (ended === load.streams) {
        const report: SinkReport = { complete, milliseconds: performance.now() - startMs };
        parentPort!.postMessage(report);
    }
}

for (let index = 0; index < load.streams; index += 1) {
    const req = request({ port: load.port, host: "127.0.0.1", method: "POST", path: "/v1/completions", agent }, res => {
        let tail = "";
        res.on("data", (chunk: Buffer) => {
            tail = chunk.toString("latin1", Math.max(0, chunk.length - 20));
        });
        res.on("end", () => recordEnd(tail));
        res.on("error", () => recordEnd(""));
    });
    req.on("error", () => recordEnd(""));
    req.end("{}");
}
