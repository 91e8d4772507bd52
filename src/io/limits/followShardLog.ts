/**
 * @module
 * Follows the share stream of the log, and appends this instance's records to it.
 */
import { createLedgerReader, encodeCheckpoint } from "../../core/limits/createLedgerReader.js";
import type { EndedShard, RecordOutcome, ShardManager } from "../../core/limits/createShardManager.js";
import type { ShardLedger } from "../../core/limits/foldShardRecord.js";
import { maxShardWaitMs } from "../../core/limits/limitConstants.js";
import type { LogPage, LogPort } from "../../core/ports/logPort.js";
import type { PortFailure } from "../../core/ports/portFailure.js";
import type { Clock } from "../../core/time/clock.js";

/** What the follower needs. */
export interface ShardLogFollowerDependencies {
    /** Undefined when the instance has no log setting. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly manager: () => ShardManager;
    /** Hands shards whose use has ended over to the standbys; called when the log has not accepted their release. */
    readonly handOver: (shards: readonly EndedShard[]) => Promise<void>;
    /** Schedules an early planning round for the shards. */
    readonly reviewShards: () => void;
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** The follower of the share stream. */
export interface ShardLogFollower {
    readonly start: () => void;
    /** Replaces the ledger by a peer's ledger if that one is newer. */
    readonly adopt: (ledger: ShardLedger) => void;
    /** Whether a starting instance has its shards, or cannot get them: the log is unavailable or takes too long. */
    readonly isSettled: () => boolean;
    /** Whether the log was reached by the last call. */
    readonly isLogReachable: () => boolean;
    /** Appends a record; calls `onSettled` once its outcome is known or will not be known. */
    readonly append: (record: string, onSettled: (outcome: RecordOutcome) => void) => void;
    /** Releases every shard, on the log or else to the standbys, and stops following. */
    readonly stop: () => Promise<void>;
}

/** An appended record that the follower has not read back yet. */
interface PendingAppend {
    readonly offset: number;
    readonly onSettled: (outcome: RecordOutcome) => void;
}

/** Number of records after which an instance may write a checkpoint, and the probability with which it does so. */
const recordsPerCheckpoint = 200;
const checkpointProbability = 0.1;

/** Interval after which a checkpoint is due for fewer records, in milliseconds. */
const checkpointIntervalMs = 600_000;

/** Whether the record of a failed append may be in the log. */
const isUncertain = ({ kind }: PortFailure) => kind === "lost" || kind === "malformed";

const pollWaitMs = 5_000;
const retryDelayMs = 1_000;

/**
 * Creates the follower.
 *
 * @param dependencies - The log and the shard manager.
 * @returns The follower; it reads nothing before `start`.
 */
export function followShardLog(dependencies: ShardLogFollowerDependencies): ShardLogFollower {
    const { log, clock, manager } = dependencies;
    const reader = createLedgerReader();
    let checkpointCheckMs = clock.now();
    let pending: readonly PendingAppend[] = [];
    let isStopped = false;
    let isReadable = false;
    let isReached = false;
    let hasPolled = false;
    let isSettled = log === undefined;
    let startedMs = clock.now();
    let cancelRetry: () => void = () => undefined;

    function settleFolded(): void {
        const { nextOffset } = manager().ledger();
        const folded = pending.filter(one => one.offset < nextOffset);
        pending = pending.filter(one => one.offset >= nextOffset);
        folded.forEach(one => one.onSettled("folded"));
    }

    /** A starting instance plans at once: the ledger names the standbys that it has to query before it is ready. */
    function adoptLedger(ledger: ShardLedger): void {
        manager().adopt(ledger);
        if (clock.now() - startedMs < maxShardWaitMs) {
            dependencies.reviewShards();
        }
    }

    /** No record is appended while the stream's state is not known, as after the log has dropped its beginning. */
    function applyPage(page: LogPage): void {
        const ledger = reader.applyPage(page);
        isReadable = ledger !== undefined;
        if (ledger !== undefined) {
            adoptLedger(ledger);
            settleFolded();
            writeDueCheckpoint();
        }
    }

    /** A checkpoint is due after many records, or after an interval with at least one record. */
    function writeDueCheckpoint(): void {
        const recordCount = reader.countSinceCheckpoint();
        const isIntervalOver = clock.now() - checkpointCheckMs > checkpointIntervalMs;
        checkpointCheckMs = isIntervalOver ? clock.now() : checkpointCheckMs;
        if (
            (recordCount >= recordsPerCheckpoint || (isIntervalOver && recordCount > 0))
            && dependencies.random() < checkpointProbability
        ) {
            void log?.append("shares", [encodeCheckpoint(manager().ledger())]);
        }
    }

    function delayRetry(): Promise<void> {
        return new Promise(resolve => {
            cancelRetry = clock.after(retryDelayMs, resolve);
        });
    }

    async function poll(port: LogPort): Promise<void> {
        while (!isStopped) {
            const page = await port.read("shares", reader.nextOffset(), isReadable ? pollWaitMs : 0);
            isReached = page.isOk;
            hasPolled = true;
            if (page.isOk && !isStopped) {
                applyPage(page.value);
            }
            if (page.isErr || !isReadable) {
                await delayRetry();
            }
        }
    }

    async function appendRecord(record: string, onSettled: (outcome: RecordOutcome) => void): Promise<void> {
        const appended = log === undefined || !isReadable ? undefined : await log.append("shares", [record]);
        if (appended === undefined || appended.isErr) {
            onSettled(appended?.isErr === true && isUncertain(appended.error) ? "lost" : "notAppended");
            return;
        }
        pending = [...pending, { offset: appended.value.firstOffset, onSettled }];
        settleFolded();
    }

    async function stop(): Promise<void> {
        const shards = manager().endUse();
        isStopped = true;
        cancelRetry();
        const record = isReached ? manager().createReleaseRecord(shards) : undefined;
        const released = record === undefined ? undefined : await log?.append("shares", [record]);
        const isReleased = released !== undefined && (released.isOk || isUncertain(released.error));
        if (shards.length > 0 && !isReleased) {
            await dependencies.handOver(shards);
        }
    }

    function checkSettled(): boolean {
        const isLate = clock.now() - startedMs >= maxShardWaitMs;
        const hasAllAnswers = manager().standby.listUnanswered().length === 0;
        isSettled = isSettled || isLate || (hasPolled && hasAllAnswers && (!isReached || manager().isSettled()));
        return isSettled;
    }

    return {
        isSettled: checkSettled,
        start: () => {
            startedMs = clock.now();
            if (log !== undefined) {
                void poll(log);
            }
        },
        adopt: ledger => {
            reader.adopt(ledger);
            adoptLedger(ledger);
        },
        isLogReachable: () => isReached,
        append: (record, onSettled) => void appendRecord(record, onSettled),
        stop,
    };
}
