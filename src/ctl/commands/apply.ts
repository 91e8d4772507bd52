/**
 * @module
 * `reedwardctl apply`: publishes the differences between a file and the catalogue as one change.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { checkReferences } from "../../core/catalogue/checkReferences.js";
import { diffEntries, type EntryDifference } from "../../core/catalogue/diffEntries.js";
import { mergeEdits } from "../../core/catalogue/mergeEdits.js";
import { publishChange } from "../_lib/publishChange.js";
import { readCatalogue } from "../_lib/readCatalogue.js";
import { readEntries } from "../_lib/readEntries.js";
import { reportConflict } from "../_lib/reportConflict.js";
import { reportUsageError } from "../_lib/reportUsageError.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

function findProblems(catalogue: Catalogue, differences: readonly EntryDifference[]): readonly string[] {
    const edits = differences.map(({ key, revision, entry }) => ({ key, basedOn: revision, entry }));
    const changed = new Set(differences.map(one => one.key));
    const isRemoving = differences.some(one => one.action === "remove");
    return checkReferences(mergeEdits(catalogue, edits))
        .filter(problem => isRemoving || changed.has(problem.key))
        .map(problem => `${problem.key} ${problem.detail}`);
}

/**
 * Applies a file. With a base, entries that were changed after it are a conflict and nothing is sent.
 *
 * @param invocation - The invocation; its operand is the file.
 * @returns The outcome of the change.
 */
export async function apply(invocation: Invocation): Promise<CommandResult> {
    const entries = readEntries(invocation.operands[0]!);
    if (entries.isErr) {
        return reportUsageError(entries.error);
    }
    const catalogue = await readCatalogue(invocation);
    const differences = diffEntries(catalogue, entries.value, { isPruning: invocation.flags.prune });
    if (differences.length === 0) {
        const json = { outcome: "done", revision: catalogue.nextOffset };
        return { exitCode: exitCodes.done, json, lines: ["nothing to change"] };
    }
    const problems = findProblems(catalogue, differences);
    if (problems.length > 0) {
        return reportUsageError(problems);
    }
    const base = invocation.flags.base ?? catalogue.nextOffset;
    const based = differences.map(one => ({ ...one, revision: Math.min(one.revision, base) }));
    if (based.some((one, index) => one.revision !== differences[index]!.revision)) {
        return reportConflict("(not sent)", based, catalogue);
    }
    return await publishChange(differences, invocation);
}
