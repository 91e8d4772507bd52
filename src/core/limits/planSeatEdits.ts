/**
 * @module
 * Which seats an instance renews, claims and releases. The plan may rest on any view of the fleet: the log decides which
 * edits take effect, and the terms make sure that two instances never use one seat together.
 */
import { hashText } from "../_lib/hashText.js";
import { maxStandbys, type SeatLedger, type SeatRecord } from "./foldSeatRecord.js";
import {
    clockDriftFactor,
    loanTermMs,
    seatRenewalMs,
    seatsPerCustomer,
    seatTermMs,
    standbyRenewalMs,
} from "./limitConstants.js";
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
    /** Seats that an earlier life of this instance holds and that no standby can use. */
    readonly inherited: ReadonlySet<string>;
    /** Other living instances, those that are to keep this one's seats first. */
    readonly standbys: readonly string[];
    /** Customers that this instance serves, or for which it is to hold what nobody holds. */
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

/**
 * Tells whether a held seat names too few living standbys.
 *
 * @param named - The standbys that the ledger names.
 * @param living - Other living instances.
 * @returns Whether more of them could be named.
 * @example
 * isShortOfStandbys([], ["entry-2"]); // true
 */
export function isShortOfStandbys(named: readonly string[], living: readonly string[]): boolean {
    return named.filter(standby => living.includes(standby)).length < Math.min(maxStandbys, living.length);
}

/** A standby that is away for a moment, as in its restart, is not replaced at once. */
function isStandbyDue(input: SeatPlanInput, name: string, seat: OwnSeat): boolean {
    const named = input.ledger.seats.get(name)?.standbys ?? [];
    const isDelayed = named.length >= maxStandbys && input.nowMs - seat.renewedMs < standbyRenewalMs;
    return !isDelayed && isShortOfStandbys(named, input.standbys);
}

function planUpkeep(input: SeatPlanInput): readonly SeatEdit[] {
    const due = [...input.own]
        .filter(([name, seat]) => input.nowMs - seat.renewedMs >= seatRenewalMs || isStandbyDue(input, name, seat))
        .map(([name]) => name);
    return [...new Set([...due, ...input.inherited])].flatMap(seat => {
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
    const own = names.filter(seat => input.own.has(seat) && isHeldBySelf(input, seat));
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
