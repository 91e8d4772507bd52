/**
 * @module
 * Follows the catalogue's stream on the log and keeps the fold in force.
 */
import { type Catalogue, emptyCatalogue } from "../../core/catalogue/catalogue.js";
import { foldRecord, type FoldVerdict } from "../../core/catalogue/foldRecord.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";

/** The catalogue in force on this instance. */
export interface CatalogueFollower {
    readonly current: () => Catalogue;
    /** True once a record or a peer's catalogue was taken. */
    readonly isLoaded: () => boolean;
    /** Takes a peer's catalogue if it is newer. */
    readonly adopt: (catalogue: Catalogue) => void;
    /** Verdict on a change, while it is remembered. */
    readonly findVerdict: (changeId: string) => FoldVerdict | undefined;
    /** Milliseconds since the log last answered; undefined when it never did. */
    readonly logContactAgeMs: () => number | undefined;
    readonly stop: () => void;
}

/** What following needs. */
export interface CatalogueFollowerDependencies {
    /** Undefined when the instance has no log setting. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly writeLog: WriteLog;
    readonly onAdvance: (catalogue: Catalogue) => void;
}

const pollWaitMs = 1_000;
const retryDelayMs = 250;
const rememberedVerdicts = 10_000;

/**
 * Starts following.
 *
 * @param dependencies - The log, the clock and the hooks.
 * @returns The follower.
 */
export function followCatalogue(dependencies: CatalogueFollowerDependencies): CatalogueFollower {
    const { log, clock, writeLog } = dependencies;
    const verdicts = new Map<string, FoldVerdict>();
    let catalogue = emptyCatalogue;
    let lastContactMs: number | undefined;
    let isReachable = true;
    let isStopped = false;
    let cancelRetry: () => void = () => undefined;

    function remember(verdict: FoldVerdict): void {
        if (verdict.kind !== "accepted" && verdict.kind !== "conflict") {
            return;
        }
        verdicts.set(verdict.changeId, verdict);
        if (verdicts.size > rememberedVerdicts) {
            verdicts.delete(verdicts.keys().next().value!);
        }
    }

    function take(offset: number, payload: string): void {
        const folded = foldRecord(catalogue, offset, payload);
        catalogue = folded.catalogue;
        remember(folded.verdict);
        if (folded.verdict.kind === "accepted") {
            writeLog("catalogueAdvanced", { offset, changeId: folded.verdict.changeId });
        }
        else if (folded.verdict.kind === "conflict") {
            writeLog("catalogueConflict", { offset, ...folded.verdict });
        }
        else if (folded.verdict.kind === "malformed") {
            writeLog("catalogueMalformed", { offset, detail: folded.verdict.detail });
        }
    }

    function noteReachable(isNow: boolean): void {
        if (isNow !== isReachable) {
            isReachable = isNow;
            writeLog(isNow ? "logReachable" : "logUnreachable");
        }
    }

    async function poll(): Promise<void> {
        while (!isStopped && log !== undefined) {
            const page = await log.read("catalogue", catalogue.nextOffset, pollWaitMs);
            noteReachable(page.isOk);
            if (page.isErr) {
                await new Promise<void>(resolve => {
                    cancelRetry = clock.after(retryDelayMs, resolve);
                });
                continue;
            }
            lastContactMs = clock.now();
            page.value.records.forEach(record => take(record.offset, record.payload));
            if (page.value.records.length > 0) {
                dependencies.onAdvance(catalogue);
            }
        }
    }

    void poll();
    return {
        current: () => catalogue,
        isLoaded: () => catalogue.entries.size > 0,
        adopt: other => {
            if (other.nextOffset > catalogue.nextOffset) {
                catalogue = other;
                dependencies.onAdvance(catalogue);
            }
        },
        findVerdict: changeId => verdicts.get(changeId),
        logContactAgeMs: () => lastContactMs === undefined ? undefined : clock.now() - lastContactMs,
        stop: () => {
            isStopped = true;
            cancelRetry();
        },
    };
}
