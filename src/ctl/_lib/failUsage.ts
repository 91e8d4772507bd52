/**
 * @module
 * The result of a command that was used wrongly.
 */
import type { CommandResult } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/**
 * Creates the result.
 *
 * @param problems - A sentence for each problem.
 * @returns The result.
 */
export function failUsage(problems: readonly string[]): CommandResult {
    return { exitCode: exitCodes.wrongUsage, json: { outcome: "malformed", problems }, lines: problems };
}
