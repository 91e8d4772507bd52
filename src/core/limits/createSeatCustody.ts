/**
 * @module
 * Custody of seats while the log cannot be written: a process that leaves hands its seats to a standby that the ledger
 * names, and the next process of its instance takes them back before it uses any of them.
 */
import { type SeatHolding, type SeatOwner, splitSeatName, type UsableSeat } from "./createSeatHolding.js";
import type { SeatLedger } from "./foldSeatRecord.js";
import { clockDriftFactor, seatTermMs } from "./limitConstants.js";

/** A clock reading of one process. */
export interface CustodyClock {
    readonly incarnation: string;
    /** Reading of the process's clock, in milliseconds. */
    readonly nowMs: number;
}

/** A seat that is handed over. */
export interface HandedSeat {
    readonly seat: string;
    readonly revision: number;
    /** Time for which the seat may be used, in milliseconds. */
    readonly restMs: number;
    /** Time in which loans that were made of the seat may still be used, in milliseconds. */
    readonly loansRestMs: number;
    /** Time in which requests on lent permits of the seat may still run, in milliseconds. */
    readonly flightsRestMs: number;
}

/** Seats that a leaving process hands to a standby. */
export interface SeatHandover {
    /** The standby's clock as it was read before `restMs` was computed; the rest runs from there. */
    readonly receiverClock: CustodyClock;
    readonly owner: SeatOwner;
    readonly seats: readonly HandedSeat[];
}

/** The custody of one instance. */
export interface SeatCustody {
    readonly readClock: () => CustodyClock;
    /** Takes seats of a process that leaves; false when they must not be used here. */
    readonly accept: (handover: SeatHandover) => boolean;
    /** Gives back what is kept for an instance, and takes nothing more of its earlier processes. */
    readonly giveBack: (claimant: SeatOwner) => readonly HandedSeat[];
    /** Standbys that have to be asked before inherited seats may be used. */
    readonly listUnasked: () => readonly string[];
    /** Takes a standby's answer to a question that was sent at `askedMs`. */
    readonly noteAnswer: (standby: string, askedMs: number, seats: readonly HandedSeat[]) => void;
    /** Whether no standby can still use an inherited seat. */
    readonly isCleared: (seat: string) => boolean;
}

/** When the use of what an instance has lent and run for a customer has surely ended, in milliseconds on its clock. */
export interface UseEnds {
    readonly loansMs: number;
    /** Includes requests on its own permits that still run. */
    readonly flightsMs: number;
}

/** Reads when the use of a customer's seats has surely ended if no more is lent and started from now on. */
export type ReadUseEnds = (customer: string) => UseEnds;

/** What custody needs. */
export interface SeatCustodyDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly self: SeatOwner;
    readonly ledger: () => SeatLedger;
    readonly holding: SeatHolding;
    readonly readUseEnds: ReadUseEnds;
    /** Seats that an earlier process of this instance holds on the ledger. */
    readonly inherited: ReadonlySet<string>;
}

/** The process of an instance that has asked last, and what it was given back. */
interface Claimant {
    readonly incarnation: string;
    readonly seats: readonly EndedUse[];
}

/** A seat whose use has ended here before its lease; times are on this instance's clock. */
export interface EndedUse {
    readonly name: string;
    readonly revision: number;
    readonly untilMs: number;
    readonly ends: UseEnds;
}

/**
 * Notes what the next user of a seat has to know when its use ends here.
 *
 * @param name - Name of the seat.
 * @param seat - The seat as it was used.
 * @param readUseEnds - Reads when what was lent and run has ended.
 * @returns The ended use.
 * @example
 * endSeat("town-hall/0", seat, readUseEnds).ends.loansMs;
 */
export function endSeat(name: string, seat: UsableSeat, readUseEnds: ReadUseEnds): EndedUse {
    const { loansMs, flightsMs } = readUseEnds(splitSeatName(name).customer);
    const before = seat.isTakenOver ? seat : { lentEndMs: 0, inFlightEndMs: 0 };
    const ends = {
        loansMs: Math.max(loansMs, before.lentEndMs),
        flightsMs: Math.max(flightsMs, before.inFlightEndMs),
    };
    return { name, revision: seat.revision, untilMs: seat.untilMs, ends };
}

/**
 * Turns times into rests, for a process with another clock.
 *
 * @param ended - The ended use.
 * @param nowMs - This instance's clock, in milliseconds.
 * @returns What is handed over.
 * @example
 * createHanded(ended, clock.now()).restMs;
 */
export function createHanded(ended: EndedUse, nowMs: number): HandedSeat {
    const { name, revision, untilMs, ends } = ended;
    return {
        seat: name,
        revision,
        restMs: Math.max(0, untilMs - nowMs),
        loansRestMs: Math.max(0, ends.loansMs - nowMs),
        flightsRestMs: Math.max(0, ends.flightsMs - nowMs),
    };
}

/**
 * Creates the custody of an instance.
 *
 * A seat is used by one process at a time: the owner has ended its use before it hands over, the rest of the lease is
 * counted from before the handover, and a standby that was asked by the next process takes no late handover.
 *
 * @param dependencies - The clock, the ledger and the usable seats.
 * @returns The custody.
 * @example
 * createSeatCustody(dependencies).isCleared("town-hall/0");
 */
export function createSeatCustody(dependencies: SeatCustodyDependencies): SeatCustody {
    const { now, self, holding } = dependencies;
    const claimants = new Map<string, Claimant>();
    const answered = new Set<string>();

    function listStandbys(seat: string): readonly string[] {
        const standbys = dependencies.ledger().seats.get(seat)?.standbys ?? [];
        return standbys.filter(standby => standby !== self.instance);
    }

    function createUsable(handed: HandedSeat, fromMs: number, owner: SeatOwner): UsableSeat {
        const untilMs = fromMs + Math.min(seatTermMs, handed.restMs) / clockDriftFactor;
        return {
            index: splitSeatName(handed.seat).index,
            untilMs,
            renewedMs: untilMs - seatTermMs,
            revision: handed.revision,
            owner,
            isTakenOver: true,
            isStandby: owner.instance !== self.instance,
            lentEndMs: now() + handed.loansRestMs * clockDriftFactor,
            inFlightEndMs: now() + handed.flightsRestMs * clockDriftFactor,
        };
    }

    /** A seat whose revision has changed is no longer the leaving process's. */
    function isCurrent(handed: HandedSeat): boolean {
        const known = dependencies.ledger().seats.get(handed.seat);
        return known !== undefined && known.revision === handed.revision;
    }

    function accept(handover: SeatHandover): boolean {
        const { owner, receiverClock } = handover;
        const claimant = claimants.get(owner.instance)?.incarnation;
        const isLate = claimant !== undefined && claimant !== owner.incarnation;
        if (isLate || receiverClock.incarnation !== self.incarnation || owner.instance === self.instance) {
            return false;
        }
        handover.seats.filter(isCurrent)
            .forEach(one => holding.set(one.seat, createUsable(one, receiverClock.nowMs, owner)));
        return true;
    }

    function endUseFor(instance: string): Claimant["seats"] {
        const kept = [...holding.seats].filter(([, seat]) => seat.isStandby && seat.owner.instance === instance);
        holding.endUse(kept.map(([name]) => name));
        return kept.map(([name, seat]) => endSeat(name, seat, dependencies.readUseEnds));
    }

    /** Repeats its answer, since the first one may be lost. */
    function giveBack(owner: SeatOwner): readonly HandedSeat[] {
        const { instance, incarnation } = owner;
        const known = claimants.get(instance);
        const claimant = known?.incarnation === incarnation ? known : { incarnation, seats: endUseFor(instance) };
        claimants.set(instance, claimant);
        return claimant.seats.map(seat => createHanded(seat, now()));
    }

    function noteAnswer(standby: string, askedMs: number, seats: readonly HandedSeat[]): void {
        answered.add(standby);
        for (const handed of seats) {
            if (isCurrent(handed) && dependencies.inherited.has(handed.seat)) {
                holding.set(handed.seat, createUsable(handed, askedMs, self));
            }
        }
    }

    return {
        readClock: () => ({ incarnation: self.incarnation, nowMs: now() }),
        accept,
        giveBack,
        listUnasked: () => {
            const standbys = new Set([...dependencies.inherited].flatMap(listStandbys));
            return [...standbys].filter(standby => !answered.has(standby));
        },
        noteAnswer,
        isCleared: seat => listStandbys(seat).every(standby => answered.has(standby)),
    };
}
