/**
 * @module
 * Which seats an instance renews, claims and releases. The plan may rest on any view of the fleet: the log decides which
 * edits take effect, and the terms make sure that two instances never use one seat together.
 */
import { hashText } from "../_lib/hashText.js";
import type { SeatLedger, SeatRecord } from "./foldSeatRecord.js";
import { clockDriftFactor, loanTermMs, seatRenewalMs, seatsPerCustomer, seatTermMs } from "./limitConstants.js";
import { listSeatNames } from "./listSeatNames.js";

/** A seat that this instance holds, as it counts it. */
export interface OwnSeat {
    readonly renewedMs: number;
}

/** What a plan rests on. */
export interface SeatPlanInput {
    readonly nowMs: number;
    readonly instance: string;
    readonly incarnation: string;
    readonly ledger: SeatLedger;
    /** Time at which this instance first saw a seat at its present revision, in milliseconds. */
    readonly seenMs: (seat: string) => number;
    /** Seats that this incarnation uses, by name. */
    readonly own: ReadonlyMap<string, OwnSeat>;
    /** Seats that an earlier life of this instance holds. */
    readonly inherited: ReadonlySet<string>;
    /** Customers that this instance serves. */
    readonly served: readonly string[];
    /** Instances that are believed to be alive, this one included; a wrong count costs utilisation only. */
    readonly aliveCount: number;
    /** Whether the requests that run leave room to give up one seat of a customer. */
    readonly canRelease: (customer: string) => boolean;
    /** Instances that borrow shares of a customer from this one. */
    readonly listBorrowers: (customer: string) => readonly string[];
}

type SeatEdit = SeatRecord["edits"][number];

/** Milliseconds that a seat stays free before an instance takes more than its equal part. */
const surplusClaimDelayMs = 3_000;

/** Milliseconds that a seat is held before it is released in favour of instances that hold none. */
const surplusReleaseDelayMs = 60_000;

function isHeldBySelf(input: SeatPlanInput, seat: string): boolean {
    const state = input.ledger.seats.get(seat);
    return state?.isHeld === true && state.instance === input.instance;
}

function isFree(input: SeatPlanInput, seat: string): boolean {
    const state = input.ledger.seats.get(seat);
    const lapsesAfterMs = (seatTermMs + loanTermMs) * clockDriftFactor;
    return state === undefined || !state.isHeld || input.nowMs - input.seenMs(seat) > lapsesAfterMs;
}

function planUpkeep(input: SeatPlanInput): readonly SeatEdit[] {
    const due = [...input.own].filter(([, seat]) => input.nowMs - seat.renewedMs >= seatRenewalMs).map(([name]) =>
        name
    );
    return [...due, ...input.inherited].flatMap(seat => {
        const state = input.ledger.seats.get(seat);
        return state !== undefined && isHeldBySelf(input, seat)
            ? [{ seat, basedOn: state.revision, isHeld: true }]
            : [];
    });
}

/** Instances begin at different seats, so that their claims seldom meet. */
const rotate = (names: readonly string[], by: number) => [...names.slice(by), ...names.slice(0, by)];

function planClaims(input: SeatPlanInput, customer: string): readonly SeatEdit[] {
    const names = rotate(listSeatNames(customer), Number(hashText(input.instance) % BigInt(seatsPerCustomer)));
    const held = names.filter(seat => isHeldBySelf(input, seat)).length;
    const free = names.filter(seat => !isHeldBySelf(input, seat) && isFree(input, seat));
    const equalPart = Math.ceil(seatsPerCustomer / Math.max(1, input.aliveCount));
    const longFree = free.filter(seat => input.nowMs - input.seenMs(seat) >= surplusClaimDelayMs);
    const chosen = held < equalPart ? free.slice(0, equalPart - held) : longFree.slice(0, 1);
    return chosen.map(seat => ({ seat, basedOn: input.ledger.seats.get(seat)?.revision ?? 0, isHeld: true }));
}

function planRelease(input: SeatPlanInput, customer: string): readonly SeatEdit[] {
    const names = listSeatNames(customer);
    const own = names.filter(seat => input.own.has(seat));
    const holders = new Set(names.map(seat => input.ledger.seats.get(seat)?.instance));
    const equalPart = Math.ceil(seatsPerCustomer / Math.max(1, input.aliveCount));
    const isSettled = own.every(seat => input.nowMs - input.seenMs(seat) >= surplusReleaseDelayMs);
    const isWanted = input.listBorrowers(customer).some(borrower => !holders.has(borrower));
    const isSurplus = own.length > equalPart && isWanted && !names.some(seat => isFree(input, seat));
    if (!isSurplus || !isSettled || !input.canRelease(customer)) {
        return [];
    }
    const seat = own[own.length - 1]!;
    return [{ seat, basedOn: input.ledger.seats.get(seat)!.revision, isHeld: false }];
}

/**
 * Plans the next record for the log.
 *
 * @param input - The ledger and this instance's state.
 * @returns The edits; none when nothing has to change.
 * @example
 * planSeatEdits(input).filter(edit => edit.isHeld).length;
 */
export function planSeatEdits(input: SeatPlanInput): readonly SeatEdit[] {
    const upkeep = planUpkeep(input);
    const claims = input.served.flatMap(customer => planClaims(input, customer));
    const releases = input.served.flatMap(customer => planRelease(input, customer));
    return [...upkeep, ...claims, ...releases];
}
