/**
 * @module
 * Follows the catalogue's stream on the log and keeps the fold in force.
 */
import { type Catalogue, emptyCatalogue } from "../../core/catalogue/catalogue.js";
import type { ChangeVerdict, FoldVerdict } from "../../core/catalogue/foldVerdict.js";
import {
    adoptCatalogue,
    emptyReplica,
    type RecordVerdict,
    type Replica,
    takePage,
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
    /** True once the log was read to its end, or a peer's or a snapshot's whole catalogue was taken. */
    readonly isLoaded: () => boolean;
    /** Takes a peer's catalogue if it is newer. */
    readonly adopt: (catalogue: Catalogue) => void;
    /** Verdict on a change, while it is remembered. */
    readonly findVerdict: (changeId: string) => ChangeVerdict | undefined;
    /** Milliseconds since the log last answered; undefined when it never did. */
    readonly logContactAgeMs: () => number | undefined;
    readonly stop: () => void;
}

/** What following needs. */
export interface CatalogueFollowerDependencies {
    /** Undefined when the instance has no log setting. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    /** A number from 0 to 1, so that instances do not retry together. */
    readonly random: () => number;
    readonly writeLog: WriteLog;
    readonly onAdvance: (catalogue: Catalogue) => void;
    /** Counts what became of each record. */
    readonly countVerdict?: (kind: FoldVerdict["kind"]) => void;
}

/** Longest wait of one read; with the log client's time limit a silent connection is given up within 3 s. */
const pollWaitMs = 1_000;

/** Records that a start reads one by one; with more, it begins at the newest snapshot. */
const snapshotWorthRecords = 500;
const leastRetryDelayMs = 250;
const mostRetryDelayMs = 1_000;

/**
 * Starts following.
 *
 * @param dependencies - The log, the clock and the hooks.
 * @returns The follower.
 */
export function followCatalogue(dependencies: CatalogueFollowerDependencies): CatalogueFollower {
    const { log, clock, writeLog } = dependencies;
    let replica: Replica = emptyReplica;
    let lastContactMs: number | undefined;
    let isReachable = true;
    let hasTriedSnapshot = false;
    let reportedTrouble = "";
    let retryDelayMs = leastRetryDelayMs;
    let isStopped = false;
    let cancelRetry: () => void = () => undefined;

    function put(next: Replica): void {
        const hasChanged = next.isWhole && next !== replica;
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
        const trouble = JSON.stringify([event, fields]);
        if (trouble !== reportedTrouble) {
            reportedTrouble = trouble;
            writeLog(event, fields);
        }
    }

    function noteReachable(isNow: boolean): void {
        if (isNow !== isReachable) {
            isReachable = isNow;
            writeLog(isNow ? "logReachable" : "logUnreachable");
        }
    }

    function pause(): Promise<void> {
        const delayMs = retryDelayMs * (0.5 + dependencies.random() / 2);
        retryDelayMs = Math.min(mostRetryDelayMs, retryDelayMs * 2);
        return new Promise(resolve => {
            cancelRetry = clock.after(delayMs, resolve);
        });
    }

    /** A long log is not folded from its beginning when a snapshot stands further on. */
    async function startFromSnapshot(from: LogPort, page: LogPage): Promise<boolean> {
        const isLong = !replica.isWhole && page.end - replica.catalogue.nextOffset > snapshotWorthRecords;
        if (!isLong || hasTriedSnapshot) {
            return false;
        }
        hasTriedSnapshot = true;
        const { nextOffset } = replica.catalogue;
        const found = await readNewestSnapshot(from);
        if (found !== undefined) {
            put(adoptCatalogue(replica, catalogueFromSnapshot(found.snapshot)));
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
        put(adoptCatalogue(replica, catalogueFromSnapshot(found.snapshot)));
        writeLog("catalogueBridged", { nextOffset: replica.catalogue.nextOffset });
        return true;
    }

    /** Returns whether the next read may follow at once. */
    async function take(from: LogPort, page: LogPage, readOffset: number): Promise<boolean> {
        if (readOffset < replica.catalogue.nextOffset) {
            // A peer's catalogue was adopted while the page was on its way.
            return true;
        }
        if (await startFromSnapshot(from, page)) {
            return true;
        }
        const result = takePage(replica, page);
        if (result.kind === "folded") {
            put(page.records.length > 0 || !replica.isWhole ? result.replica : replica);
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
            noteReachable(page.isOk);
            if (page.isOk) {
                lastContactMs = clock.now();
            }
            if (page.isOk && await take(log, page.value, readOffset)) {
                retryDelayMs = leastRetryDelayMs;
                continue;
            }
            await pause();
        }
    }

    void poll();
    return {
        current: () => replica.isWhole ? replica.catalogue : emptyCatalogue,
        isLoaded: () => replica.isWhole,
        adopt: other => put(adoptCatalogue(replica, other)),
        findVerdict: changeId => replica.catalogue.changes.get(changeId),
        logContactAgeMs: () => lastContactMs === undefined ? undefined : clock.now() - lastContactMs,
        stop: () => {
            isStopped = true;
            cancelRetry();
        },
    };
}
