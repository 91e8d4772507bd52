/**
 * @module
 * The ledger of seats as a restarted instance takes it from a peer.
 */
import { z } from "zod";
import { parseJson } from "../_lib/parseJson.js";
import { maxStandbys, type SeatLedger } from "./foldSeatRecord.js";

const whole = z.number().int().min(0);
const name = z.string().max(80);

const snapshotSchema = z.object({
    nextOffset: whole,
    /** Seat, revision, instance, incarnation, time of sending, whether it is held, and the standbys. */
    seats: z.array(z.tuple([name, whole, name, name, z.number(), z.boolean(), z.array(name).max(maxStandbys)])),
});

/**
 * Encodes a ledger.
 *
 * @param ledger - The ledger.
 * @returns The text to send.
 * @example
 * encodeSeatLedger(emptySeatLedger).length;
 */
export function encodeSeatLedger(ledger: SeatLedger): string {
    const seats = [...ledger.seats].map(([seat, { revision, instance, incarnation, sentMs, isHeld, standbys }]) =>
        [seat, revision, instance, incarnation, sentMs, isHeld, standbys] as const
    );
    return JSON.stringify({ nextOffset: ledger.nextOffset, seats });
}

/**
 * Decodes a ledger.
 *
 * @param payload - The received text.
 * @returns The ledger; undefined when it is malformed.
 * @example
 * decodeSeatLedger(encodeSeatLedger(ledger))?.nextOffset === ledger.nextOffset; // true
 */
export function decodeSeatLedger(payload: string): SeatLedger | undefined {
    const parsed = parseJson(snapshotSchema, payload);
    if (parsed === undefined) {
        return undefined;
    }
    const seats = parsed.seats.map(([seat, revision, instance, incarnation, sentMs, isHeld, standbys]) =>
        [seat, { revision, instance, incarnation, sentMs, isHeld, standbys }] as const
    );
    return { nextOffset: parsed.nextOffset, seats: new Map(seats) };
}
