/**
 * @module
 * Formats the differences between a file and the catalogue as text.
 */
import type { EntryDifference } from "../../core/catalogue/diffEntries.js";

const signs = { add: "+", change: "~", remove: "-" } as const;

function formatValue(value: unknown): string {
    return value === undefined ? "(none)" : JSON.stringify(value);
}

/**
 * Formats a line for each entry, followed by a line for each changed field.
 *
 * @param differences - The differences.
 * @returns The lines.
 */
export function formatDifferences(differences: readonly EntryDifference[]): readonly string[] {
    return differences.flatMap(({ key, action, revision, fields }) => {
        const head = `${signs[action]} ${key}${action === "add" ? "" : ` (revision ${revision})`}`;
        const changed = action === "change" ? fields : [];
        return [
            head,
            ...changed.map(one => `    ${one.field}: ${formatValue(one.inForce)} -> ${formatValue(one.wanted)}`),
        ];
    });
}
