/**
 * @module
 * An in-memory log on a given clock, with delays, outages, lost responses and truncation.
 */
import { err, ok } from "true-myth/result";
import type { LogPage, LogPort, LogRecord, LogStream } from "../../src/core/ports/logPort.js";
import type { Clock } from "../../src/core/time/clock.js";

/** The log with its fault switches. */
export interface MemoryLog extends LogPort {
    readonly setDown: (isDown: boolean) => void;
    /** The next `count` appends take effect but their responses are lost. */
    readonly loseAppendAnswers: (count: number) => void;
    /** Drops the records below an offset. */
    readonly truncate: (stream: LogStream, firstKept: number) => void;
    readonly listRecords: (stream: LogStream) => readonly LogRecord[];
    readonly countAppends: (stream: LogStream) => number;
    readonly countReads: () => number;
}

/** Clock and delays of the log. */
export interface MemoryLogOptions {
    readonly clock: Clock;
    /** Returns a delay, sampled anew before and after the effect of each call. */
    readonly sampleDelayMs: () => number;
}

interface Stream {
    firstKept: number;
    records: LogRecord[];
    appends: number;
    readonly waiting: Set<() => void>;
}

const maxPageRecords = 1_000;

/** Creates the log. */
export function createMemoryLog({ clock, sampleDelayMs }: MemoryLogOptions): MemoryLog {
    const streams = new Map<LogStream, Stream>();
    let isDown = false;
    let responsesToLose = 0;
    let reads = 0;

    function findStream(name: LogStream): Stream {
        const stream = streams.get(name) ?? { firstKept: 0, records: [], appends: 0, waiting: new Set() };
        streams.set(name, stream);
        return stream;
    }

    function findEnd(stream: Stream): number {
        return (stream.records.at(-1)?.offset ?? stream.firstKept - 1) + 1;
    }

    function delay(): Promise<void> {
        return new Promise(resolve => clock.after(sampleDelayMs(), resolve));
    }

    const append: LogPort["append"] = async (name, payloads) => {
        await delay();
        if (isDown) {
            return err({ kind: "refused", detail: "log is down" });
        }
        const stream = findStream(name);
        const firstOffset = findEnd(stream);
        payloads.forEach((payload, index) => stream.records.push({ offset: firstOffset + index, payload }));
        stream.appends += 1;
        [...stream.waiting].forEach(wake => wake());
        await delay();
        if (responsesToLose > 0) {
            responsesToLose -= 1;
            return err({ kind: "lost", detail: "response lost" });
        }
        return ok({ firstOffset });
    };

    function waitForRecord(stream: Stream, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                stream.waiting.delete(wake);
                cancel();
                resolve();
            };
            const cancel = clock.after(waitMs, wake);
            stream.waiting.add(wake);
        });
    }

    function createPage(stream: Stream, from: number): LogPage {
        const records = stream.records.filter(record => record.offset >= from).slice(0, maxPageRecords);
        return { firstKept: stream.firstKept, end: findEnd(stream), records };
    }

    const read: LogPort["read"] = async (name, from, waitMs) => {
        reads += 1;
        await delay();
        const stream = findStream(name);
        if (!isDown && from >= findEnd(stream) && waitMs > 0) {
            await waitForRecord(stream, waitMs);
        }
        if (isDown) {
            return err({ kind: "refused", detail: "log is down" });
        }
        const page = createPage(stream, from);
        await delay();
        return ok(page);
    };

    return {
        append,
        read,
        setDown: value => {
            isDown = value;
        },
        loseAppendAnswers: count => {
            responsesToLose = count;
        },
        truncate: (name, firstKept) => {
            const stream = findStream(name);
            stream.firstKept = firstKept;
            stream.records = stream.records.filter(record => record.offset >= firstKept);
        },
        listRecords: name => findStream(name).records,
        countAppends: name => findStream(name).appends,
        countReads: () => reads,
    };
}
