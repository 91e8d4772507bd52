/**
 * @module
 * The lines of the instances' logs that name one of some attempts.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/**
 * Finds the lines about attempts.
 *
 * @param folder - Folder with the logs.
 * @param attemptIds - Ids of the attempts.
 * @returns The lines of all logs, in the order of the attempts.
 */
export function findLogLines(folder: string, attemptIds: readonly string[]): readonly string[] {
    const lines = readdirSync(folder).flatMap(name => readFileSync(join(folder, name), "utf8").split("\n"));
    return attemptIds.flatMap(id => lines.filter(line => line.includes(`"requestId":${JSON.stringify(id)}`)));
}
