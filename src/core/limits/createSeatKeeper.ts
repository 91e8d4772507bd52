/**
 * @module
 * Keeps this instance's seats: follows the ledger, plans records, and tells the accounts which seats may be used.
 */
import { emptySeatLedger, type Seat, type SeatLedger } from "./foldSeatRecord.js";
import { clockDriftFactor, loanTermMs, maxBorrowedFlightMs, seatTermMs } from "./limitConstants.js";
import { listSeatNames } from "./listSeatNames.js";
import { planSeatEdits } from "./planSeatEdits.js";
import type { HeldSeat } from "./shareTypes.js";

/** The keeper of an instance's seats. */
export interface SeatKeeper {
    readonly ledger: () => SeatLedger;
    /** Takes a newer ledger, read from the log or taken from a peer. */
    readonly adopt: (ledger: SeatLedger) => void;
    /** The next record to append; undefined when nothing has to change or a record is under way. */
    readonly planRecord: () => string | undefined;
    /** The record that was planned last was folded, refused or lost; a next one may be planned. */
    readonly noteSettled: () => void;
    /** Releases every seat, once nothing runs any more; undefined when none is held. */
    readonly planFullRelease: () => string | undefined;
    /** Other instances that hold seats of a customer. */
    readonly listHolders: (customer: string) => readonly string[];
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
    readonly canRelease: (customer: string) => boolean;
    /** Instances that borrow shares of a customer from this one. */
    readonly listBorrowers: (customer: string) => readonly string[];
    readonly setSeats: (customer: string, seats: readonly HeldSeat[]) => void;
}

interface OwnedSeat extends HeldSeat {
    readonly renewedMs: number;
    readonly revision: number;
}

function splitName(name: string): { readonly customer: string; readonly index: number; } {
    const separator = name.lastIndexOf("/");
    return { customer: name.slice(0, separator), index: Number(name.slice(separator + 1)) };
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
    const startedMs = now();
    const seenMs = new Map<string, number>();
    const own = new Map<string, OwnedSeat>();
    const inherited = new Set<string>();
    let ledger = emptySeatLedger;
    let isUnderWay = false;

    function publish(customer: string): void {
        const seats = [...own].filter(([name]) => splitName(name).customer === customer).map(([, seat]) => seat);
        dependencies.setSeats(customer, seats);
    }

    function claimSeat(name: string, before: Seat | undefined, after: Seat): void {
        const known = own.get(name);
        const { revision, sentMs: renewedMs } = after;
        const untilMs = renewedMs + seatTermMs;
        if (known !== undefined) {
            own.set(name, { ...known, renewedMs, untilMs, revision });
            return;
        }
        // An earlier process of this instance had ended before this one began.
        const endedMs = before?.instance === instance ? startedMs : now();
        own.set(name, {
            index: splitName(name).index,
            renewedMs,
            untilMs,
            revision,
            isTakenOver: before !== undefined,
            loansEndedMs: endedMs + loanTermMs * clockDriftFactor,
            flightsEndedMs: endedMs + (loanTermMs + maxBorrowedFlightMs) * clockDriftFactor,
        });
    }

    /** Tells whether the seats that this instance uses have changed. */
    function noteChange(name: string, before: Seat | undefined, after: Seat): boolean {
        seenMs.set(name, now());
        inherited.delete(name);
        if (after.isHeld && after.instance === instance && after.incarnation === incarnation) {
            claimSeat(name, before, after);
            return true;
        }
        if (after.isHeld && after.instance === instance) {
            inherited.add(name);
        }
        return own.delete(name);
    }

    function replaceLedger(next: SeatLedger): void {
        const before = ledger;
        ledger = next;
        const changed = new Set<string>();
        for (const [name, seat] of next.seats) {
            const earlier = before.seats.get(name);
            if (earlier?.revision !== seat.revision && noteChange(name, earlier, seat)) {
                changed.add(splitName(name).customer);
            }
        }
        changed.forEach(publish);
    }

    function serialize(edits: ReturnType<typeof planSeatEdits>): string | undefined {
        if (edits.length === 0) {
            return undefined;
        }
        isUnderWay = true;
        return JSON.stringify({ instance, incarnation, sentMs: now(), edits });
    }

    /** Stops the use of seats before their release is sent. */
    function stopUse(names: readonly string[]): void {
        names.forEach(name => own.delete(name));
        new Set(names.map(name => splitName(name).customer)).forEach(publish);
    }

    function planRecord(): string | undefined {
        if (isUnderWay) {
            return undefined;
        }
        const edits = planSeatEdits({
            nowMs: now(),
            instance,
            incarnation,
            ledger,
            seenMs: name => seenMs.get(name) ?? startedMs,
            own,
            inherited,
            served: dependencies.listServed(),
            aliveCount: dependencies.countAlive(),
            canRelease: dependencies.canRelease,
            listBorrowers: dependencies.listBorrowers,
        });
        stopUse(edits.filter(edit => !edit.isHeld).map(edit => edit.seat));
        return serialize(edits);
    }

    return {
        ledger: () => ledger,
        adopt: other => {
            if (other.nextOffset > ledger.nextOffset) {
                replaceLedger(other);
            }
        },
        planRecord,
        noteSettled: () => {
            isUnderWay = false;
        },
        planFullRelease: () => {
            const edits = [...own].map(([seat, { revision }]) => ({ seat, basedOn: revision, isHeld: false }));
            stopUse([...own.keys()]);
            return serialize(edits);
        },
        listHolders: customer => {
            const holders = new Set<string>();
            for (const name of listSeatNames(customer)) {
                const seat = ledger.seats.get(name);
                if (seat !== undefined && seat.isHeld && seat.instance !== instance) {
                    holders.add(seat.instance);
                }
            }
            return [...holders];
        },
    };
}
