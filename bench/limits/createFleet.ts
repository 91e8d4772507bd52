/**
 * @module
 * A simulated fleet that runs the production code of limits on a virtual clock, with messages that may be delayed or
 * lost and a log in memory. Instances can be restarted, paused and partitioned from each other.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { Customer } from "../../src/core/catalogue/catalogueEntry.js";
import type { AdmissionVerdict, RequestCost } from "../../src/core/limits/admissionTypes.js";
import {
    decodeBorrowRequest,
    decodeBorrowResponse,
    encodeBorrowRequest,
    encodeBorrowResponse,
} from "../../src/core/limits/borrowCodec.js";
import { createAdmission, type QuotaAdmission } from "../../src/core/limits/createAdmission.js";
import { createLimits, type Limits } from "../../src/core/limits/createLimits.js";
import { createQuotaRegistry, type QuotaRegistry } from "../../src/core/limits/createQuotaRegistry.js";
import type { ShardOwner } from "../../src/core/limits/createShardHoldings.js";
import type { EndedShard, RecordOutcome } from "../../src/core/limits/createShardManager.js";
import type { ShardTransfer } from "../../src/core/limits/createShardStandby.js";
import { emptyShardLedger, foldShardRecord, type ShardLedger } from "../../src/core/limits/foldShardRecord.js";
import type { BorrowRequest, BorrowResponse } from "../../src/core/limits/quotaTypes.js";
import type { Clock } from "../../src/core/time/clock.js";

/** How limits are divided over instances: reedward's leased quota shards or a baseline. */
export type LimitPolicy = "reedward" | "staticSplit" | "perDaemonLimit" | "oracle";

/** Shape of a fleet. */
export interface FleetOptions {
    readonly seed: number;
    readonly daemons: number;
    readonly customers: readonly Customer[];
    readonly policy: LimitPolicy;
    readonly slotsPerDaemon: number;
    /** Share of messages that are lost, 0 to 1. */
    readonly lossShare?: number;
    /** Largest delay of a message, in milliseconds. */
    readonly maxDelayMs?: number;
    /** Fault to inject, which shows that the checks can fail. */
    readonly injectedFault?: FleetFault;
}

/**
 * A fault that is injected on purpose: a restarted process reuses the incarnation of the previous one, clocks run at
 * double speed or stop during a pause, timers that fall due during a pause are lost, every request is charged to the
 * first customer, a restarted instance reclaims its quota shards without querying their standbys.
 */
export type FleetFault =
    | "sameIncarnation"
    | "fastClock"
    | "clockStopsInPause"
    | "timersLostInPause"
    | "oneAccount"
    | "standbysNotAsked";

/** Callbacks for admitted work. */
export interface FleetEvents {
    readonly onCharge: (customer: string, cost: RequestCost) => void;
    readonly onComplete: (customer: string, cost: RequestCost, used: RequestCost) => void;
    readonly onInFlightChange: (customer: string, change: 1 | -1) => void;
}

/** A simulated request. */
export interface FleetRequest {
    readonly customer: Customer;
    readonly cost: RequestCost;
    readonly usedOutputTokens: number;
    readonly durationMs: number;
    readonly timeoutMs: number;
}

/** A simulated fleet. */
export interface Fleet {
    readonly clock: VirtualClock;
    readonly submit: (daemon: number, req: FleetRequest, onVerdict: (verdict: AdmissionVerdict) => void) => void;
    readonly restart: (daemon: number) => void;
    /** Stops a process in a planned way and starts the next one after the downtime. */
    readonly restartGracefully: (daemon: number, downtimeMs: number) => void;
    readonly pause: (daemon: number, durationMs: number) => void;
    /** Drops messages between instances of different groups; undefined heals the partition. */
    readonly setPartition: (groupOf: ((daemon: number) => number) | undefined) => void;
    readonly setLogDown: (isDown: boolean) => void;
    /** Partitions one instance from the log, or heals that partition. */
    readonly setLogPartitioned: (daemon: number, isPartitioned: boolean) => void;
    /** Sum of the fractions of a customer's limits that the instances may use now. */
    readonly sumFractions: (customer: string) => number;
    /** Bytes and messages sent so far, including the records that every instance reads, and the number of appends. */
    readonly countControl: () => { readonly bytes: number; readonly messages: number; readonly appends: number; };
}

interface Daemon {
    readonly admission: QuotaAdmission;
    readonly limits: Limits | undefined;
    readonly clock: Clock;
    readonly processState: {
        isAlive: boolean;
        pausedUntilMs: number;
        pausedMs: number;
        readonly ends: Set<() => void>;
    };
}

const logPollIntervalMs = 200;

/** Creates a fleet; its instances start at once. */
export function createFleet(options: FleetOptions, events: FleetEvents): Fleet {
    const clock = createVirtualClock(options.seed);
    const customers = new Map(options.customers.map(customer => [customer.id, customer]));
    const findLimits = (id: string) => customers.get(id)?.limits;
    const sharedQuotas = createQuotaRegistry({ now: clock.now, findLimits });
    const daemons: Daemon[] = [];
    const incarnations: number[] = [];
    const partitionedFromLog = new Set<number>();
    let ledger: ShardLedger = emptyShardLedger;
    let groupOf: ((daemon: number) => number) | undefined;
    let isLogDown = false;
    let bytes = 0;
    let messages = 0;
    let appends = 0;
    let requests = 0;

    const fixedParts = { countSlots: () => options.slotsPerDaemon, preset: () => "lectura" as const };
    const nameOf = (index: number) => `entry-${index}`;
    const indexOf = (name: string) => Number(name.slice("entry-".length));

    function createProcessClock(processState: Daemon["processState"]): Clock {
        const isPaused = () => clock.now() < processState.pausedUntilMs;
        const runOrDefer = (action: () => void) => {
            if (!processState.isAlive || (isPaused() && options.injectedFault === "timersLostInPause")) {
                return;
            }
            if (isPaused()) {
                clock.after(processState.pausedUntilMs - clock.now(), () => runOrDefer(action));
                return;
            }
            action();
        };
        const rate = options.injectedFault === "fastClock" ? 2 : 1;
        const now = () =>
            (clock.now() - (options.injectedFault === "clockStopsInPause" ? processState.pausedMs : 0)) * rate;
        return { now, wallNow: now, after: (delayMs, action) => clock.after(delayMs / rate, () => runOrDefer(action)) };
    }

    /** Delivers a message to the process that runs at its arrival, unless it is lost or crosses a partition. */
    function send(from: number, to: number, payload: string, receive: (daemon: Daemon) => void): void {
        bytes += payload.length;
        messages += 1;
        const isPartitioned = groupOf !== undefined && groupOf(from) !== groupOf(to);
        if (isPartitioned || clock.random() < (options.lossShare ?? 0)) {
            return;
        }
        clock.after(1 + clock.random() * (options.maxDelayMs ?? 2), () => {
            const daemon = daemons[to]!;
            daemon.clock.after(0, () => receive(daemon));
        });
    }

    function sendBorrowRequest(
        from: number,
        lender: string,
        req: BorrowRequest,
        onAnswer: (answer: BorrowResponse) => void,
    ): void {
        const to = indexOf(lender);
        send(from, to, encodeBorrowRequest(req), other => {
            const answer = other.limits!.answerBorrow(decodeBorrowRequest(encodeBorrowRequest(req))!);
            if (answer !== undefined) {
                const payload = encodeBorrowResponse(answer);
                send(to, from, payload, () => onAnswer(decodeBorrowResponse(payload, req)!));
            }
        });
    }

    const canReachLog = (index: number) => !isLogDown && !partitionedFromLog.has(index);

    function appendRecord(
        index: number,
        processClock: Clock,
        limits: () => Limits,
        record: string,
        onSettled: (outcome: RecordOutcome) => void,
    ): void {
        processClock.after(2, () => {
            if (!canReachLog(index)) {
                onSettled("notAppended");
                return;
            }
            appends += 1;
            bytes += record.length * options.daemons;
            ledger = foldShardRecord(ledger, ledger.nextOffset, record);
            limits().shardManager.adopt(ledger);
            onSettled("folded");
        });
    }

    function queryStandby(
        from: number,
        standby: string,
        claimant: ShardOwner,
        onAnswer: (shards: readonly ShardTransfer[]) => void,
    ): void {
        if (options.injectedFault === "standbysNotAsked") {
            onAnswer([]);
            return;
        }
        const to = indexOf(standby);
        send(from, to, JSON.stringify(claimant), other => {
            const shards = other.limits!.shardManager.standby.returnShards(claimant);
            send(to, from, JSON.stringify(shards), () => onAnswer(shards));
        });
    }

    /** Hands each shard over to its first standby; the messages may arrive after the next process has started. */
    function handOverShards(from: number, shards: readonly EndedShard[]): void {
        const stoppingDaemon = daemons[from];
        for (const shard of shards.filter(one => one.standbys.length > 0)) {
            const to = indexOf(shard.standbys[0]!);
            send(from, to, "clock", other => {
                const receiverClock = other.limits!.shardManager.standby.readClock();
                send(to, from, JSON.stringify(receiverClock), () => {
                    if (daemons[from] === stoppingDaemon) {
                        const handover = { receiverClock, owner: shard.owner, seats: [shard.createTransfer()] };
                        send(
                            from,
                            to,
                            JSON.stringify(handover),
                            one => one.limits!.shardManager.standby.accept(handover),
                        );
                    }
                });
            });
        }
    }

    function restartGracefully(index: number, downtimeMs: number): void {
        const { limits, clock: processClock } = daemons[index]!;
        limits!.stop();
        const shards = limits!.shardManager.endUse();
        const record = canReachLog(index) ? limits!.shardManager.createReleaseRecord(shards) : undefined;
        if (record === undefined) {
            handOverShards(index, shards);
        }
        else {
            appendRecord(index, processClock, () => limits!, record, () => undefined);
        }
        clock.after(downtimeMs, () => restart(index));
    }

    /** Reads the ledger from the log, or from a peer while the log is unreachable. */
    function readInitialLedger(index: number): ShardLedger {
        const peer = daemons.find((one, other) => other !== index && one.processState.isAlive);
        return canReachLog(index) ? ledger : peer?.limits?.shardManager.ledger() ?? emptyShardLedger;
    }

    function followLog(index: number, daemon: Daemon): void {
        daemon.clock.after(logPollIntervalMs, () => {
            if (canReachLog(index)) {
                daemon.limits!.shardManager.adopt(ledger);
            }
            followLog(index, daemon);
        });
    }

    function assignFixedShare(quotas: QuotaRegistry): void {
        const fraction = options.policy === "staticSplit" ? 1 / options.daemons : 1;
        for (const customer of options.customers) {
            const customerQuota = quotas.find(customer.id)!;
            customerQuota.rateBuckets.setBorrowed("fixed", { fraction, untilMs: Infinity });
            const permits = Math.max(1, Math.floor(customer.limits.requestsInFlight * fraction));
            customerQuota.permitPool.setBorrowed("fixed", { permits, untilMs: Infinity });
        }
    }

    function startDaemon(index: number): Daemon {
        const processState = { isAlive: true, pausedUntilMs: 0, pausedMs: 0, ends: new Set<() => void>() };
        const processClock = createProcessClock(processState);
        incarnations[index] = (incarnations[index] ?? 0) + 1;
        if (options.policy !== "reedward") {
            const quotas = options.policy === "oracle"
                ? sharedQuotas
                : createQuotaRegistry({ now: clock.now, findLimits });
            assignFixedShare(quotas);
            const admission = createAdmission({
                clock: processClock,
                quotas,
                ...fixedParts,
                onDemand: () => undefined,
                onShortage: () => undefined,
            });
            return { admission, limits: undefined, clock: processClock, processState };
        }
        const limits: Limits = createLimits({
            clock: processClock,
            instance: nameOf(index),
            incarnation: options.injectedFault === "sameIncarnation" ? "1" : String(incarnations[index]),
            findLimits,
            countAlive: () => options.daemons,
            ...fixedParts,
            random: clock.random,
            sendBorrowRequest: (lender, req, onAnswer) => sendBorrowRequest(index, lender, req, onAnswer),
            isAlive: instance => daemons[indexOf(instance)]?.processState.isAlive ?? false,
            rankStandbys: () => [1, 2].map(step => nameOf((index + step) % options.daemons)),
            listAssignedCustomers: () => [],
            isLogReachable: () => canReachLog(index),
            appendRecord: (record, onSettled) => appendRecord(index, processClock, () => limits, record, onSettled),
            queryStandby: (standby, claimant, onAnswer) => queryStandby(index, standby, claimant, onAnswer),
        });
        const daemon = { admission: limits.admission, limits, clock: processClock, processState };
        limits.shardManager.adopt(readInitialLedger(index));
        followLog(index, daemon);
        return daemon;
    }

    function runRequest(daemon: Daemon, requestId: string, req: FleetRequest): void {
        const { id } = req.customer;
        const used = { promptTokens: req.cost.promptTokens, outputTokens: req.usedOutputTokens };
        events.onCharge(id, req.cost);
        events.onInFlightChange(id, 1);
        // The upstream stops at the deadline of the request, even while the instance is paused.
        const end = () => {
            if (daemon.processState.ends.delete(end)) {
                events.onInFlightChange(id, -1);
                daemon.clock.after(0, () => {
                    events.onComplete(id, req.cost, used);
                    daemon.admission.complete(requestId, used);
                });
            }
        };
        daemon.processState.ends.add(end);
        clock.after(Math.min(req.durationMs, req.timeoutMs), end);
    }

    function submit(index: number, req: FleetRequest, onVerdict: (verdict: AdmissionVerdict) => void): void {
        const daemon = daemons[index]!;
        requests += 1;
        const requestId = `r-${requests}`;
        daemon.clock.after(0, () => {
            const deadlineMs = daemon.clock.now() + req.timeoutMs;
            const customer = options.injectedFault === "oneAccount" ? options.customers[0]! : req.customer;
            daemon.admission.admit({ requestId, customer, cost: req.cost, deadlineMs }, verdict => {
                if (verdict.kind === "admitted") {
                    runRequest(daemon, requestId, req);
                }
                onVerdict(verdict);
            });
        });
    }

    function restart(index: number): void {
        const { processState } = daemons[index]!;
        [...processState.ends].forEach(end => end());
        processState.isAlive = false;
        daemons[index] = startDaemon(index);
    }

    for (let index = 0; index < options.daemons; index += 1) {
        daemons.push(startDaemon(index));
    }
    return {
        clock,
        submit,
        restart,
        restartGracefully,
        pause: (index, durationMs) => {
            const { processState } = daemons[index]!;
            processState.pausedMs += durationMs;
            processState.pausedUntilMs = clock.now() + durationMs;
        },
        setPartition: next => {
            groupOf = next;
        },
        setLogDown: isDown => {
            isLogDown = isDown;
        },
        setLogPartitioned: (daemon, isPartitioned) => {
            if (isPartitioned) {
                partitionedFromLog.add(daemon);
                return;
            }
            partitionedFromLog.delete(daemon);
        },
        sumFractions: customer =>
            daemons.flatMap(daemon => daemon.limits?.listUse() ?? [])
                .filter(use => use.customer === customer)
                .reduce((sum, use) => sum + use.fraction, 0),
        countControl: () => ({ bytes, messages, appends }),
    };
}
