/**
 * @module
 * Writes lines to a file descriptor without ever waiting for its reader: when the reader stalls, lines are dropped.
 */
import { openOutput } from "./_lib/openOutput.js";

/** The writer. */
export interface LineWriter {
    /**
     * Queues a line; false when the queue is full and the line was dropped.
     *
     * @param onLost - Called when a queued line could not be written.
     */
    readonly write: (line: string, onLost?: () => void) => boolean;
    readonly queuedBytes: () => number;
    /**
     * Writes what is queued.
     *
     * @param timeoutMs - Time for it, in milliseconds.
     * @returns Whether nothing is left to write; false when the reader has stalled.
     */
    readonly finish: (timeoutMs: number) => Promise<boolean>;
}

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
    /** A regular file, a pipe, a socket or a device. */
    readonly descriptor: number;
    /** Maximum number of queued characters. */
    readonly maxQueued: number;
}

interface QueuedLine {
    readonly text: string;
    readonly onLost: () => void;
}

/**
 * Creates a writer.
 *
 * @param options - The descriptor and the size limit of the queue.
 * @returns The writer.
 */
export function createLineWriter(options: LineWriterOptions): LineWriter {
    const writeBytes = openOutput(options.descriptor);
    let queued: QueuedLine[] = [];
    let queuedLength = 0;
    let isWriting = false;
    /** Called when nothing is left to write. */
    let onIdle: () => void = () => undefined;

    function flush(): void {
        if (isWriting) {
            return;
        }
        if (queued.length === 0) {
            onIdle();
            return;
        }
        isWriting = true;
        const lines = queued;
        queued = [];
        queuedLength = 0;
        writeBytes(Buffer.from(lines.map(line => line.text).join("")), isWritten => {
            isWriting = false;
            if (!isWritten) {
                lines.forEach(line => line.onLost());
            }
            flush();
        });
    }

    return {
        write: (line, onLost = () => undefined) => {
            if (queuedLength + line.length > options.maxQueued) {
                return false;
            }
            queued.push({ text: `${line}\n`, onLost });
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
