/**
 * @module
 * Fake of the platform's append-only log, with outages, lost responses and truncation.
 */
import type { ServerResponse } from "node:http";
import { type HttpFake, startHttpFake, writeJson } from "./_lib/startHttpFake.js";

interface Stream {
    firstKept: number;
    readonly payloads: string[];
}

/** The running fake with its fault switches. */
export interface FakeLog extends HttpFake {
    /** While true, every call is answered with 503. */
    readonly setDown: (isDown: boolean) => void;
    /** The next `count` appends take effect but their responses are lost. */
    readonly loseAppendAnswers: (count: number) => void;
    /** Drops the records below an offset. */
    readonly truncate: (stream: string, firstKept: number) => void;
    readonly countAppends: () => number;
}

/** Starts the fake log. */
export async function startFakeLog(port = 0): Promise<FakeLog> {
    const streams = new Map<string, Stream>();
    const waiting = new Set<() => void>();
    let isDown = false;
    let responsesToLose = 0;
    let appends = 0;

    function findStream(name: string): Stream {
        const stream = streams.get(name) ?? { firstKept: 0, payloads: [] };
        streams.set(name, stream);
        return stream;
    }

    function append(name: string, body: string, res: ServerResponse): void {
        const { payloads } = JSON.parse(body) as { payloads: string[]; };
        const stream = findStream(name);
        const firstOffset = stream.firstKept + stream.payloads.length;
        stream.payloads.push(...payloads);
        appends += 1;
        for (const wake of [...waiting]) {
            wake();
        }
        if (responsesToLose > 0) {
            responsesToLose -= 1;
            res.destroy();
            return;
        }
        writeJson(res, 200, { firstOffset });
    }

    function read(name: string, from: number, waitMs: number, res: ServerResponse): void {
        const stream = findStream(name);
        const end = stream.firstKept + stream.payloads.length;
        if (from >= end && waitMs > 0) {
            const timer = setTimeout(wake, waitMs);
            waiting.add(wake);
            function wake(): void {
                clearTimeout(timer);
                waiting.delete(wake);
                read(name, from, 0, res);
            }
            return;
        }
        const start = Math.max(from, stream.firstKept);
        const records = stream.payloads.slice(start - stream.firstKept, start - stream.firstKept + 1000);
        writeJson(res, 200, {
            firstKept: stream.firstKept,
            end,
            records: records.map((payload, index) => ({ offset: start + index, payload })),
        });
    }

    const fake = await startHttpFake((req, body, res) => {
        const url = new URL(req.url ?? "/", "http://log");
        const name = url.pathname.split("/")[2] ?? "";
        const query = (field: string) => Number(url.searchParams.get(field));
        if (isDown) {
            writeJson(res, 503, { error: "down" });
            return;
        }
        const isAppend = req.method === "POST";
        return isAppend ? append(name, body, res) : read(name, query("from"), query("waitMs"), res);
    }, port);
    return {
        ...fake,
        setDown: value => {
            isDown = value;
        },
        loseAppendAnswers: count => {
            responsesToLose = count;
        },
        truncate: (name, firstKept) => {
            const stream = findStream(name);
            stream.payloads.splice(0, firstKept - stream.firstKept);
            stream.firstKept = firstKept;
        },
        countAppends: () => appends,
    };
}
