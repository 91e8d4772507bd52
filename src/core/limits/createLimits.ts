/**
 * @module
 * The limits of one instance: quotas, shards, borrowing and admission, connected to messages and the log by functions.
 */
import type { CustomerLimits, Policy } from "../catalogue/catalogueEntry.js";
import type { Clock } from "../time/clock.js";
import { repeatEvery } from "../time/repeatEvery.js";
import { createAdmission, type QuotaAdmission } from "./createAdmission.js";
import { createBorrowing } from "./createBorrowing.js";
import { createQuotaRegistry } from "./createQuotaRegistry.js";
import type { ShardOwner } from "./createShardHoldings.js";
import { createShardManager, type RecordOutcome, type ShardManager } from "./createShardManager.js";
import type { ShardTransfer } from "./createShardStandby.js";
import {
    borrowIntervalMs,
    claimBatchDelayMs,
    minBorrowSpacingMs,
    servedWindowMs,
    shardPlanIntervalMs,
} from "./limitConstants.js";
import type { BorrowRequest, BorrowResponse, QuotaUse } from "./quotaTypes.js";

/** The limits in force on one instance. */
export interface Limits {
    readonly admission: QuotaAdmission;
    readonly shardManager: ShardManager;
    /** Answers a borrow request; undefined for a request that is out of order. */
    readonly answerBorrow: (req: BorrowRequest) => BorrowResponse | undefined;
    readonly listUse: () => readonly QuotaUse[];
    /** Schedules an early planning round for the shards, as the fleet's members have changed. */
    readonly reviewShards: () => void;
    readonly stop: () => void;
}

/** What limits need from the instance. */
export interface LimitsDependencies {
    readonly clock: Clock;
    readonly instance: string;
    /** Identity of this run of the process. */
    readonly incarnation: string;
    readonly findLimits: (customer: string) => CustomerLimits | undefined;
    /** Instances that are considered alive, this one included; a wrong count only lowers utilisation. */
    readonly countAlive: () => number;
    /** Customers whose free shards this instance is to hold, so that all shards are held when the log fails. */
    readonly listAssignedCustomers: () => readonly string[];
    /** Whether an instance is considered alive; a wrong answer only lowers utilisation. */
    readonly isAlive: (instance: string) => boolean;
    /** Other instances, in order of preference as standbys for this one's shards. */
    readonly rankStandbys: () => readonly string[];
    /** Number of requests that this instance may have at upstreams concurrently. */
    readonly countSlots: () => number;
    readonly preset: () => Policy["preset"];
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    /** Sends a request to a lender; calls `onAnswer` at most once. */
    readonly sendBorrowRequest: (
        lender: string,
        req: BorrowRequest,
        onAnswer: (answer: BorrowResponse) => void,
    ) => void;
    /** Whether the log was reached by the last call; no record is planned while it was not. */
    readonly isLogReachable: () => boolean;
    /** Appends a record; calls `onSettled` once its outcome is known or will not be known. */
    readonly appendRecord: (record: string, onSettled: (outcome: RecordOutcome) => void) => void;
    /** Queries a standby for the shards that it holds for this instance; calls `onAnswer` at most once. */
    readonly queryStandby: (
        standby: string,
        claimant: ShardOwner,
        onAnswer: (transfers: readonly ShardTransfer[]) => void,
    ) => void;
}

/**
 * Creates the limits of an instance and starts their periodic rounds.
 *
 * @param dependencies - The clock, the catalogue's limits, messages and the log.
 * @returns The limits.
 * @example
 * createLimits(dependencies).admission.admit(req, decide);
 */
export function createLimits(dependencies: LimitsDependencies): Limits {
    const { clock, instance, incarnation } = dependencies;
    const quotas = createQuotaRegistry({ now: clock.now, findLimits: dependencies.findLimits });
    const demandMs = new Map<string, number>();
    let isStopped = false;
    let lastBorrowRoundMs = -Infinity;
    let isBorrowRoundScheduled = false;

    function recordDemand(customer: string): void {
        const isNew = !demandMs.has(customer);
        demandMs.set(customer, clock.now());
        if (isNew) {
            clock.after(claimBatchDelayMs, planShards);
        }
    }

    function listServed(): readonly string[] {
        const served = [...demandMs].filter(([, atMs]) => clock.now() - atMs < servedWindowMs).map(([customer]) =>
            customer
        );
        return [...new Set([...served, ...dependencies.listAssignedCustomers()])];
    }

    const shardManager = createShardManager({
        now: clock.now,
        instance,
        incarnation,
        listServed,
        countAlive: dependencies.countAlive,
        isAlive: dependencies.isAlive,
        rankStandbys: dependencies.rankStandbys,
        readUseEndTimes: customer => {
            const quota = quotas.find(customer);
            return {
                grantsEndMs: quota?.rateBuckets.lentEndMs() ?? clock.now(),
                inFlightEndMs: quota?.permitPool.ownInFlightEndMs() ?? clock.now(),
            };
        },
        canRelease: customer => (quotas.find(customer)?.permitPool.inFlight() ?? 0) === 0,
        listBorrowers: customer => quotas.find(customer)?.rateBuckets.listBorrowers() ?? [],
        setShards: quotas.setShards,
    });
    const borrowing = createBorrowing({
        now: clock.now,
        instance,
        incarnation,
        quotas,
        listLenders: shardManager.listLenders,
        random: dependencies.random,
    });
    const admission = createAdmission({
        clock,
        quotas,
        countSlots: dependencies.countSlots,
        preset: dependencies.preset,
        onDemand: recordDemand,
        onShortage: scheduleBorrowRound,
    });

    function planShards(): void {
        queryStandbys();
        const record = isStopped || !dependencies.isLogReachable() ? undefined : shardManager.planRecord();
        if (record !== undefined) {
            dependencies.appendRecord(record, outcome => {
                shardManager.recordOutcome(outcome);
                admission.reevaluate();
            });
        }
    }

    /** A query without an answer is retried in the next round. */
    function queryStandbys(): void {
        const sentMs = clock.now();
        for (const standby of isStopped ? [] : shardManager.standby.listUnanswered()) {
            dependencies.queryStandby(standby, { instance, incarnation }, transfers => {
                shardManager.standby.recordAnswer(standby, sentMs, transfers);
                admission.reevaluate();
                planShards();
            });
        }
    }

    function runBorrowRound(): void {
        isBorrowRoundScheduled = false;
        lastBorrowRoundMs = clock.now();
        for (const [lender, req] of isStopped ? [] : borrowing.planRequests()) {
            dependencies.sendBorrowRequest(lender, req, answer => {
                borrowing.applyResponse(lender, answer);
                admission.reevaluate();
            });
        }
    }

    /** Schedules an early round: a request that needs borrowed quota need not wait for the next regular one. */
    function scheduleBorrowRound(): void {
        if (!isBorrowRoundScheduled) {
            isBorrowRoundScheduled = true;
            clock.after(Math.max(0, lastBorrowRoundMs + minBorrowSpacingMs - clock.now()), runBorrowRound);
        }
    }

    const stops = [
        repeatEvery(clock, borrowIntervalMs, scheduleBorrowRound),
        repeatEvery(clock, shardPlanIntervalMs, planShards),
    ];
    return {
        admission,
        shardManager,
        answerBorrow: borrowing.respond,
        listUse: quotas.listUse,
        reviewShards: () => void clock.after(claimBatchDelayMs, planShards),
        stop: () => {
            isStopped = true;
            stops.forEach(stop => stop());
        },
    };
}
