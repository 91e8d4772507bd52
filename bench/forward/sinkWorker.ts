/**
 * @module
 * Worker thread that plays the callers: it reads streams and reports when all have ended.
 */
import { Agent, request } from "node:http";
import { parentPort, workerData } from "node:worker_threads";

/** What a sink asks for. */
export interface SinkLoad {
    readonly port: number;
    readonly streams: number;
}

/** What a sink has seen. */
export interface SinkReport {
    readonly whole: number;
    readonly milliseconds: number;
}

const load = workerData as SinkLoad;
const agent = new Agent({ keepAlive: false, maxSockets: load.streams });
const startMs = performance.now();
let ended = 0;
let whole = 0;

function noteEnd(tail: string): void {
    ended += 1;
    whole += tail.includes("[DONE]") ? 1 : 0;
    if (ended === load.streams) {
        const report: SinkReport = { whole, milliseconds: performance.now() - startMs };
        parentPort!.postMessage(report);
    }
}

for (let index = 0; index < load.streams; index += 1) {
    const req = request({ port: load.port, host: "127.0.0.1", method: "POST", path: "/v1/completions", agent }, res => {
        let tail = "";
        res.on("data", (chunk: Buffer) => {
            tail = chunk.toString("latin1", Math.max(0, chunk.length - 20));
        });
        res.on("end", () => noteEnd(tail));
        res.on("error", () => noteEnd(""));
    });
    req.on("error", () => noteEnd(""));
    req.end("{}");
}
