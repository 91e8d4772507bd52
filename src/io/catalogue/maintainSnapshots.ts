/**
 * @module
 * Writes the catalogue to the log as a snapshot when one is due.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { isSnapshotDue } from "../../core/catalogue/isSnapshotDue.js";
import { catalogueToSnapshot } from "../../core/catalogue/snapshot.js";
import { splitSnapshot } from "../../core/catalogue/snapshotParts.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";
import { readNewestSnapshot } from "./readNewestSnapshot.js";

/** Dependencies of {@link maintainSnapshots}. */
export interface SnapshotMaintenanceDependencies {
    readonly log: LogPort;
    readonly clock: Clock;
    /** A number from 0 to 1, so that instances do not write together. */
    readonly random: () => number;
    readonly writeLog: WriteLog;
    readonly instance: string;
    /** Returns the complete catalogue, or undefined while this instance has none. */
    readonly current: () => Catalogue | undefined;
    /** Milliseconds that the log keeps records. */
    readonly retentionMs: number;
}

/** Share of the retention over which the instances spread their checks. */
const spreadShare = 0.125;

/** Maximum mean time between two checks. */
const maxCheckPeriodMs = 600_000;

/**
 * Starts to check regularly whether a snapshot is due.
 *
 * @param dependencies - The log, the clock and the catalogue.
 * @returns A function that stops it.
 */
export function maintainSnapshots(dependencies: SnapshotMaintenanceDependencies): () => void {
    const { log, clock, retentionMs } = dependencies;
    const periodMs = Math.min(maxCheckPeriodMs, retentionMs * spreadShare);
    let newest: { readonly nextOffset: number; readonly writtenMs: number; } | undefined;
    let isStopped = false;
    let cancelTimer: () => void = () => undefined;

    function findDue(): Catalogue | undefined {
        const catalogue = dependencies.current();
        const { nextOffset } = catalogue ?? { nextOffset: 0 };
        const ageMs = clock.wallNow() - (newest?.writtenMs ?? -Infinity);
        return isSnapshotDue({ nextOffset, newestSnapshot: newest?.nextOffset, ageMs, retentionMs })
            ? catalogue
            : undefined;
    }

    /** Reads the newest snapshot, which another instance may have written since the last check. */
    async function refreshNewest(): Promise<void> {
        const found = await readNewestSnapshot(log);
        if (found !== undefined) {
            newest = { nextOffset: found.snapshot.nextOffset, writtenMs: found.writtenMs };
        }
    }

    async function write(catalogue: Catalogue): Promise<void> {
        const written = { nextOffset: catalogue.nextOffset, writtenMs: clock.wallNow() };
        const parts = splitSnapshot(catalogueToSnapshot(catalogue), dependencies.instance, written.writtenMs);
        const appended = await log.append("snapshots", parts);
        if (appended.isOk) {
            newest = written;
            dependencies.writeLog("snapshotWritten", { nextOffset: written.nextOffset, records: parts.length });
        }
    }

    async function check(): Promise<void> {
        if (findDue() !== undefined) {
            await refreshNewest();
        }
        const due = findDue();
        if (due !== undefined && !isStopped) {
            await write(due);
        }
        schedule();
    }

    function schedule(): void {
        if (!isStopped) {
            cancelTimer = clock.after((0.5 + dependencies.random()) * periodMs, () => void check());
        }
    }

    schedule();
    return () => {
        isStopped = true;
        cancelTimer();
    };
}
