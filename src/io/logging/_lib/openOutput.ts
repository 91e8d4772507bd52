/**
 * @module
 * Opens a file descriptor for writes that never hold up the event loop, a thread or the exit of the process.
 */
import { constants, fstatSync, openSync, type Stats, write } from "node:fs";
import { Socket } from "node:net";

/** Writes bytes one buffer at a time, and tells once whether all of them were written. */
export type WriteBytes = (bytes: Buffer, onDone: (isWritten: boolean) => void) => void;

/** Interval at which a device that takes nothing is tried again, in milliseconds. */
const deviceRetryMs = 50;

function readStats(descriptor: number): Stats | undefined {
    try {
        return fstatSync(descriptor);
    }
    catch {
        return undefined;
    }
}

/**
 * Opens what a descriptor refers to once more: whether a write waits is a property that all holders of a descriptor share,
 * and another process can change it at any time.
 *
 * @returns The new descriptor; the given one if it cannot be opened again; undefined if a pipe has no reader.
 */
function reopen(descriptor: number): number | undefined {
    try {
        return openSync(`/proc/self/fd/${descriptor}`, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_NOCTTY);
    }
    catch (error) {
        return (error as NodeJS.ErrnoException).code === "ENXIO" ? undefined : descriptor;
    }
}

/** Writes to a pipe or a socket, which the event loop waits for. */
function createStreamOutput(openDescriptor: () => number | undefined): WriteBytes {
    let socket: Socket | undefined;

    function open(): Socket | undefined {
        const descriptor = openDescriptor();
        if (descriptor === undefined) {
            return undefined;
        }
        const opened = new Socket({ fd: descriptor, readable: false, writable: true });
        opened.unref();
        opened.on("error", () => {
            // The callbacks of the writes receive it too.
        });
        opened.on("close", () => {
            socket = undefined;
        });
        return opened;
    }

    return (bytes, onDone) => {
        socket ??= open();
        if (socket === undefined) {
            onDone(false);
            return;
        }
        socket.write(bytes, err => onDone(!(err instanceof Error)));
    };
}

const loseBytes: WriteBytes = (...[, onDone]) => onDone(false);

/** Writes to a regular file or a device. */
function createFileOutput(descriptor: number): WriteBytes {
    function writeFrom(bytes: Buffer, from: number, onDone: (isWritten: boolean) => void): void {
        write(descriptor, bytes, from, bytes.length - from, undefined, (err, written) => {
            if (err?.code === "EAGAIN") {
                setTimeout(() => writeFrom(bytes, from, onDone), deviceRetryMs).unref();
                return;
            }
            if (err instanceof Error || from + written === bytes.length) {
                onDone(!(err instanceof Error));
                return;
            }
            writeFrom(bytes, from + written, onDone);
        });
    }
    return (bytes, onDone) => writeFrom(bytes, 0, onDone);
}

/**
 * Opens a descriptor for writing.
 *
 * @param descriptor - The descriptor; it stays open.
 * @returns The output; one that cannot be written to loses everything.
 */
export function openOutput(descriptor: number): WriteBytes {
    const stats = readStats(descriptor);
    if (stats === undefined) {
        return loseBytes;
    }
    if (stats.isFIFO()) {
        return createStreamOutput(() => reopen(descriptor));
    }
    if (stats.isSocket()) {
        return createStreamOutput(() => descriptor);
    }
    return createFileOutput(stats.isFile() ? descriptor : reopen(descriptor) ?? descriptor);
}
