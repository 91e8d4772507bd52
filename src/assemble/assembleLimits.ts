/**
 * @module
 * Assembles the customers' limits: quota shards leased on the log, quota borrowed between instances, and shards that
 * standbys hold.
 */
import { randomUUID } from "node:crypto";
import { memoizeByVersion } from "../core/_lib/memoizeByVersion.js";
import { memoizeFor } from "../core/_lib/memoizeFor.js";
import { type Catalogue, findEntry, listEntries } from "../core/catalogue/catalogue.js";
import type { RestartStateProvider } from "../core/lifecycle/restartState.js";
import type { Admission } from "../core/limits/admissionTypes.js";
import {
    decodeBorrowRequest,
    decodeBorrowResponse,
    encodeBorrowRequest,
    encodeBorrowResponse,
} from "../core/limits/borrowCodec.js";
import { createLimits, type Limits } from "../core/limits/createLimits.js";
import type { ShardOwner } from "../core/limits/createShardHoldings.js";
import type { ShardTransfer } from "../core/limits/createShardStandby.js";
import { assignedCustomersLifetimeMs } from "../core/limits/limitConstants.js";
import type { BorrowRequest, BorrowResponse } from "../core/limits/quotaTypes.js";
import { decodeShardLedger, encodeShardLedger } from "../core/limits/shardSnapshot.js";
import type { WriteLog } from "../core/logEvents/logEventTable.js";
import type { MembershipView } from "../core/membership/memberTypes.js";
import { rankMembers } from "../core/membership/rankMembers.js";
import type { LogPort } from "../core/ports/logPort.js";
import type { Clock } from "../core/time/clock.js";
import { followShardLog } from "../io/limits/followShardLog.js";
import { handOverShards } from "../io/limits/handOverShards.js";
import type { LimitsService } from "../io/limits/limitsRouter.js";
import type { PeerClient, PeerClients } from "../io/peers/createPeerClient.js";

/** What the limits need from the instance. */
export interface LimitsContext {
    readonly instance: string;
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly writeLog: WriteLog;
    readonly catalogue: () => Catalogue;
    readonly isCatalogueLoaded: () => boolean;
    readonly membership: () => MembershipView;
    readonly peers: PeerClients;
}

/** The limits of an instance. */
export interface AssembledLimits {
    readonly admission: Admission;
    /** Answers calls of peers. */
    readonly service: LimitsService;
    /** The state that a restarted instance fetches from a peer. */
    readonly restartState: RestartStateProvider;
    /** Whether a starting instance has its shards, or cannot get them. */
    readonly isSettled: () => boolean;
    readonly start: () => void;
    /** Schedules an early planning round for the shards, as the fleet's members have changed. */
    readonly reviewShards: () => void;
    /** Stops the periodic planning of shards and borrowing of quota. */
    readonly stopPeriodicWork: () => void;
    /** Releases every shard, on the log or else to the standbys. */
    readonly stop: () => Promise<void>;
}

/** Maximum age of the cached set of live members, in milliseconds. */
const viewAgeMs = 1_000;

/** Factor by which the instances together may exceed the engines' slots, as demand is seldom equal on all. */
const slotOvercommit = 4;

/**
 * Assembles the limits; nothing runs before the start.
 *
 * @param context - The instance.
 * @returns The limits.
 */
export function assembleLimits(context: LimitsContext): AssembledLimits {
    const { instance, log, clock, writeLog, catalogue, membership } = context;
    let limits: Limits | undefined;

    const listLiving = memoizeFor(
        viewAgeMs,
        clock.now,
        () => new Set(membership().members.filter(member => member.state !== "dead").map(member => member.instance)),
    );

    /** Returns a client for an instance; undefined when the instance is unknown or considered dead. */
    function connect(other: string): PeerClient | undefined {
        const member = membership().members.find(one => one.instance === other && one.state !== "dead");
        return member === undefined ? undefined : context.peers.connect(member.peerAddress);
    }

    const shardLog = followShardLog({
        log,
        clock,
        random: Math.random,
        manager: () => limits!.shardManager,
        reviewShards: () => limits?.reviewShards(),
        handOver: ended =>
            handOverShards(ended, {
                connect,
                onHandedOver: outcome => writeLog("seatsHandedOver", outcome),
                onLost: lost => writeLog("seatsLost", { seats: lost }),
            }),
    });

    /** Asks a standby for the shards that it holds for `claimant`; a failed call is retried in the next round. */
    function queryStandby(
        standby: string,
        claimant: ShardOwner,
        onAnswer: (shards: readonly ShardTransfer[]) => void,
    ): void {
        connect(standby)?.limits.returnSeats.mutate(claimant).then(transfers => {
            if (transfers !== undefined) {
                onAnswer(transfers);
            }
        }).catch(() => undefined);
    }

    /** Sends a borrow request; a failed request is retried in a later round. */
    function sendBorrowRequest(lender: string, req: BorrowRequest, onAnswer: (answer: BorrowResponse) => void): void {
        connect(lender)?.limits.borrow.mutate(encodeBorrowRequest(req)).then(payload => {
            const answer = payload === undefined ? undefined : decodeBorrowResponse(payload, req);
            if (answer !== undefined) {
                onAnswer(answer);
            }
        }).catch(() => undefined);
    }

    function answerBorrowRequest(payload: string): string | undefined {
        const req = decodeBorrowRequest(payload);
        const answer = req === undefined ? undefined : limits?.answerBorrow(req);
        return answer === undefined ? undefined : encodeBorrowResponse(answer);
    }

    const countAlive = () => membership().members.filter(member => member.state === "alive").length;

    function countSlots(): number {
        const engines = listEntries(catalogue(), "upstream").filter(one => one.role === "engine" && !one.leaving);
        const slots = engines.reduce((sum, one) => sum + one.slots, 0);
        return Math.max(1, Math.ceil((slots * slotOvercommit) / Math.max(1, countAlive())));
    }

    function listAssignedCustomers(): readonly string[] {
        const customers = listEntries(catalogue(), "customer").map(customer => customer.id);
        return customers.filter(customer => rankMembers(membership().members, customer)[0] === instance);
    }

    /** Ranking every customer is slow in a large fleet, so the list is memoized per catalogue. */
    const findAssignedCustomers = memoizeByVersion(
        catalogue,
        () => memoizeFor(assignedCustomersLifetimeMs, clock.now, listAssignedCustomers),
    );

    /** Each instance has different standbys, so that the fleet shares the shards of one that leaves. */
    function rankStandbys(): readonly string[] {
        return rankMembers(membership().members, `standbys of ${instance}`).filter(other => other !== instance);
    }

    function start(): void {
        limits = createLimits({
            clock,
            instance,
            incarnation: randomUUID(),
            findLimits: customer => findEntry(catalogue(), "customer", customer)?.limits,
            countAlive,
            countSlots,
            preset: () => findEntry(catalogue(), "policy", "policy")?.preset ?? "lectura",
            random: Math.random,
            sendBorrowRequest,
            isAlive: other => listLiving().has(other),
            rankStandbys,
            listAssignedCustomers: () => context.isCatalogueLoaded() ? findAssignedCustomers("")() : [],
            isLogReachable: shardLog.isLogReachable,
            appendRecord: shardLog.append,
            queryStandby,
        });
        shardLog.start();
    }

    function applyLedger(payload: string): void {
        const ledger = decodeShardLedger(payload);
        if (ledger !== undefined && limits !== undefined) {
            shardLog.adopt(ledger);
        }
    }

    return {
        admission: {
            admit: (req, decide) => limits!.admission.admit(req, decide),
            cancel: requestId => limits?.admission.cancel(requestId),
            complete: (requestId, used) => limits?.admission.complete(requestId, used),
        },
        service: {
            borrow: answerBorrowRequest,
            listUse: () => limits?.listUse() ?? [],
            readStandbyClock: () => limits?.shardManager.standby.readClock(),
            acceptShards: handover => limits?.shardManager.standby.accept(handover) ?? false,
            returnShards: claimant => limits?.shardManager.standby.returnShards(claimant),
        },
        restartState: {
            name: "limits",
            collect: () => limits === undefined ? undefined : encodeShardLedger(limits.shardManager.ledger()),
            apply: applyLedger,
        },
        isSettled: shardLog.isSettled,
        start,
        reviewShards: () => limits?.reviewShards(),
        stopPeriodicWork: () => limits?.stop(),
        stop: shardLog.stop,
    };
}
