/**
 * @module
 * Follows the catalogue's stream on the log and maintains the folded catalogue.
 */
import { type Catalogue, emptyCatalogue } from "../../core/catalogue/catalogue.js";
import type { ChangeVerdict, FoldVerdict } from "../../core/catalogue/foldVerdict.js";
import {
    adoptCatalogue,
    applyPage,
    emptyReplica,
    type RecordVerdict,
    type Replica,
} from "../../core/catalogue/replica.js";
import { catalogueFromSnapshot } from "../../core/catalogue/snapshot.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { LogPage, LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";
import { readNewestSnapshot } from "./readNewestSnapshot.js";

/** The catalogue in force on this instance. */
export interface CatalogueFollower {
    /** The catalogue in force; empty until it is loaded. */
    readonly current: () => Catalogue;
    /** True once the log was read to its end, or the catalogue of a peer or a snapshot was adopted. */
    readonly isLoaded: () => boolean;
    /** Adopts a peer's catalogue if it is newer. */
    readonly adopt: (catalogue: Catalogue) => void;
    /** Returns the verdict on a change, while it is retained. */
    readonly findVerdict: (changeId: string) => ChangeVerdict | undefined;
    /** Returns the milliseconds since the log last answered, or undefined if it never did. */
    readonly logContactAgeMs: () => number | undefined;
    readonly stop: () => void;
}

/** Dependencies of {@link followCatalogue}. */
export interface CatalogueFollowerDependencies {
    /** Undefined when the instance has no log setting. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    /** A number from 0 to 1, so that instances do not retry together. */
    readonly random: () => number;
    readonly writeLog: WriteLog;
    readonly onAdvance: (catalogue: Catalogue) => void;
    /** Counts the verdicts on records. */
    readonly countVerdict?: (kind: FoldVerdict["kind"]) => void;
}

/** Maximum wait of one read; with the log client's timeout, an unresponsive connection is dropped within 3 s. */
const pollWaitMs = 1_000;

/** Number of records at startup above which the newest snapshot is loaded instead of folding them all. */
const minRecordsForSnapshot = 500;
const minRetryDelayMs = 250;
const maxRetryDelayMs = 1_000;

/**
 * Starts following.
 *
 * @param dependencies - The log, the clock and the callbacks.
 * @returns The follower.
 */
export function followCatalogue(dependencies: CatalogueFollowerDependencies): CatalogueFollower {
    const { log, clock, writeLog } = dependencies;
    let replica: Replica = emptyReplica;
    let lastContactMs: number | undefined;
    let isReachable = true;
    let hasTriedSnapshot = false;
    let reportedProblem = "";
    let retryDelayMs = minRetryDelayMs;
    let isStopped = false;
    let cancelRetry: () => void = () => undefined;

    function replaceReplica(next: Replica): void {
        const hasChanged = next.isComplete && next !== replica;
        replica = next;
        if (hasChanged) {
            dependencies.onAdvance(replica.catalogue);
        }
    }

    function report({ offset, verdict }: RecordVerdict): void {
        dependencies.countVerdict?.(verdict.kind);
        if (verdict.kind === "accepted") {
            writeLog("catalogueAdvanced", { offset, changeId: verdict.changeId });
        }
        else if (verdict.kind === "conflict") {
            writeLog("catalogueConflict", { offset, ...verdict });
        }
        else if (verdict.kind === "repeated") {
            writeLog("catalogueRepeated", { offset, changeId: verdict.changeId });
        }
        else if (verdict.kind === "malformed") {
            writeLog("catalogueMalformed", { offset, detail: verdict.detail });
        }
    }

    function reportOnce(event: "catalogueGap" | "logBehind", fields: Readonly<Record<string, unknown>>): void {
        const problem = JSON.stringify([event, fields]);
        if (problem !== reportedProblem) {
            reportedProblem = problem;
            writeLog(event, fields);
        }
    }

    function recordReachability(isNow: boolean): void {
        if (isNow !== isReachable) {
            isReachable = isNow;
            writeLog(isNow ? "logReachable" : "logUnreachable");
        }
    }

    function pause(): Promise<void> {
        const delayMs = retryDelayMs * (0.5 + dependencies.random() / 2);
        retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
        return new Promise(resolve => {
            cancelRetry = clock.after(delayMs, resolve);
        });
    }

    /** Starts from the newest snapshot if the log is long, instead of folding it from the beginning. */
    async function startFromSnapshot(from: LogPort, page: LogPage): Promise<boolean> {
        const isLong = !replica.isComplete && page.end - replica.catalogue.nextOffset > minRecordsForSnapshot;
        if (!isLong || hasTriedSnapshot) {
            return false;
        }
        hasTriedSnapshot = true;
        const { nextOffset } = replica.catalogue;
        const found = await readNewestSnapshot(from);
        if (found !== undefined) {
            replaceReplica(adoptCatalogue(replica, catalogueFromSnapshot(found.snapshot)));
        }
        return replica.catalogue.nextOffset > nextOffset;
    }

    async function bridgeGap(from: LogPort, firstKept: number): Promise<boolean> {
        const { nextOffset } = replica.catalogue;
        reportOnce("catalogueGap", { nextOffset, firstKept });
        const found = await readNewestSnapshot(from);
        if (found === undefined || found.snapshot.nextOffset < firstKept) {
            return false;
        }
        replaceReplica(adoptCatalogue(replica, catalogueFromSnapshot(found.snapshot)));
        writeLog("catalogueBridged", { nextOffset: replica.catalogue.nextOffset });
        return true;
    }

    /** Applies a page and returns whether the next read may start immediately. */
    async function applyLogPage(from: LogPort, page: LogPage, readOffset: number): Promise<boolean> {
        if (readOffset < replica.catalogue.nextOffset) {
            // A peer's catalogue was adopted while the page was being read.
            return true;
        }
        if (await startFromSnapshot(from, page)) {
            return true;
        }
        const result = applyPage(replica, page);
        if (result.kind === "folded") {
            replaceReplica(page.records.length > 0 || !replica.isComplete ? result.replica : replica);
            result.verdicts.forEach(report);
            return true;
        }
        if (result.kind === "gap") {
            return await bridgeGap(from, result.firstKept);
        }
        reportOnce("logBehind", { nextOffset: replica.catalogue.nextOffset, end: result.end });
        return false;
    }

    async function poll(): Promise<void> {
        while (!isStopped && log !== undefined) {
            const readOffset = replica.catalogue.nextOffset;
            const page = await log.read("catalogue", readOffset, pollWaitMs);
            recordReachability(page.isOk);
            if (page.isOk) {
                lastContactMs = clock.now();
            }
            if (page.isOk && await applyLogPage(log, page.value, readOffset)) {
                retryDelayMs = minRetryDelayMs;
                continue;
            }
            await pause();
        }
    }

    void poll();
    return {
        current: () => replica.isComplete ? replica.catalogue : emptyCatalogue,
        isLoaded: () => replica.isComplete,
        adopt: other => replaceReplica(adoptCatalogue(replica, other)),
        findVerdict: changeId => replica.catalogue.changes.get(changeId),
        logContactAgeMs: () => lastContactMs === undefined ? undefined : clock.now() - lastContactMs,
        stop: () => {
            isStopped = true;
            cancelRetry();
        },
    };
}
