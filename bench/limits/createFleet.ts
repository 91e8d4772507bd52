/**
 * @module
 * A fleet of instances with the production parts of limits, on a virtual clock, over messages that may be late or lost
 * and a log in memory. Instances can be restarted, paused and cut off from each other.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { Customer } from "../../src/core/catalogue/catalogueEntry.js";
import type { AdmissionVerdict, RequestCost } from "../../src/core/limits/admissionTypes.js";
import { createAdmission, type ShareAdmission } from "../../src/core/limits/createAdmission.js";
import { createLoanDesk, type LoanDesk } from "../../src/core/limits/createLoanDesk.js";
import { createSeatKeeper, type SeatKeeper } from "../../src/core/limits/createSeatKeeper.js";
import { createShareBook, type ShareBook } from "../../src/core/limits/createShareBook.js";
import { emptySeatLedger, foldSeatRecord, type SeatLedger } from "../../src/core/limits/foldSeatRecord.js";
import { loanRoundMs } from "../../src/core/limits/limitConstants.js";
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
    /** Replaces parts by faulty ones, to show that the checks can fail. */
    readonly plant?: FleetFault;
}

/** A fault that is planted on purpose. */
export type FleetFault = "refillOnRestart" | "lenderForgets" | "ignorePause" | "dropWaiting" | "unfairQueue";

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
    readonly pause: (daemon: number, durationMs: number) => void;
    /** Cuts messages between instances of different groups; undefined heals. */
    readonly setPartition: (groupOf: ((daemon: number) => number) | undefined) => void;
    readonly setLogDown: (isDown: boolean) => void;
    readonly messageBytes: () => number;
    readonly countMessages: () => number;
    readonly countAppends: () => number;
}

interface Daemon {
    readonly book: ShareBook;
    readonly admission: ShareAdmission;
    readonly desk: LoanDesk | undefined;
    readonly keeper: SeatKeeper | undefined;
    readonly clock: Clock;
    readonly life: { isAlive: boolean; pausedUntilMs: number; readonly ends: Set<() => void>; };
}

const seatRoundMs = 500;
const servedWithinMs = 10_000;

/** Creates a fleet; its instances begin to work at once. */
export function createFleet(options: FleetOptions, events: FleetEvents): Fleet {
    const clock = createVirtualClock(options.seed);
    const customers = new Map(options.customers.map(customer => [customer.id, customer]));
    const findLimits = (id: string) => customers.get(id)?.limits;
    const sharedBook = createShareBook({ now: clock.now, findLimits });
    const daemons: Daemon[] = [];
    const lives: number[] = [];
    let ledger: SeatLedger = emptySeatLedger;
    let groupOf: ((daemon: number) => number) | undefined;
    let isLogDown = false;
    let bytes = 0;
    let messages = 0;
    let appends = 0;
    let requests = 0;

    const nameOf = (index: number) => `entry-${index}`;
    const indexOf = (name: string) => Number(name.slice("entry-".length));

    function createLifeClock(life: Daemon["life"]): Clock {
        const runOrDefer = (action: () => void) => {
            if (!life.isAlive) {
                return;
            }
            if (clock.now() < life.pausedUntilMs) {
                clock.after(life.pausedUntilMs - clock.now(), () => runOrDefer(action));
                return;
            }
            action();
        };
        return { now: clock.now, wallNow: clock.now, after: (delayMs, action) => clock.after(delayMs, () => runOrDefer(action)) };
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

    function exchangeLoans(index: number, daemon: Daemon): void {
        for (const [lender, req] of daemon.desk!.planRequests()) {
            send(index, indexOf(lender), JSON.stringify(req), other => {
                const answer = other.desk!.answer(req);
                if (answer === undefined) {
                    return;
                }
                send(indexOf(lender), index, JSON.stringify(answer), () => {
                    daemon.desk!.receive(lender, answer);
                    daemon.admission.review();
                });
            });
        }
    }

    function exchangeSeats(daemon: Daemon): void {
        const keeper = daemon.keeper!;
        if (isLogDown) {
            return;
        }
        keeper.adopt(ledger);
        const record = keeper.planRecord();
        if (record === undefined) {
            return;
        }
        daemon.clock.after(2, () => {
            if (!isLogDown) {
                appends += 1;
                bytes += record.length * options.daemons;
                ledger = foldSeatRecord(ledger, ledger.nextOffset, record);
                keeper.adopt(ledger);
            }
            keeper.noteSettled();
            daemon.admission.review();
        });
    }

    function giveFixedShare(book: ShareBook): void {
        const fraction = options.policy === "staticSplit" ? 1 / options.daemons : 1;
        for (const customer of options.customers) {
            const account = book.find(customer.id)!;
            account.rate.setLoanIn("fixed", { fraction, untilMs: Infinity });
            const permits = Math.max(1, Math.floor(customer.limits.requestsInFlight * fraction));
            account.flights.setLoanIn("fixed", { permits, untilMs: Infinity });
        }
    }

    function startDaemon(index: number): Daemon {
        const life = { isAlive: true, pausedUntilMs: 0, ends: new Set<() => void>() };
        const lifeClock = createLifeClock(life);
        lives[index] = (lives[index] ?? 0) + 1;
        const isShared = options.policy === "oracle";
        const book = isShared ? sharedBook : createShareBook({ now: clock.now, findLimits });
        const demandMs = new Map<string, number>();
        const admission = createAdmission({
            clock: lifeClock,
            book,
            countSlots: () => options.slotsPerDaemon,
            preset: () => "lectura",
            onDemand: customer => demandMs.set(customer, clock.now()),
        });
        if (options.policy !== "reedward") {
            giveFixedShare(book);
            return { book, admission, desk: undefined, keeper: undefined, clock: lifeClock, life };
        }
        const identity = { now: clock.now, instance: nameOf(index), incarnation: String(lives[index]) };
        const keeper: SeatKeeper = createSeatKeeper({
            ...identity,
            listServed: () => [...demandMs].filter(([, atMs]) => clock.now() - atMs < servedWithinMs).map(([id]) => id),
            countAlive: () => options.daemons,
            canRelease: customer => (book.find(customer)?.flights.inFlight() ?? 0) === 0,
            listBorrowers: customer => book.find(customer)?.rate.listBorrowers() ?? [],
            setSeats: (customer, seats) =>
                book.setSeats(
                    customer,
                    options.plant === "refillOnRestart" ? seats.map(seat => ({ ...seat, isTakenOver: false })) : seats,
                ),
        });
        const desk = createLoanDesk({ ...identity, book, listLenders: keeper.listHolders, random: clock.random });
        const daemon = { book, admission, desk, keeper, clock: lifeClock, life };
        const repeat = (periodMs: number, action: () => void) => {
            lifeClock.after(periodMs, () => {
                action();
                repeat(periodMs, action);
            });
        };
        lifeClock.after(clock.random() * loanRoundMs, () => {
            exchangeSeats(daemon);
            repeat(loanRoundMs, () => exchangeLoans(index, daemon));
            repeat(seatRoundMs, () => exchangeSeats(daemon));
        });
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
                    daemon.admission.settle(requestId, used);
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
            const deadlineMs = clock.now() + req.timeoutMs;
            daemon.admission.admit({ requestId, customer: req.customer, cost: req.cost, deadlineMs }, verdict => {
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
        pause: (index, durationMs) => {
            daemons[index]!.life.pausedUntilMs = clock.now() + durationMs;
        },
        setPartition: next => {
            groupOf = next;
        },
        setLogDown: isDown => {
            isLogDown = isDown;
        },
        messageBytes: () => bytes,
        countMessages: () => messages,
        countAppends: () => appends,
    };
}
