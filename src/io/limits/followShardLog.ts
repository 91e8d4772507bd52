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

/** What following needs. */
export interface ShardLogFollowerDependencies {
    /** Undefined when the instance has no log setting. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly manager: () => ShardManager;
    /** Hands seats whose use has ended to the standbys; called when the log has not taken their release. */
    readonly handOver: (seats: readonly EndedShard[]) => Promise<void>;
    /** Plans seats soon, out of turn. */
    readonly reviewShards: () => void;
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** The follower of the share stream. */
export interface ShardLogFollower {
    readonly start: () => void;
    /** Takes a peer's ledger if it is newer. */
    readonly adopt: (ledger: ShardLedger) => void;
    /** Whether an instance that starts has its seats, or cannot have them: the log is not there or takes too long. */
    readonly isSettled: () => boolean;
    /** Whether the log was reached by the last call. */
    readonly isLogReachable: () => boolean;
    /** Appends a record; calls `onSettled` once its outcome is known or will not be known. */
    readonly append: (record: string, onSettled: (outcome: RecordOutcome) => void) => void;
    /** Gives up every seat, on the log or else to the standbys, and stops following. */
    readonly stop: () => Promise<void>;
}

interface Awaited {
    readonly offset: number;
    readonly onSettled: (outcome: RecordOutcome) => void;
}

/** Records after which an instance may write a checkpoint, and the chance with which it does so. */
const recordsPerCheckpoint = 200;
const checkpointChance = 0.1;

/** Longest time between the checks for a due checkpoint, in milliseconds. */
const checkpointPeriodMs = 600_000;

/** Whether the record of a failed append may stand in the log. */
const isLost = ({ kind }: PortFailure) => kind === "lost" || kind === "malformed";

const pollWaitMs = 5_000;
const retryDelayMs = 1_000;

/**
 * Creates the follower.
 *
 * @param dependencies - The log and the keeper of seats.
 * @returns The follower; it reads nothing before `start`.
 */
export function followShardLog(dependencies: ShardLogFollowerDependencies): ShardLogFollower {
    const { log, clock, manager: keeper } = dependencies;
    const reader = createLedgerReader();
    let checkpointCheckMs = clock.now();
    let awaited: readonly Awaited[] = [];
    let isStopped = false;
    let isReadable = false;
    let isReached = false;
    let isTried = false;
    let isSettled = log === undefined;
    let startedMs = clock.now();
    let cancelRetry: () => void = () => undefined;

    function settleFolded(): void {
        const { nextOffset } = keeper().ledger();
        const folded = awaited.filter(one => one.offset < nextOffset);
        awaited = awaited.filter(one => one.offset >= nextOffset);
        folded.forEach(one => one.onSettled("folded"));
    }

    /** An instance that starts learns from the ledger whom it has to ask; it is not ready before. */
    function adoptLedger(ledger: ShardLedger): void {
        keeper().adopt(ledger);
        if (clock.now() - startedMs < maxShardWaitMs) {
            dependencies.reviewShards();
        }
    }

    /** While the stream's state is not known, as after its beginning was dropped, no record is appended. */
    function takePage(page: LogPage): void {
        const ledger = reader.applyPage(page);
        isReadable = ledger !== undefined;
        if (ledger !== undefined) {
            adoptLedger(ledger);
            settleFolded();
            considerCheckpoint();
        }
    }

    /** A checkpoint is due after many records, or after a time in which there was any. */
    function considerCheckpoint(): void {
        const since = reader.countSinceCheckpoint();
        const isOld = clock.now() - checkpointCheckMs > checkpointPeriodMs;
        checkpointCheckMs = isOld ? clock.now() : checkpointCheckMs;
        if ((since >= recordsPerCheckpoint || (isOld && since > 0)) && dependencies.random() < checkpointChance) {
            void log?.append("shares", [encodeCheckpoint(keeper().ledger())]);
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
            isTried = true;
            if (page.isOk && !isStopped) {
                takePage(page.value);
            }
            if (page.isErr || !isReadable) {
                await delayRetry();
            }
        }
    }

    async function appendRecord(record: string, onSettled: (outcome: RecordOutcome) => void): Promise<void> {
        const appended = log === undefined || !isReadable ? undefined : await log.append("shares", [record]);
        if (appended === undefined || appended.isErr) {
            onSettled(appended?.isErr === true && isLost(appended.error) ? "lost" : "notAppended");
            return;
        }
        awaited = [...awaited, { offset: appended.value.firstOffset, onSettled }];
        settleFolded();
    }

    async function stop(): Promise<void> {
        const seats = keeper().endUse();
        isStopped = true;
        cancelRetry();
        const record = isReached ? keeper().createReleaseRecord(seats) : undefined;
        const released = record === undefined ? undefined : await log?.append("shares", [record]);
        const isReleased = released !== undefined && (released.isOk || isLost(released.error));
        if (seats.length > 0 && !isReleased) {
            await dependencies.handOver(seats);
        }
    }

    function checkSettled(): boolean {
        const isLate = clock.now() - startedMs >= maxShardWaitMs;
        const hasAsked = keeper().standby.listUnanswered().length === 0;
        isSettled = isSettled || isLate || (isTried && hasAsked && (!isReached || keeper().isSettled()));
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
