/**
 * @module
 * Writes lines to a file descriptor without ever blocking the loop: a reader that stalls costs lines, not time.
 */
import { write } from "node:fs";

/** The writer. */
export interface LineWriter {
    /** Queues a line; false when the queue is full and the line is left out. */
    readonly write: (line: string) => boolean;
    readonly queuedBytes: () => number;
}

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
    readonly descriptor: number;
    /** Most characters that wait to be written. */
    readonly maxQueued: number;
}

/**
 * Creates a writer.
 *
 * @param options - The descriptor and the bound of the queue.
 * @returns The writer.
 */
export function createLineWriter(options: LineWriterOptions): LineWriter {
    let queued: string[] = [];
    let queuedLength = 0;
    let isWriting = false;

    function writeRemaining(bytes: Buffer, from: number): void {
        // One write at a time is handed to the thread pool; a full pipe holds that write back and nothing else.
        write(options.descriptor, bytes, from, bytes.length - from, undefined, (err, written) => {
            // A reader that is gone cannot be told; the lines are lost with it.
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
        if (isWriting || queued.length === 0) {
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
    };
}
