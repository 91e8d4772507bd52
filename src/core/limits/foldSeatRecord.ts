/**
 * @module
 * The ledger of seats: the deterministic fold of the log's share records. A seat is one of a fixed number of equal parts
 * of a customer's limits; the log order alone decides who holds it.
 */
import { z } from "zod";
import { parseJson } from "../_lib/parseJson.js";

/** Standbys that a record names at the most: one may leave at the same time. */
export const maxStandbys = 2;

const seatRecordSchema = z.strictObject({
    instance: z.string().min(1).max(64),
    /** Identity of one life of the instance's process. */
    incarnation: z.string().min(1).max(64),
    /** When the record was sent, in milliseconds on the clock of that life; no other process reads it. */
    sentMs: z.number(),
    /** Instances to which the process may hand the record's seats when it leaves while the log is down. */
    standbys: z.array(z.string().min(1).max(64)).max(maxStandbys).readonly().default([]),
    edits: z.array(
        z.strictObject({
            /** "customer/number" of the seat. */
            seat: z.string().max(80),
            /** Revision that the edit was based on; 0 for a seat that was never held. */
            basedOn: z.number().int().min(0),
            isHeld: z.boolean(),
        }).readonly(),
    ).max(5000).readonly(),
}).readonly();

/** One record of the share stream. */
export type SeatRecord = z.infer<typeof seatRecordSchema>;

/** State of one seat. */
export interface Seat {
    /** Log offset plus 1 of the record that last changed or renewed the seat. */
    readonly revision: number;
    readonly instance: string;
    readonly incarnation: string;
    /** When the holder sent the record, in milliseconds on the holder's clock. */
    readonly sentMs: number;
    readonly isHeld: boolean;
    /** Instances that may keep the seat for the holder while the log is down. */
    readonly standbys: readonly string[];
}

/** The fold of the share stream. */
export interface SeatLedger {
    /** Offset of the first record that is not folded in yet. */
    readonly nextOffset: number;
    /** Seats by "customer/number"; a seat that was never held is absent. */
    readonly seats: ReadonlyMap<string, Seat>;
}

/** The ledger before any record. */
export const emptySeatLedger: SeatLedger = { nextOffset: 0, seats: new Map() };

/**
 * Folds one record. An edit takes effect only if it was based on the seat's newest revision, so of several instances
 * that want the same seat the first in log order gets it. A malformed record changes nothing.
 *
 * @param ledger - The ledger before the record.
 * @param offset - Log offset of the record; an offset below `nextOffset` changes nothing.
 * @param payload - The record as JSON text.
 * @returns The ledger after the record.
 * @example
 * foldSeatRecord(emptySeatLedger, 0, payload).seats.get("town-hall/0")?.instance; // "entry-1"
 */
export function foldSeatRecord(ledger: SeatLedger, offset: number, payload: string): SeatLedger {
    if (offset < ledger.nextOffset) {
        return ledger;
    }
    const record = parseJson(seatRecordSchema, payload);
    const nextOffset = offset + 1;
    if (record === undefined) {
        return { ...ledger, nextOffset };
    }
    const seats = new Map(ledger.seats);
    for (const { seat, basedOn, isHeld } of record.edits) {
        if ((seats.get(seat)?.revision ?? 0) === basedOn) {
            const { instance, incarnation, sentMs, standbys } = record;
            seats.set(seat, { revision: nextOffset, instance, incarnation, sentMs, isHeld, standbys });
        }
    }
    return { nextOffset, seats };
}
