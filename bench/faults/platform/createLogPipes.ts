/**
 * @module
 * The logs of the processes at one address: a file, a full pipe that nobody reads, and a pipe that is read late.
 */
import { spawnSync } from "node:child_process";
import { appendFileSync, closeSync, constants, openSync, readSync, writeSync } from "node:fs";
import { join } from "node:path";

/** Who reads the log of a process. */
export type LogReader = "file" | "nobody" | "late";

/** Every reader of a log. */
export const logReaders: readonly LogReader[] = ["file", "nobody", "late"];

/** The pipes. */
export interface LogPipes {
    /** Opens the log of a process; the caller closes it. */
    readonly openLog: (reader: Exclude<LogReader, "file">) => number;
    readonly close: () => void;
}

/** Time between two reads of the pipe that is read late, in milliseconds; a stop is shorter and longer than it. */
const lateReadMs = 4_000;

/** Size of the writes that fill a pipe: the smallest that a pipe takes as a whole, in bytes. */
const pipeBlockBytes = 4_096;

function createPipe(path: string): number {
    if (spawnSync("mkfifo", [path]).status !== 0) {
        throw new Error(`no pipe at ${path}`);
    }
    return openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
}

/** Repeats an access to a pipe until the pipe would have to be waited for. */
function repeatUntilBlocked(access: () => void): void {
    try {
        for (;;) {
            access();
        }
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "EAGAIN") {
            throw error;
        }
    }
}

/**
 * Creates the pipes of an address.
 *
 * @param folder - Folder for the pipes.
 * @param name - Beginning of their names.
 * @param logPath - File for the lines that are read late; undefined if they are not kept.
 * @returns The pipes.
 */
export function createLogPipes(folder: string, name: string, logPath: string | undefined): LogPipes {
    const paths = { nobody: join(folder, `${name}-nobody`), late: join(folder, `${name}-late`) };
    const unread = createPipe(paths.nobody);
    const late = createPipe(paths.late);
    const block = Buffer.alloc(pipeBlockBytes);
    repeatUntilBlocked(() => writeSync(unread, block));
    const timer = setInterval(() => {
        repeatUntilBlocked(() => {
            const length = readSync(late, block);
            if (logPath !== undefined) {
                appendFileSync(logPath, block.subarray(0, length));
            }
        });
    }, lateReadMs);
    return {
        openLog: reader => openSync(paths[reader], "a"),
        close: () => {
            clearInterval(timer);
            closeSync(unread);
            closeSync(late);
        },
    };
}
