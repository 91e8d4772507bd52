/**
 * @module
 * Keeps this instance's seats: follows the ledger, plans records, and tells the accounts which seats may be used.
 */
import {
    createHanded,
    createSeatCustody,
    endSeat,
    type HandedSeat,
    type ReadUseEnds,
    type SeatCustody,
} from "./createSeatCustody.js";
import { createSeatHolding, type SeatOwner, splitSeatName } from "./createSeatHolding.js";
import { emptySeatLedger, maxStandbys, type Seat, type SeatLedger } from "./foldSeatRecord.js";
import { clockDriftFactor, loanTermMs, maxBorrowedFlightMs, seatTermMs } from "./limitConstants.js";
import { listSeatNames } from "./listSeatNames.js";
import { isShortOfStandbys, planSeatEdits } from "./planSeatEdits.js";
import type { HeldShard } from "./quotaTypes.js";

/** The keeper of an instance's seats. */
export interface SeatKeeper {
    readonly ledger: () => SeatLedger;
    /** Takes a newer ledger, read from the log or taken from a peer. */
    readonly adopt: (ledger: SeatLedger) => void;
    /** The next record to append; undefined when nothing has to change or a record is under way. */
    readonly planRecord: () => string | undefined;
    /** Whether nothing has to change and every held seat names the standbys that it could. */
    readonly isSettled: () => boolean;
    /** The record that was planned last was folded, was not appended or may stand in the log; a next one may be planned. */
    readonly noteSettled: (outcome: RecordOutcome) => void;
    /** Ends the use of every seat, once nothing runs any more. */
    readonly endUse: () => readonly EndedSeat[];
    /** The record that releases seats whose use has ended; undefined without seats. */
    readonly createRelease: (seats: readonly EndedSeat[]) => string | undefined;
    /** Other instances that lend seats of a customer. */
    readonly listHolders: (customer: string) => readonly string[];
    readonly custody: SeatCustody;
}

/** What became of a record. */
export type RecordOutcome = "folded" | "notAppended" | "lost";

/** A seat whose use has ended before its lease. */
export interface EndedSeat {
    readonly name: string;
    readonly revision: number;
    readonly owner: SeatOwner;
    /** Instances that may keep the seat for its owner; none when a record about the seat may stand in the log. */
    readonly standbys: readonly string[];
    /** What is handed over now; the rests are computed when it is called. */
    readonly createHandover: () => HandedSeat;
}

/** What the keeper needs. */
export interface SeatKeeperDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly instance: string;
    /** Identity of this life of the process. */
    readonly incarnation: string;
    readonly listServed: () => readonly string[];
    readonly countAlive: () => number;
    /** Whether an instance is believed to be alive; a wrong answer costs utilisation only. */
    readonly isAlive: (instance: string) => boolean;
    /** Other instances in the order in which they are to keep this one's seats. */
    readonly rankStandbys: () => readonly string[];
    readonly canRelease: (customer: string) => boolean;
    readonly readUseEnds: ReadUseEnds;
    /** Instances that borrow shares of a customer from this one. */
    readonly listBorrowers: (customer: string) => readonly string[];
    readonly setSeats: (customer: string, seats: readonly HeldShard[]) => void;
}

/**
 * Creates the keeper. A lease of a seat runs from before the record was sent, so that it ends for the holder before any
 * other instance may take the seat.
 *
 * @param dependencies - The clock, this instance and the accounts.
 * @returns The keeper.
 * @example
 * createSeatKeeper(dependencies).planRecord();
 */
export function createSeatKeeper(dependencies: SeatKeeperDependencies): SeatKeeper {
    const { now, instance, incarnation } = dependencies;
    const self: SeatOwner = { instance, incarnation };
    const startedMs = now();
    const seenMs = new Map<string, number>();
    const holding = createSeatHolding(dependencies.setSeats);
    const inherited = new Set<string>();
    let ledger = emptySeatLedger;
    /** Seats that the record under way is about, and those of records that may stand in the log. */
    let underWay: readonly string[] = [];
    let isUnderWay = false;
    const uncertain = new Set<string>();
    const { readUseEnds } = dependencies;
    const custody = createSeatCustody({ now, self, holding, inherited, readUseEnds, ledger: () => ledger });

    function claimSeat(name: string, before: Seat | undefined, after: Seat): void {
        const known = holding.seats.get(name);
        const { revision, sentMs: renewedMs } = after;
        const untilMs = renewedMs + seatTermMs;
        if (known !== undefined && !known.isStandby) {
            holding.set(name, { ...known, renewedMs, untilMs, revision });
            return;
        }
        // An earlier process of this instance had ended before this one began, but a standby may have kept its seat.
        const isOwnBefore = before?.instance === instance && before.standbys.length === 0;
        const endedMs = isOwnBefore ? startedMs : now();
        holding.set(name, {
            index: splitSeatName(name).index,
            renewedMs,
            untilMs,
            revision,
            owner: self,
            isTakenOver: before !== undefined,
            isStandby: false,
            lentEndMs: endedMs + loanTermMs * clockDriftFactor,
            inFlightEndMs: endedMs + (loanTermMs + maxBorrowedFlightMs) * clockDriftFactor,
        });
    }

    function noteChange(name: string, before: Seat | undefined, after: Seat): void {
        seenMs.set(name, now());
        inherited.delete(name);
        uncertain.delete(name);
        if (after.isHeld && after.instance === instance && after.incarnation === incarnation) {
            claimSeat(name, before, after);
            return;
        }
        if (after.isHeld && after.instance === instance) {
            inherited.add(name);
        }
        holding.endUse([name]);
    }

    function replaceLedger(next: SeatLedger): void {
        const before = ledger;
        ledger = next;
        for (const [name, seat] of next.seats) {
            const earlier = before.seats.get(name);
            if (earlier?.revision !== seat.revision) {
                noteChange(name, earlier, seat);
            }
        }
    }

    function serialize(edits: ReturnType<typeof planSeatEdits>): string | undefined {
        if (edits.length === 0) {
            return undefined;
        }
        isUnderWay = true;
        underWay = edits.map(edit => edit.seat);
        const standbys = dependencies.rankStandbys().slice(0, maxStandbys);
        return JSON.stringify({ instance, incarnation, sentMs: now(), standbys, edits });
    }

    function planEdits(): ReturnType<typeof planSeatEdits> {
        return planSeatEdits({
            nowMs: now(),
            instance,
            incarnation,
            ledger,
            seenMs: name => seenMs.get(name) ?? startedMs,
            own: holding.seats,
            inherited: new Set([...inherited].filter(custody.isCleared)),
            standbys: dependencies.rankStandbys(),
            served: dependencies.listServed(),
            aliveCount: dependencies.countAlive(),
            canRelease: dependencies.canRelease,
            listBorrowers: dependencies.listBorrowers,
        });
    }

    function planRecord(): string | undefined {
        if (isUnderWay) {
            return undefined;
        }
        const edits = planEdits();
        holding.endUse(edits.filter(edit => !edit.isHeld).map(edit => edit.seat));
        return serialize(edits);
    }

    function isSettled(): boolean {
        const living = [...dependencies.rankStandbys(), instance];
        const isShort = ({ isHeld, instance: holder, standbys }: Seat) =>
            isHeld && isShortOfStandbys(standbys, living.filter(one => one !== holder));
        return !isUnderWay && planEdits().length === 0 && ![...ledger.seats.values()].some(isShort);
    }

    function noteSettled(outcome: RecordOutcome): void {
        if (outcome === "lost") {
            underWay.forEach(name => uncertain.add(name));
        }
        isUnderWay = false;
        underWay = [];
    }

    /** A standby that leaves as well hands a kept seat on to the other one. */
    function listOtherStandbys(name: string): readonly string[] {
        return (ledger.seats.get(name)?.standbys ?? []).filter(standby => standby !== instance);
    }

    function endUse(): readonly EndedSeat[] {
        const ended = [...holding.seats].map(([name, seat]): EndedSeat => {
            const isUncertain = uncertain.has(name) || underWay.includes(name);
            const endedUse = endSeat(name, seat, readUseEnds);
            return {
                name,
                revision: seat.revision,
                owner: seat.owner,
                standbys: isUncertain ? [] : listOtherStandbys(name),
                createHandover: () => createHanded(endedUse, now()),
            };
        });
        holding.endUse(ended.map(seat => seat.name));
        return ended;
    }

    /** A seat of an instance that is away is lent by the standby that keeps it. */
    function listHolders(customer: string): readonly string[] {
        const held = listSeatNames(customer).flatMap(name => ledger.seats.get(name) ?? []).filter(seat => seat.isHeld);
        const lenders = held.flatMap(seat => dependencies.isAlive(seat.instance) ? [seat.instance] : seat.standbys);
        return [...new Set(lenders)].filter(lender => lender !== instance);
    }

    return {
        ledger: () => ledger,
        adopt: other => {
            if (other.nextOffset > ledger.nextOffset) {
                replaceLedger(other);
            }
        },
        planRecord,
        isSettled,
        noteSettled,
        endUse,
        createRelease: seats =>
            serialize(seats.map(({ name, revision }) => ({ seat: name, basedOn: revision, isHeld: false }))),
        listHolders,
        custody,
    };
}
