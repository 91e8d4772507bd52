/**
 * @module
 * Publishes differences as one change.
 */
import { randomUUID } from "node:crypto";
import type { CatalogueChange } from "../../core/catalogue/catalogueEntry.js";
import type { EntryDifference } from "../../core/catalogue/diffEntries.js";
import type { ApplyAnswer } from "../../io/operator/operatorRouter.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";
import { formatFleet } from "./formatFleet.js";
import { readCatalogue } from "./readCatalogue.js";
import { reportConflict } from "./reportConflict.js";
import { waitUntilInForce } from "./waitUntilInForce.js";

/** Maximum number of retries, under the same id, of a change whose outcome is unknown. */
const maxRetries = 2;

function createChange(changeId: string, differences: readonly EntryDifference[], author: string): CatalogueChange {
    const edits = differences.map(({ key, revision, entry }) => ({ key, basedOn: revision, entry }));
    return { kind: "change", changeId, author, edits };
}

async function send(payload: string, invocation: Invocation): Promise<ApplyAnswer> {
    for (let retry = 0;; retry += 1) {
        try {
            const answer = await invocation.client.operator.applyChange.mutate(payload);
            if (answer.outcome !== "unknown" || retry === maxRetries) {
                return answer;
            }
        }
        catch (error) {
            if (retry === maxRetries) {
                const detail = error instanceof Error ? error.message : String(error);
                return { outcome: "unknown", verdict: undefined, detail };
            }
        }
    }
}

async function reportAccepted(changeId: string, revision: number, invocation: Invocation): Promise<CommandResult> {
    const json = { outcome: "accepted", changeId, revision };
    const line = `accepted ${changeId} as revision ${revision}`;
    if (!invocation.flags.wait) {
        return { exitCode: exitCodes.accepted, json, lines: [line] };
    }
    const { isEverywhere, waitedMs, rows } = await waitUntilInForce(revision, invocation);
    const end = isEverywhere ? `in force everywhere after ${Math.round(waitedMs)} ms` : "not in force everywhere";
    return {
        exitCode: isEverywhere ? exitCodes.accepted : exitCodes.notInForce,
        json: { ...json, isInForceEverywhere: isEverywhere, waitedMs, instances: rows },
        lines: [line, end, ...formatFleet(rows)],
    };
}

/**
 * Publishes differences as one change.
 *
 * @param differences - The differences to publish, with the revisions they are based on.
 * @param invocation - The invocation.
 * @returns The outcome of the change.
 */
export async function publishChange(
    differences: readonly EntryDifference[],
    invocation: Invocation,
): Promise<CommandResult> {
    const changeId = invocation.flags.changeId ?? randomUUID();
    const change = createChange(changeId, differences, invocation.flags.author);
    const answer = await send(JSON.stringify(change), invocation);
    if (answer.outcome === "accepted" && answer.verdict?.kind === "accepted") {
        return await reportAccepted(changeId, answer.verdict.revision, invocation);
    }
    if (answer.outcome === "conflict") {
        return reportConflict(changeId, differences, await readCatalogue(invocation));
    }
    return {
        exitCode: exitCodes[answer.outcome],
        json: { outcome: answer.outcome, changeId, detail: answer.detail },
        lines: [`${answer.outcome} ${changeId} ${answer.detail}`.trim()],
    };
}
