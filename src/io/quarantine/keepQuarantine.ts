/**
 * @module
 * Keeps the quarantine in the platform's store, so that it outlasts the end of all processes at once. While one of them
 * runs, instances learn the entries from each other.
 */
import { parseJson } from "../../core/_lib/parseJson.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import { logInternalFailure } from "../../core/logEvents/logInternalFailure.js";
import type { KeyedRecord, RecordStore } from "../../core/ports/recordStore.js";
import { type QuarantineRecord, quarantineRecordSchema } from "../../core/quarantine/quarantineMessage.js";
import type { CancelTimer, Clock } from "../../core/time/clock.js";

/** Dependencies of {@link keepQuarantine}. */
export interface KeepQuarantineOptions {
    readonly clock: Clock;
    readonly store: Pick<RecordStore, "readNewest" | "putKeyed">;
    readonly topic: string;
    /** Whether this instance reads the store for the others. */
    readonly isReader: () => boolean;
    /** Takes the entries that were kept. */
    readonly restore: (records: readonly QuarantineRecord[]) => void;
    readonly writeLog: WriteLog;
}

/** The kept quarantine. */
export interface KeptQuarantine {
    /** Keeps an entry that this instance has changed; a lifted one is removed. */
    readonly keep: (record: QuarantineRecord) => void;
    readonly stop: () => void;
}

/** Time until a call that failed is made again, in milliseconds. */
const retryDelayMs = 1_000;

/** Time after the start at which the entries are read, in milliseconds: instances know by then which of them read. */
const firstReadDelayMs = 300;

/** Attempts to write one change; a later change of the part replaces it. */
const maxWrites = 5;

function decode({ key, value }: KeyedRecord): QuarantineRecord | undefined {
    const record = value === undefined
        ? undefined
        : parseJson(quarantineRecordSchema, Buffer.from(value).toString());
    return record?.part === key ? record : undefined;
}

/**
 * Reads the entries that were kept, and keeps changes from then on.
 *
 * @param options - The store, its topic, and the receiver of the entries.
 * @returns The kept quarantine.
 */
export function keepQuarantine(options: KeepQuarantineOptions): KeptQuarantine {
    const { clock, store, topic, writeLog } = options;
    /** Newest change of each part that is not written yet. */
    const unwritten = new Map<string, QuarantineRecord>();
    let isStopped = false;
    let cancelRead: CancelTimer = () => undefined;

    async function read(): Promise<void> {
        const newest = await store.readNewest(topic);
        if (newest.kind === "newest") {
            const records = newest.records.map(decode).filter(record => record !== undefined);
            if (records.length < newest.records.filter(record => record.value !== undefined).length) {
                writeLog("recordRejected", { topic, detail: "an entry of the quarantine is malformed" });
            }
            options.restore(records);
            return;
        }
        scheduleRead();
    }

    function scheduleRead(delayMs = retryDelayMs): void {
        cancelRead = clock.after(delayMs, () => {
            if (!isStopped && options.isReader()) {
                read().catch((error: unknown) => logInternalFailure(writeLog, error));
            }
        });
    }

    async function write(record: QuarantineRecord, attempt: number): Promise<void> {
        if (unwritten.get(record.part) !== record) {
            return;
        }
        const value = record.state === "lifted" ? undefined : Buffer.from(JSON.stringify(record));
        const put = await store.putKeyed(topic, record.part, value);
        if (put.kind !== "appended" && attempt < maxWrites && !isStopped) {
            clock.after(retryDelayMs, () => start(record, attempt + 1));
            return;
        }
        if (unwritten.get(record.part) === record) {
            unwritten.delete(record.part);
        }
    }

    function start(record: QuarantineRecord, attempt: number): void {
        write(record, attempt).catch((error: unknown) => logInternalFailure(writeLog, error));
    }

    scheduleRead(firstReadDelayMs);
    return {
        keep: record => {
            unwritten.set(record.part, record);
            start(record, 1);
        },
        stop: () => {
            isStopped = true;
            cancelRead();
        },
    };
}
