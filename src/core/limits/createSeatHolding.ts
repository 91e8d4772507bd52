/**
 * @module
 * The seats that this instance may use now, and telling the accounts of them.
 */
import type { HeldShard } from "./quotaTypes.js";

/** One life of an instance's process. */
export interface SeatOwner {
    readonly instance: string;
    readonly incarnation: string;
}

/** A seat that may be used. */
export interface UsableSeat extends HeldShard {
    /** Time from which the lease runs, in milliseconds on this instance's clock. */
    readonly renewedMs: number;
    /** Revision of the ledger at which the seat is held. */
    readonly revision: number;
    /** Who holds the seat on the ledger. */
    readonly owner: SeatOwner;
}

/** The usable seats of an instance. */
export interface SeatHolding {
    readonly seats: ReadonlyMap<string, UsableSeat>;
    /** Adds or replaces a seat and tells the account. */
    readonly set: (name: string, seat: UsableSeat) => void;
    /** Ends the use of seats and tells the accounts; seats that are not held are passed over. */
    readonly endUse: (names: readonly string[]) => void;
}

/**
 * Takes the name of a seat apart.
 *
 * @param name - "customer/number".
 * @returns The customer and the number.
 * @example
 * splitSeatName("town-hall/3"); // { customer: "town-hall", index: 3 }
 */
export function splitSeatName(name: string): { readonly customer: string; readonly index: number; } {
    const separator = name.lastIndexOf("/");
    return { customer: name.slice(0, separator), index: Number(name.slice(separator + 1)) };
}

/**
 * Creates the holding, without seats.
 *
 * @param setSeats - Tells the account of a customer its usable seats.
 * @returns The holding.
 * @example
 * createSeatHolding(book.setSeats).seats.size; // 0
 */
export function createSeatHolding(
    setSeats: (customer: string, seats: readonly HeldShard[]) => void,
): SeatHolding {
    const seats = new Map<string, UsableSeat>();

    function publish(customer: string): void {
        setSeats(
            customer,
            [...seats].filter(([name]) => splitSeatName(name).customer === customer).map(([, one]) => one),
        );
    }

    return {
        seats,
        set: (name, seat) => {
            seats.set(name, seat);
            publish(splitSeatName(name).customer);
        },
        endUse: names => {
            const ended = names.filter(name => seats.delete(name));
            new Set(ended.map(name => splitSeatName(name).customer)).forEach(publish);
        },
    };
}
