/**
 * @module
 * Writes lines to a file descriptor without blocking the event loop: when the reader stalls, lines are dropped.
 */
import { write } from "node:fs";

/** The writer. */
export interface LineWriter {
    /** Queues a line; false when the queue is full and the line was dropped. */
    readonly write: (line: string) => boolean;
    readonly queuedBytes: () => number;
    /**
     * Writes what is queued.
     *
     * @param timeoutMs - Time for it, in milliseconds.
     * @returns Whether everything was written; false when the reader has stalled.
     */
    readonly finish: (timeoutMs: number) => Promise<boolean>;
}

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
    readonly descriptor: number;
    /** Maximum number of queued characters. */
    readonly maxQueued: number;
}

/**
 * Creates a writer.
 *
 * @param options - The descriptor and the size limit of the queue.
 * @returns The writer.
 */
export function createLineWriter(options: LineWriterOptions): LineWriter {
    let queued: string[] = [];
    let queuedLength = 0;
    let isWriting = false;
    /** Called when nothing is left to write. */
    let onIdle: () => void = () => undefined;

    function writeRemaining(bytes: Buffer, from: number): void {
        // Only one write at a time occupies the thread pool, so a full pipe blocks that write and nothing else.
        write(options.descriptor, bytes, from, bytes.length - from, undefined, (err, written) => {
            // A write error means that the reader has closed the pipe; the lines are lost.
            const next = err instanceof Error ? bytes.length : from + written;
            if (next < bytes.length) {
                writeRemaining(bytes, next);
                return;
            }
            isWriting = false;
            flush();
        });
    }

    function flush(): void {
        if (isWriting) {
            return;
        }
        if (queued.length === 0) {
            onIdle();
            return;
        }
        isWriting = true;
        const bytes = Buffer.from(queued.join(""));
        queued = [];
        queuedLength = 0;
        writeRemaining(bytes, 0);
    }

    return {
        write: line => {
            if (queuedLength + line.length > options.maxQueued) {
                return false;
            }
            queued.push(`${line}\n`);
            queuedLength += line.length + 1;
            setImmediate(flush);
            return true;
        },
        queuedBytes: () => queuedLength,
        finish: timeoutMs =>
            new Promise(resolve => {
                // A timer runs before the end of a write is seen, however long ago that was.
                const timer = setTimeout(() => setImmediate(() => resolve(false)), timeoutMs);
                onIdle = () => {
                    clearTimeout(timer);
                    resolve(true);
                };
                flush();
            }),
    };
}
