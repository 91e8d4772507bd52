/**
 * @module
 * Decodes when instances were last seen.
 */
import { ageUnitMs, entryBytes } from "./_lib/memberAgeFormat.js";
import type { MemberAge } from "./encodeMemberAges.js";

/**
 * Decodes ages.
 *
 * @param text - The entries in base64; bytes after the last whole entry are ignored.
 * @returns The ages.
 * @example
 * decodeMemberAges("AAAABw8="); // [{ id: 7, ageMs: 300 }]
 */
export function decodeMemberAges(text: string): readonly MemberAge[] {
    const bytes = Buffer.from(text, "base64");
    return Array.from({ length: Math.floor(bytes.length / entryBytes) }, (_, index) => ({
        id: bytes.readUInt32BE(index * entryBytes),
        ageMs: bytes.readUInt8(index * entryBytes + entryBytes - 1) * ageUnitMs,
    }));
}
