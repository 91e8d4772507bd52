/**
 * @module
 * Follows the share stream of the log, and appends this instance's records to it.
 */
import type { SeatKeeper } from "../../core/limits/createSeatKeeper.js";
import type { LogPage, LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";

/** What following needs. */
export interface SeatFollowerDependencies {
    /** Undefined when the instance has no log setting. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly keeper: () => SeatKeeper;
}

/** The follower of the share stream. */
export interface SeatFollower {
    readonly start: () => void;
    /** Appends a record; calls `onSettled` once it was folded, refused or lost. */
    readonly append: (record: string, onSettled: () => void) => void;
    /** Gives up every seat on the log and stops following. */
    readonly stop: () => Promise<void>;
}

interface Awaited {
    readonly offset: number;
    readonly onSettled: () => void;
}

const pollWaitMs = 5_000;
const retryDelayMs = 1_000;

/**
 * Creates the follower.
 *
 * @param dependencies - The log and the keeper of seats.
 * @returns The follower; it reads nothing before `start`.
 */
export function followSeats(dependencies: SeatFollowerDependencies): SeatFollower {
    const { log, clock, keeper } = dependencies;
    let awaited: readonly Awaited[] = [];
    let isStopped = false;
    let isReadable = false;
    let cancelRetry: () => void = () => undefined;

    function settleFolded(): void {
        const { nextOffset } = keeper().ledger();
        const folded = awaited.filter(one => one.offset < nextOffset);
        awaited = awaited.filter(one => one.offset >= nextOffset);
        folded.forEach(one => one.onSettled());
    }

    /** Records that the log no longer keeps are bridged by a peer's ledger; until then nothing is folded. */
    function takePage(page: LogPage): void {
        isReadable = page.firstKept <= keeper().ledger().nextOffset;
        if (isReadable) {
            page.records.forEach(record => keeper().fold(record.offset, record.payload));
            settleFolded();
        }
    }

    function delayRetry(): Promise<void> {
        return new Promise(resolve => {
            cancelRetry = clock.after(retryDelayMs, resolve);
        });
    }

    async function poll(port: LogPort): Promise<void> {
        while (!isStopped) {
            const page = await port.read("shares", keeper().ledger().nextOffset, isReadable ? pollWaitMs : 0);
            if (page.isOk && !isStopped) {
                takePage(page.value);
            }
            if (page.isErr || !isReadable) {
                await delayRetry();
            }
        }
    }

    async function appendRecord(record: string, onSettled: () => void): Promise<void> {
        const appended = log === undefined || !isReadable ? undefined : await log.append("shares", [record]);
        if (appended === undefined || appended.isErr) {
            onSettled();
            return;
        }
        awaited = [...awaited, { offset: appended.value.firstOffset, onSettled }];
        settleFolded();
    }

    async function stop(): Promise<void> {
        const record = keeper().planFullRelease();
        isStopped = true;
        cancelRetry();
        if (record !== undefined && log !== undefined) {
            await log.append("shares", [record]);
        }
    }

    return {
        start: () => {
            if (log !== undefined) {
                void poll(log);
            }
        },
        append: (record, onSettled) => void appendRecord(record, onSettled),
        stop,
    };
}
