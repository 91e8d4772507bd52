/**
 * @module
 * Reads the newest complete snapshot of the catalogue from the log.
 */
import type { CatalogueSnapshot } from "../../core/catalogue/snapshot.js";
import { joinSnapshot, parseSnapshotPart, type SnapshotPart } from "../../core/catalogue/snapshotParts.js";
import type { LogPort, LogRecord } from "../../core/ports/logPort.js";

/** Maximum number of records, from the end backwards, that are tried as the end of a complete snapshot. */
const maxTries = 32;

/** A snapshot that was found on the log. */
export interface FoundSnapshot {
    readonly snapshot: CatalogueSnapshot;
    /** When it was written, in milliseconds since the Unix epoch. */
    readonly writtenMs: number;
}

async function readFrom(log: LogPort, from: number, count: number): Promise<readonly LogRecord[]> {
    const records: LogRecord[] = [];
    while (records.length < count) {
        const page = await log.read("snapshots", from + records.length, 0);
        const next = page.isOk ? page.value.records : [];
        if (next[0]?.offset !== from + records.length) {
            return [];
        }
        records.push(...next);
    }
    return records.slice(0, count);
}

/** The last record of a snapshot has the number of parts, so the others are found without reading older snapshots. */
async function readEndingAt(log: LogPort, last: number): Promise<FoundSnapshot | undefined> {
    const [record] = await readFrom(log, last, 1);
    const part = record === undefined ? undefined : parseSnapshotPart(record.payload);
    if (part === undefined || part.part !== part.parts - 1) {
        return undefined;
    }
    const records = await readFrom(log, last - part.part, part.parts);
    const parts = records.map(one => parseSnapshotPart(one.payload));
    const joined = joinSnapshot(parts.filter((one): one is SnapshotPart => one !== undefined));
    return joined.isOk ? { snapshot: joined.value, writtenMs: part.writtenMs } : undefined;
}

/**
 * Reads the newest snapshot. Malformed and truncated ones are skipped.
 *
 * @param log - The log.
 * @returns The snapshot, or undefined when the log has none or is not reachable.
 */
export async function readNewestSnapshot(log: LogPort): Promise<FoundSnapshot | undefined> {
    const tail = await log.read("snapshots", Number.MAX_SAFE_INTEGER, 0);
    if (tail.isErr) {
        return undefined;
    }
    const { firstKept, end } = tail.value;
    for (let last = end - 1; last >= firstKept && last > end - 1 - maxTries; last -= 1) {
        const found = await readEndingAt(log, last);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}
