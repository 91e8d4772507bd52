/**
 * @module
 * Reads a catalogue file.
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "true-myth/result";
import { type CatalogueEntry, catalogueEntrySchema } from "../../core/catalogue/catalogueEntry.js";

/** Maximum number of reported problems. */
const maxProblems = 20;

function readList(file: string): readonly unknown[] | string {
    try {
        const value: unknown = JSON.parse(readFileSync(file, "utf8"));
        const list = Array.isArray(value) ? value : (value as { entries?: unknown; } | undefined)?.entries;
        return Array.isArray(list) ? list : `${file}: expected an array of entries`;
    }
    catch (error) {
        return `${file}: ${error instanceof Error ? error.message : String(error)}`;
    }
}

function findDuplicates(entries: readonly CatalogueEntry[]): readonly string[] {
    const seen = new Set<string>();
    return entries.map(entry => `${entry.kind}/${entry.id}`).filter(key => seen.size === seen.add(key).size);
}

/**
 * Reads a catalogue file: a JSON array of entries, or an object with the array as "entries".
 *
 * @param file - Path of the file.
 * @returns The entries, or a sentence for each problem.
 */
export function readEntries(file: string): Result<readonly CatalogueEntry[], readonly string[]> {
    const list = readList(file);
    if (typeof list === "string") {
        return err([list]);
    }
    const problems: string[] = [];
    const entries: CatalogueEntry[] = [];
    for (const [index, one] of list.entries()) {
        const parsed = catalogueEntrySchema.safeParse(one);
        if (parsed.success) {
            entries.push(parsed.data);
            continue;
        }
        const issue = parsed.error.issues[0];
        problems.push(`${file}: entry ${index}: ${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`);
    }
    problems.push(...findDuplicates(entries).map(key => `${file}: ${key} stands twice`));
    return problems.length === 0 ? ok(entries) : err(problems.slice(0, maxProblems));
}
