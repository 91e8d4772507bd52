/**
 * @module
 * Acquires the order lease on the log while there is work, renews it, and drops it when it expires.
 */
import type { LeaseRecord } from "../../core/leases/leaseRecord.js";
import {
    applyLeasePage,
    isLeaseExpired,
    isLeaseHeld,
    leaseDurationMs,
    startLeaseView,
} from "../../core/leases/leaseView.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";

/** Rules that decide when a lease is held and when it has expired. */
export interface LeaseRules {
    readonly isHeld: typeof isLeaseHeld;
    readonly isExpired: typeof isLeaseExpired;
}

/** Dependencies of the lease. */
export interface LeaseManagerDependencies {
    readonly log: LogPort;
    readonly clock: Clock;
    /** Random number from 0 to 1; jitter keeps instances from contending at the same time. */
    readonly random: () => number;
    readonly createSession: () => string;
    readonly writeLog: WriteLog;
    readonly instance: string;
    /** Whether there is work and this instance is one of the contenders. */
    readonly isWanted: () => boolean;
    readonly rules?: LeaseRules;
}

/** The lease of this instance. */
export interface LeaseManager {
    /** Fencing number while the lease is held by this instance's clock; must be called directly before each order. */
    readonly findFencingNumber: () => number | undefined;
    readonly stop: () => void;
}

const idlePollMs = 500;
const readWaitMs = 1_000;
const retryDelayMs = 250;
const contendJitterMs = 1_000;

/** Fraction of the lease duration after which it is renewed. */
const renewalShare = 1 / 3;

const leaseRules: LeaseRules = { isHeld: isLeaseHeld, isExpired: isLeaseExpired };

/**
 * Starts to maintain the lease.
 *
 * @param dependencies - The log, the clock and whether the lease is wanted.
 * @returns The lease.
 */
export function maintainLease(dependencies: LeaseManagerDependencies): LeaseManager {
    const { log, clock, writeLog, instance } = dependencies;
    const rules = dependencies.rules ?? leaseRules;
    let view = startLeaseView(0, clock.now());
    let session: string | undefined;
    let sequence = 0;
    /** Clock time before each record of the session was sent, by sequence number. */
    let sentMs = new Map<number, number>();
    let contendMs: number | undefined;
    let isStopped = false;
    let cancelTimer: () => void = () => undefined;

    function findLeaseStartMs(): number | undefined {
        return view.last !== undefined && view.last.session === session ? sentMs.get(view.last.sequence) : undefined;
    }

    function isHeld(): boolean {
        const startedMs = findLeaseStartMs();
        return startedMs !== undefined && rules.isHeld(startedMs, leaseDurationMs, clock.now());
    }

    function pause(durationMs: number): Promise<void> {
        return new Promise(resolve => {
            cancelTimer = clock.after(durationMs, resolve);
        });
    }

    function forgetOldRecords(): void {
        const last = view.last?.session === session ? view.last?.sequence ?? 0 : 0;
        [...sentMs.keys()].filter(one => one < last).forEach(one => sentMs.delete(one));
    }

    async function append(): Promise<void> {
        sequence += 1;
        const record: LeaseRecord = {
            kind: "lease",
            holder: instance,
            session: session!,
            sequence,
            durationMs: leaseDurationMs,
            follows: view.nextOffset - 1,
        };
        sentMs.set(sequence, clock.now());
        // The response is ignored: whether the record counts is decided when it is read back.
        await log.append("leases", [JSON.stringify(record)]);
    }

    function dropLease(): void {
        if (session !== undefined && view.last?.session === session) {
            writeLog("leaseLost", { fencingNumber: view.last.fencingNumber });
        }
        session = undefined;
    }

    async function renew(): Promise<void> {
        const newestMs = Math.max(...sentMs.values());
        if (clock.now() >= newestMs + leaseDurationMs * renewalShare) {
            await append();
        }
    }

    async function contend(): Promise<void> {
        if (!rules.isExpired(view, clock.now())) {
            contendMs = undefined;
            return;
        }
        contendMs ??= clock.now() + dependencies.random() * contendJitterMs;
        if (clock.now() < contendMs) {
            await pause(contendMs - clock.now());
            return;
        }
        contendMs = undefined;
        session = dependencies.createSession();
        sequence = 0;
        sentMs = new Map();
        await append();
    }

    /** Returns whether the stream was read to its end. */
    async function read(): Promise<boolean> {
        const before = view.last;
        const waitMs = isHeld() || rules.isExpired(view, clock.now()) ? 0 : readWaitMs;
        const page = await log.read("leases", view.nextOffset, waitMs);
        if (page.isErr) {
            await pause(retryDelayMs);
            return false;
        }
        view = applyLeasePage(view, page.value, clock.now());
        forgetOldRecords();
        if (view.last?.session === session && before?.session !== session && isHeld()) {
            writeLog("leaseTaken", { fencingNumber: view.last?.fencingNumber });
        }
        return view.nextOffset >= page.value.end;
    }

    async function step(): Promise<void> {
        if (!dependencies.isWanted()) {
            await pause(idlePollMs);
            return;
        }
        if (!await read()) {
            return;
        }
        if (isHeld()) {
            await renew();
            await pause(retryDelayMs);
            return;
        }
        dropLease();
        await contend();
    }

    async function run(): Promise<void> {
        while (!isStopped) {
            await step();
        }
    }

    void run();
    return {
        findFencingNumber: () => isHeld() ? view.last?.fencingNumber : undefined,
        stop: () => {
            isStopped = true;
            cancelTimer();
        },
    };
}
