/**
 * @module
 * Parses and validates records of the catalogue's stream.
 */
import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";
import { parseJsonValue } from "../_lib/parseJsonValue.js";
import { type CatalogueChange, catalogueChangeSchema } from "./catalogueEntry.js";
import { orderProgressSchema, orderSchema } from "./orderRecord.js";

const recordSchema = z.discriminatedUnion("kind", [catalogueChangeSchema, orderSchema, orderProgressSchema]);

/** A record of the catalogue's stream. */
export type CatalogueRecord = z.infer<typeof recordSchema>;

/** Maximum length of a record. */
export const maxRecordCharacters = 1 << 20;

function findKeyMismatch(change: CatalogueChange): string | undefined {
    const edit = change.edits.find(one => one.entry !== undefined && one.key !== `${one.entry.kind}/${one.entry.id}`);
    return edit?.key;
}

function findRepeatedKey(change: CatalogueChange): string | undefined {
    const seen = new Set<string>();
    return change.edits.find(edit => seen.size === seen.add(edit.key).size)?.key;
}

function checkChange(change: CatalogueChange): Result<CatalogueChange, string> {
    const mismatch = findKeyMismatch(change);
    if (mismatch !== undefined) {
        return err(`edit ${mismatch} contains an entry with a different key`);
    }
    const repeated = findRepeatedKey(change);
    return repeated === undefined ? ok(change) : err(`more than one edit of ${repeated}`);
}

/**
 * Parses a record.
 *
 * @param payload - The record as JSON text.
 * @returns The record, or an error message.
 * @example
 * parseRecord("{}").isErr; // true
 */
export function parseRecord(payload: string): Result<CatalogueRecord, string> {
    if (payload.length > maxRecordCharacters) {
        return err(`the record is longer than ${maxRecordCharacters} characters`);
    }
    let value: unknown;
    try {
        value = parseJsonValue(payload);
    }
    catch {
        return err("the record is not valid JSON");
    }
    const parsed = recordSchema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        return err(`${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`);
    }
    return parsed.data.kind === "change" ? checkChange(parsed.data) : ok(parsed.data);
}
