/**
 * @module
 * Appends an operator's change to the log and waits for the verdict of the fold.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import type { CatalogueChange } from "../../core/catalogue/catalogueEntry.js";
import { checkReferences } from "../../core/catalogue/checkReferences.js";
import type { ChangeVerdict } from "../../core/catalogue/foldVerdict.js";
import { mergeEdits } from "../../core/catalogue/mergeEdits.js";
import { parseRecord } from "../../core/catalogue/parseRecord.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";
import type { ApplyAnswer } from "../operator/operatorRouter.js";
import type { CatalogueFollower } from "./followCatalogue.js";

/** Dependencies of {@link applyChange}. */
export interface ApplyChangeDependencies {
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly follower: CatalogueFollower;
}

const verdictTimeoutMs = 4_000;
const verdictPollMs = 20;

async function waitForVerdict(
    changeId: string,
    dependencies: ApplyChangeDependencies,
): Promise<ChangeVerdict | undefined> {
    const { clock, follower } = dependencies;
    const endMs = clock.now() + verdictTimeoutMs;
    while (clock.now() < endMs) {
        const verdict = follower.findVerdict(changeId);
        if (verdict !== undefined) {
            return verdict;
        }
        await new Promise<void>(resolve => clock.after(verdictPollMs, resolve));
    }
    return undefined;
}

function toAnswer(verdict: ChangeVerdict): ApplyAnswer {
    const detail = verdict.kind === "conflict"
        ? `${verdict.key} was changed by revision ${verdict.revision}`
        : "";
    return { outcome: verdict.kind, verdict, detail };
}

/** Concurrent changes may still leave a dangling reference; an upstream with one gets no requests. */
function findProblem(catalogue: Catalogue, change: CatalogueChange): string | undefined {
    const before = new Set(checkReferences([...catalogue.entries.values()].map(held => held.entry)).map(toText));
    return checkReferences(mergeEdits(catalogue, change.edits)).map(toText).find(problem => !before.has(problem));
}

function toText(problem: { readonly key: string; readonly detail: string; }): string {
    return `${problem.key} ${problem.detail}`;
}

/**
 * Applies a change. If the answer to the append is lost, the fold finds the outcome by the change id; the change is
 * never appended again.
 *
 * @param payload - The change as JSON text.
 * @param dependencies - The log and the follower.
 * @returns The outcome of the change.
 */
export async function applyChange(payload: string, dependencies: ApplyChangeDependencies): Promise<ApplyAnswer> {
    const record = parseRecord(payload);
    if (record.isErr || record.value.kind !== "change") {
        return { outcome: "malformed", verdict: undefined, detail: record.isErr ? record.error : "not a change" };
    }
    const known = dependencies.follower.findVerdict(record.value.changeId);
    if (known !== undefined) {
        return toAnswer(known);
    }
    const problem = findProblem(dependencies.follower.current(), record.value);
    if (problem !== undefined) {
        return { outcome: "malformed", verdict: undefined, detail: problem };
    }
    if (dependencies.log === undefined) {
        return { outcome: "notRun", verdict: undefined, detail: "this instance has no log setting" };
    }
    const appended = await dependencies.log.append("catalogue", [payload]);
    if (appended.isErr && (appended.error.kind === "notSent" || appended.error.kind === "refused")) {
        return { outcome: "notRun", verdict: undefined, detail: `log: ${appended.error.detail}` };
    }
    const verdict = await waitForVerdict(record.value.changeId, dependencies);
    return verdict === undefined
        ? { outcome: "unknown", verdict, detail: "no verdict within 4 s; retry with the same change id" }
        : toAnswer(verdict);
}
