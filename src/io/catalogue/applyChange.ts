/**
 * @module
 * Appends an operator's change to the log and waits for the verdict of the fold.
 */
import { catalogueChangeSchema } from "../../core/catalogue/catalogueEntry.js";
import type { FoldVerdict } from "../../core/catalogue/foldRecord.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";
import type { ApplyAnswer } from "../operator/operatorRouter.js";
import type { CatalogueFollower } from "./followCatalogue.js";

/** What applying needs. */
export interface ApplyChangeDependencies {
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly follower: CatalogueFollower;
}

const verdictTimeoutMs = 4_000;
const verdictPollMs = 20;

function readChangeId(payload: string): { readonly id: string; } | { readonly problem: string; } {
    try {
        const parsed = catalogueChangeSchema.safeParse(JSON.parse(payload));
        if (parsed.success) {
            return { id: parsed.data.changeId };
        }
        const issue = parsed.error.issues[0];
        return { problem: `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}` };
    }
    catch {
        return { problem: "the change is not JSON" };
    }
}

async function waitForVerdict(
    changeId: string,
    dependencies: ApplyChangeDependencies,
): Promise<FoldVerdict | undefined> {
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

/**
 * Applies a change. A lost append answer is resolved by the change id in the fold, never by a second append.
 *
 * @param payload - The change as JSON text.
 * @param dependencies - The log and the follower.
 * @returns What became of the change.
 */
export async function applyChange(payload: string, dependencies: ApplyChangeDependencies): Promise<ApplyAnswer> {
    const read = readChangeId(payload);
    if ("problem" in read) {
        return { outcome: "malformed", verdict: undefined, detail: read.problem };
    }
    if (dependencies.log === undefined) {
        return { outcome: "notRun", verdict: undefined, detail: "this instance has no log setting" };
    }
    const appended = await dependencies.log.append("catalogue", [payload]);
    if (appended.isErr && appended.error.kind !== "lost") {
        return { outcome: "notRun", verdict: undefined, detail: `log: ${appended.error.detail}` };
    }
    const verdict = await waitForVerdict(read.id, dependencies);
    if (verdict?.kind === "accepted" || verdict?.kind === "conflict") {
        return { outcome: verdict.kind, verdict, detail: "" };
    }
    return { outcome: "unknown", verdict, detail: "no verdict within 4 s; ask again with the same change id" };
}
