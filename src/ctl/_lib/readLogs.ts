/**
 * @module
 * Reads log files of instances.
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { isTimeLineCandidate } from "../../core/why/explainRequest.js";
import { type LogLine, parseLogLine } from "../../core/why/parseLogLine.js";

/** What was read. */
export interface ReadLogs {
    /** Lines that a request's time line may need. */
    readonly lines: readonly LogLine[];
    /** Lines that are no events of reedward. */
    readonly skipped: number;
}

/**
 * Reads the lines that may belong to a request's time line.
 *
 * @param files - Paths of the files.
 * @param requestId - Id of the request.
 * @returns The lines, in the order in which they stand. Rejects when a file cannot be read.
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
