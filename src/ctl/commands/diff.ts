/**
 * @module
 * `reedwardctl diff`: shows what applying a file would change.
 */
import { diffEntries } from "../../core/catalogue/diffEntries.js";
import { formatDifferences } from "../_lib/formatDifferences.js";
import { readCatalogue } from "../_lib/readCatalogue.js";
import { readEntries } from "../_lib/readEntries.js";
import { reportUsageError } from "../_lib/reportUsageError.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/**
 * Compares a file with the catalogue in force.
 *
 * @param invocation - The invocation; its operand is the file.
 * @returns The differences and the base to pass to `apply`.
 */
export async function diff(invocation: Invocation): Promise<CommandResult> {
    const entries = readEntries(invocation.operands[0]!);
    if (entries.isErr) {
        return reportUsageError(entries.error);
    }
    const catalogue = await readCatalogue(invocation);
    const base = catalogue.nextOffset;
    const differences = diffEntries(catalogue, entries.value, { isPruning: invocation.flags.prune });
    const lines = differences.length === 0 ? ["no differences"] : formatDifferences(differences);
    return {
        exitCode: differences.length === 0 ? exitCodes.done : exitCodes.differs,
        json: { outcome: differences.length === 0 ? "done" : "differs", base, differences },
        lines: [...lines, `base ${base}`],
    };
}
