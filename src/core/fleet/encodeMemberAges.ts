/**
 * @module
 * Encodes when instances were last seen.
 */
import { ageUnitMs, entryBytes, maxAgeUnits } from "./_lib/memberAgeFormat.js";

/** When an instance was last seen. */
export interface MemberAge {
    /** Id of its description, as `deriveDescriptionId` derives it. */
    readonly id: number;
    /** Milliseconds since it was last seen, directly or through others. */
    readonly ageMs: number;
}

/**
 * Encodes ages. They are rounded up, so that no relay makes an instance look younger.
 *
 * @param ages - The ages; those beyond the format's range are left out.
 * @returns The entries in base64.
 * @example
 * encodeMemberAges([{ id: 7, ageMs: 300 }]); // "AAAABw8="
 */
export function encodeMemberAges(ages: readonly MemberAge[]): string {
    const listed = ages.filter(({ ageMs }) => ageMs <= ageUnitMs * maxAgeUnits);
    const bytes = Buffer.alloc(listed.length * entryBytes);
    listed.forEach(({ id, ageMs }, index) => {
        bytes.writeUInt32BE(id, index * entryBytes);
        bytes.writeUInt8(Math.max(0, Math.ceil(ageMs / ageUnitMs)), index * entryBytes + entryBytes - 1);
    });
    return bytes.toString("base64");
}
