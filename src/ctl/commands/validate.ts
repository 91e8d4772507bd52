/**
 * @module
 * `reedwardctl validate`: checks a catalogue file without a daemon.
 */
import { checkReferences } from "../../core/catalogue/checkReferences.js";
import { readEntries } from "../_lib/readEntries.js";
import { reportUsageError } from "../_lib/reportUsageError.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/**
 * Checks that a file's entries are well-formed and their references valid.
 *
 * @param invocation - The invocation; its operand is the file.
 * @returns The number of entries, or every problem.
 */
export async function validate(invocation: Invocation): Promise<CommandResult> {
    const file = invocation.operands[0]!;
    const entries = readEntries(file);
    if (entries.isErr) {
        return reportUsageError(entries.error);
    }
    const problems = checkReferences(entries.value).map(one => `${file}: ${one.key} ${one.detail}`);
    if (problems.length > 0) {
        return reportUsageError(problems);
    }
    const count = entries.value.length;
    return {
        exitCode: exitCodes.done,
        json: { outcome: "done", entries: count },
        lines: [`${count} entries are right`],
    };
}
