/**
 * @module
 * The result of a usage error.
 */
import type { CommandResult } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/**
 * Creates the result of a usage error.
 *
 * @param problems - A sentence for each problem.
 * @returns The result.
 */
export function reportUsageError(problems: readonly string[]): CommandResult {
    return { exitCode: exitCodes.wrongUsage, json: { outcome: "malformed", problems }, lines: problems };
}
