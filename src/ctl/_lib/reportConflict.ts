/**
 * @module
 * Reports an edit conflict: the change that came first and the remaining differences.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { diffEntries, type EntryDifference } from "../../core/catalogue/diffEntries.js";
import type { CommandResult } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";
import { formatDifferences } from "./formatDifferences.js";

/** The change that came first. */
interface Winner {
    readonly changeId: string;
    readonly author: string;
    readonly revision: number;
}

function findWinner(catalogue: Catalogue, revision: number): Winner | undefined {
    for (const verdict of catalogue.changes.values()) {
        if (verdict.kind === "accepted" && verdict.revision === revision) {
            return { changeId: verdict.changeId, author: verdict.author, revision };
        }
    }
    return undefined;
}

/**
 * Compares the wanted entries with those in force now, and names the changes made in between.
 *
 * @param changeId - Id of the rejected change.
 * @param wanted - The wanted differences, with the revisions they were based on.
 * @param catalogue - The catalogue in force.
 * @returns The conflict.
 */
export function reportConflict(
    changeId: string,
    wanted: readonly EntryDifference[],
    catalogue: Catalogue,
): CommandResult {
    const entries = wanted.flatMap(one => one.entry === undefined ? [] : [one.entry]);
    const outdated = wanted.filter(one => (catalogue.entries.get(one.key)?.revision ?? 0) !== one.revision);
    const keys = new Set(outdated.map(one => one.key));
    const differences = diffEntries(catalogue, entries, { isPruning: false }).filter(one => keys.has(one.key));
    const conflicts = outdated.map(one => {
        const revision = catalogue.entries.get(one.key)?.revision ?? 0;
        return { key: one.key, basedOn: one.revision, revision, winner: findWinner(catalogue, revision) };
    });
    const lines = conflicts.map(({ key, basedOn, revision, winner }) => {
        const by = winner === undefined ? "" : ` by change ${winner.changeId} of ${winner.author}`;
        const what = revision === 0 ? "was removed" : `is at revision ${revision}${by}`;
        return `${key} was at revision ${basedOn} and ${what}`;
    });
    return {
        exitCode: exitCodes.conflict,
        json: { outcome: "conflict", changeId, conflicts, differences },
        lines: [`conflict ${changeId}: another change came first`, ...lines, ...formatDifferences(differences)],
    };
}
