/**
 * @module
 * Reads log files of instances.
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { isTimeLineCandidate } from "../../core/why/explainRequest.js";
import { type LogLine, parseLogLine } from "../../core/why/parseLogLine.js";

/** Log lines that were read. */
export interface ReadLogs {
    /** Lines that may belong to the request's time line. */
    readonly lines: readonly LogLine[];
    /** Number of lines that are not log events of reedward. */
    readonly skipped: number;
}

/**
 * Reads the lines that may belong to a request's time line.
 *
 * @param files - Paths of the files.
 * @param requestId - Id of the request.
 * @returns The lines, in file order. Rejects when a file cannot be read.
 */
export async function readLogs(files: readonly string[], requestId: string): Promise<ReadLogs> {
    const lines: LogLine[] = [];
    let skipped = 0;
    for (const file of files) {
        for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
            const parsed = parseLogLine(text);
            if (parsed.isErr) {
                skipped += text.trim() === "" ? 0 : 1;
            }
            else if (isTimeLineCandidate(parsed.value, requestId)) {
                lines.push(parsed.value);
            }
        }
    }
    return { lines, skipped };
}
