/**
 * @module
 * Formats rows as a text table.
 */

/**
 * Formats a table.
 *
 * @param head - Names of the columns.
 * @param rows - Cells by row.
 * @returns The lines, each column as wide as its widest cell.
 */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): readonly string[] {
    const widths = head.map((name, column) => Math.max(name.length, ...rows.map(row => row[column]?.length ?? 0)));
    return [head, ...rows].map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd());
}
