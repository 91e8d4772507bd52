/**
 * @module
 * A fleet of instances with the production parts of limits, on a virtual clock, over messages that may be late or lost
 * and a log in memory. Instances can be restarted, paused and cut off from each other.
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

/** How limits are divided: the project's way or a baseline. */
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
    /** Shows that the checks can fail. */
    readonly plant?: FleetFault;
}

/**
 * A fault that is planted on purpose: a restarted process takes itself for the one before, clocks run at double speed
 * or stop in a pause, timers that fall due in a pause are lost, every request is accounted to the first customer, an
 * instance that returns takes its seats as free without asking who keeps them.
 */
export type FleetFault =
    | "sameIncarnation"
    | "fastClock"
    | "clockStopsInPause"
    | "timersLostInPause"
    | "oneAccount"
    | "standbysNotAsked";

/** What a fleet tells of admitted work. */
export interface FleetEvents {
    readonly onCharge: (customer: string, cost: RequestCost) => void;
    readonly onSettle: (customer: string, cost: RequestCost, used: RequestCost) => void;
    readonly onFlight: (customer: string, change: 1 | -1) => void;
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
    /** A planned stop and, after a time, the start of the next process. */
    readonly leave: (daemon: number, awayMs: number) => void;
    readonly pause: (daemon: number, durationMs: number) => void;
    /** Cuts messages between instances of different groups; undefined heals. */
    readonly setPartition: (groupOf: ((daemon: number) => number) | undefined) => void;
    readonly setLogDown: (isDown: boolean) => void;
    /** Cuts one instance from the log, or joins it again. */
    readonly setLogCut: (daemon: number, isCut: boolean) => void;
    /** Sum of the fractions of a customer's limits that the instances may spend now. */
    readonly sumFractions: (customer: string) => number;
    /** Bytes and number of messages sent, records that every instance reads included, and appends, up to now. */
    readonly countControl: () => { readonly bytes: number; readonly messages: number; readonly appends: number; };
}

interface Daemon {
    readonly admission: QuotaAdmission;
    readonly limits: Limits | undefined;
    readonly clock: Clock;
    readonly life: { isAlive: boolean; pausedUntilMs: number; pausedMs: number; readonly ends: Set<() => void>; };
}

const logPeriodMs = 200;

/** Creates a fleet; its instances begin to work at once. */
export function createFleet(options: FleetOptions, events: FleetEvents): Fleet {
    const clock = createVirtualClock(options.seed);
    const customers = new Map(options.customers.map(customer => [customer.id, customer]));
    const findLimits = (id: string) => customers.get(id)?.limits;
    const sharedBook = createQuotaRegistry({ now: clock.now, findLimits });
    const daemons: Daemon[] = [];
    const lives: number[] = [];
    const cutFromLog = new Set<number>();
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

    function createLifeClock(life: Daemon["life"]): Clock {
        const isPaused = () => clock.now() < life.pausedUntilMs;
        const runOrDefer = (action: () => void) => {
            if (!life.isAlive || (isPaused() && options.plant === "timersLostInPause")) {
                return;
            }
            if (isPaused()) {
                clock.after(life.pausedUntilMs - clock.now(), () => runOrDefer(action));
                return;
            }
            action();
        };
        const rate = options.plant === "fastClock" ? 2 : 1;
        const now = () => (clock.now() - (options.plant === "clockStopsInPause" ? life.pausedMs : 0)) * rate;
        return { now, wallNow: now, after: (delayMs, action) => clock.after(delayMs / rate, () => runOrDefer(action)) };
    }

    /** Delivers a message unless it is lost or cut; the receiver must be in the life that it was addressed to. */
    function send(from: number, to: number, payload: string, receive: (daemon: Daemon) => void): void {
        bytes += payload.length;
        messages += 1;
        const isCut = groupOf !== undefined && groupOf(from) !== groupOf(to);
        if (isCut || clock.random() < (options.lossShare ?? 0)) {
            return;
        }
        clock.after(1 + clock.random() * (options.maxDelayMs ?? 2), () => {
            const daemon = daemons[to]!;
            daemon.clock.after(0, () => receive(daemon));
        });
    }

    function sendLoanRequest(
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

    const canReachLog = (index: number) => !isLogDown && !cutFromLog.has(index);

    function appendRecord(
        index: number,
        lifeClock: Clock,
        limits: () => Limits,
        record: string,
        onSettled: (outcome: RecordOutcome) => void,
    ): void {
        lifeClock.after(2, () => {
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

    function askStandby(
        from: number,
        standby: string,
        claimant: ShardOwner,
        onAnswer: (seats: readonly ShardTransfer[]) => void,
    ): void {
        if (options.plant === "standbysNotAsked") {
            onAnswer([]);
            return;
        }
        const to = indexOf(standby);
        send(from, to, JSON.stringify(claimant), other => {
            const seats = other.limits!.shardManager.standby.returnShards(claimant);
            send(to, from, JSON.stringify(seats), () => onAnswer(seats));
        });
    }

    /** Hands each seat to its first standby; the messages may come when the next process runs already. */
    function handOver(from: number, seats: readonly EndedShard[]): void {
        const leaver = daemons[from];
        for (const seat of seats.filter(one => one.standbys.length > 0)) {
            const to = indexOf(seat.standbys[0]!);
            send(from, to, "clock", other => {
                const receiverClock = other.limits!.shardManager.standby.readClock();
                send(to, from, JSON.stringify(receiverClock), () => {
                    if (daemons[from] === leaver) {
                        const handover = { receiverClock, owner: seat.owner, seats: [seat.createTransfer()] };
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

    function leave(index: number, awayMs: number): void {
        const { limits, clock: lifeClock } = daemons[index]!;
        limits!.stop();
        const seats = limits!.shardManager.endUse();
        const record = canReachLog(index) ? limits!.shardManager.createReleaseRecord(seats) : undefined;
        if (record === undefined) {
            handOver(index, seats);
        }
        else {
            appendRecord(index, lifeClock, () => limits!, record, () => undefined);
        }
        clock.after(awayMs, () => restart(index));
    }

    /** A process that starts while the log is down takes the ledger from a peer. */
    function readStartLedger(index: number): ShardLedger {
        const peer = daemons.find((one, other) => other !== index && one.life.isAlive);
        return canReachLog(index) ? ledger : peer?.limits?.shardManager.ledger() ?? emptyShardLedger;
    }

    function followLog(index: number, daemon: Daemon): void {
        daemon.clock.after(logPeriodMs, () => {
            if (canReachLog(index)) {
                daemon.limits!.shardManager.adopt(ledger);
            }
            followLog(index, daemon);
        });
    }

    function giveFixedShare(book: QuotaRegistry): void {
        const fraction = options.policy === "staticSplit" ? 1 / options.daemons : 1;
        for (const customer of options.customers) {
            const account = book.find(customer.id)!;
            account.rateBuckets.setBorrowed("fixed", { fraction, untilMs: Infinity });
            const permits = Math.max(1, Math.floor(customer.limits.requestsInFlight * fraction));
            account.permitPool.setBorrowed("fixed", { permits, untilMs: Infinity });
        }
    }

    function startDaemon(index: number): Daemon {
        const life = { isAlive: true, pausedUntilMs: 0, pausedMs: 0, ends: new Set<() => void>() };
        const lifeClock = createLifeClock(life);
        lives[index] = (lives[index] ?? 0) + 1;
        if (options.policy !== "reedward") {
            const book = options.policy === "oracle" ? sharedBook : createQuotaRegistry({ now: clock.now, findLimits });
            giveFixedShare(book);
            const admission = createAdmission({
                clock: lifeClock,
                quotas: book,
                ...fixedParts,
                onDemand: () => undefined,
                onShortage: () => undefined,
            });
            return { admission, limits: undefined, clock: lifeClock, life };
        }
        const limits: Limits = createLimits({
            clock: lifeClock,
            instance: nameOf(index),
            incarnation: options.plant === "sameIncarnation" ? "1" : String(lives[index]),
            findLimits,
            countAlive: () => options.daemons,
            ...fixedParts,
            random: clock.random,
            sendBorrowRequest: (lender, req, onAnswer) => sendLoanRequest(index, lender, req, onAnswer),
            isAlive: instance => daemons[indexOf(instance)]?.life.isAlive ?? false,
            rankStandbys: () => [1, 2].map(step => nameOf((index + step) % options.daemons)),
            listAssignedCustomers: () => [],
            isLogReachable: () => canReachLog(index),
            appendRecord: (record, onSettled) => appendRecord(index, lifeClock, () => limits, record, onSettled),
            queryStandby: (standby, claimant, onAnswer) => askStandby(index, standby, claimant, onAnswer),
        });
        const daemon = { admission: limits.admission, limits, clock: lifeClock, life };
        limits.shardManager.adopt(readStartLedger(index));
        followLog(index, daemon);
        return daemon;
    }

    function runRequest(daemon: Daemon, requestId: string, req: FleetRequest): void {
        const { id } = req.customer;
        const used = { promptTokens: req.cost.promptTokens, outputTokens: req.usedOutputTokens };
        events.onCharge(id, req.cost);
        events.onFlight(id, 1);
        // The upstream stops at the deadline that it was given, also when the instance is paused.
        const end = () => {
            if (daemon.life.ends.delete(end)) {
                events.onFlight(id, -1);
                daemon.clock.after(0, () => {
                    events.onSettle(id, req.cost, used);
                    daemon.admission.complete(requestId, used);
                });
            }
        };
        daemon.life.ends.add(end);
        clock.after(Math.min(req.durationMs, req.timeoutMs), end);
    }

    function submit(index: number, req: FleetRequest, onVerdict: (verdict: AdmissionVerdict) => void): void {
        const daemon = daemons[index]!;
        requests += 1;
        const requestId = `r-${requests}`;
        daemon.clock.after(0, () => {
            const deadlineMs = daemon.clock.now() + req.timeoutMs;
            const customer = options.plant === "oneAccount" ? options.customers[0]! : req.customer;
            daemon.admission.admit({ requestId, customer, cost: req.cost, deadlineMs }, verdict => {
                if (verdict.kind === "admitted") {
                    runRequest(daemon, requestId, req);
                }
                onVerdict(verdict);
            });
        });
    }

    function restart(index: number): void {
        const { life } = daemons[index]!;
        [...life.ends].forEach(end => end());
        life.isAlive = false;
        daemons[index] = startDaemon(index);
    }

    for (let index = 0; index < options.daemons; index += 1) {
        daemons.push(startDaemon(index));
    }
    return {
        clock,
        submit,
        restart,
        leave,
        pause: (index, durationMs) => {
            const { life } = daemons[index]!;
            life.pausedMs += durationMs;
            life.pausedUntilMs = clock.now() + durationMs;
        },
        setPartition: next => {
            groupOf = next;
        },
        setLogDown: isDown => {
            isLogDown = isDown;
        },
        setLogCut: (daemon, isCut) => {
            if (isCut) {
                cutFromLog.add(daemon);
                return;
            }
            cutFromLog.delete(daemon);
        },
        sumFractions: customer =>
            daemons.flatMap(daemon => daemon.limits?.listUse() ?? [])
                .filter(use => use.customer === customer)
                .reduce((sum, use) => sum + use.fraction, 0),
        countControl: () => ({ bytes, messages, appends }),
    };
}
