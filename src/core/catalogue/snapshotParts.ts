/**
 * @module
 * Splits a snapshot into log records of limited size, and joins them.
 */
import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";
import { type CatalogueSnapshot, catalogueSnapshotSchema } from "./snapshot.js";

/** Maximum text of one part. */
const partCharacters = 128 << 10;

/** Maximum number of parts of a snapshot. */
const maxParts = 256;

const partSchema = z.strictObject({
    kind: z.literal("snapshotPart"),
    nextOffset: z.number().int().min(0),
    author: z.string().min(1).max(64),
    /** When the snapshot was written, in milliseconds since the Unix epoch. */
    writtenMs: z.number().min(0),
    /** Position of this part, from 0. */
    part: z.number().int().min(0).max(maxParts - 1),
    parts: z.number().int().min(1).max(maxParts),
    text: z.string().max(partCharacters),
}).readonly();

/** One record of the `snapshots` stream. */
export type SnapshotPart = z.infer<typeof partSchema>;

/**
 * Splits a snapshot into the records of one append.
 *
 * @param snapshot - The snapshot.
 * @param author - Name of the instance that writes it.
 * @param writtenMs - Time of writing, in milliseconds since the Unix epoch.
 * @returns The records as JSON text.
 * @example
 * await log.append("snapshots", splitSnapshot(snapshot, "entry-1", clock.wallNow()));
 */
export function splitSnapshot(snapshot: CatalogueSnapshot, author: string, writtenMs: number): readonly string[] {
    const text = JSON.stringify(snapshot);
    const parts = Math.ceil(text.length / partCharacters);
    return Array.from({ length: parts }, (_, part) =>
        JSON.stringify(
            {
                kind: "snapshotPart",
                nextOffset: snapshot.nextOffset,
                author,
                writtenMs,
                part,
                parts,
                text: text.slice(part * partCharacters, (part + 1) * partCharacters),
            } satisfies SnapshotPart,
        ));
}

/**
 * Parses one record of the `snapshots` stream.
 *
 * @param payload - The record as JSON text.
 * @returns The part, or undefined when the record is malformed.
 * @example
 * parseSnapshotPart("{}"); // undefined
 */
export function parseSnapshotPart(payload: string): SnapshotPart | undefined {
    return parseJson(partSchema, payload);
}

/**
 * Joins the parts of one snapshot.
 *
 * @param parts - All its parts in order.
 * @returns The snapshot, or an error message.
 * @example
 * joinSnapshot(splitSnapshot(snapshot, "entry-1", clock.wallNow()).map(one => parseSnapshotPart(one)!));
 */
export function joinSnapshot(parts: readonly SnapshotPart[]): Result<CatalogueSnapshot, string> {
    const first = parts[0];
    const isInOrder = first !== undefined && parts.length === first.parts
        && parts.every((one, index) =>
            one.part === index && one.nextOffset === first.nextOffset && one.author === first.author
        );
    if (!isInOrder) {
        return err("parts of the snapshot are missing, out of order or from different snapshots");
    }
    try {
        const parsed = catalogueSnapshotSchema.safeParse(JSON.parse(parts.map(one => one.text).join("")));
        if (!parsed.success) {
            return err(parsed.error.issues[0]?.message ?? "invalid");
        }
        return parsed.data.nextOffset === first.nextOffset
            ? ok(parsed.data)
            : err("the snapshot's offset differs from that of its parts");
    }
    catch {
        return err("the joined parts are not valid JSON");
    }
}
