/**
 * @module
 * Encoding of the shard ledger, as a restarted instance reads it from a peer and as checkpoints contain it.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";
import { maxStandbys, type ShardLedger } from "./foldShardRecord.js";

const integer = z.number().int().min(0);
const name = z.string().max(80);

const snapshotSchema = z.object({
    nextOffset: integer,
    /** Name of the shard, revision, instance, incarnation, time of sending, whether it is held, and the standbys. */
    seats: z.array(z.tuple([name, integer, name, name, z.number(), z.boolean(), z.array(name).max(maxStandbys)])),
});

/**
 * Encodes a ledger.
 *
 * @param ledger - The ledger.
 * @returns The text to send.
 * @example
 * encodeShardLedger(emptyShardLedger).length;
 */
export function encodeShardLedger(ledger: ShardLedger): string {
    const seats = [...ledger.shards].map(([shard, { revision, instance, incarnation, sentMs, isHeld, standbys }]) =>
        [shard, revision, instance, incarnation, sentMs, isHeld, standbys] as const
    );
    return JSON.stringify({ nextOffset: ledger.nextOffset, seats });
}

/**
 * Decodes a ledger.
 *
 * @param payload - The received text.
 * @returns The ledger; undefined when it is malformed.
 * @example
 * decodeShardLedger(encodeShardLedger(ledger))?.nextOffset === ledger.nextOffset; // true
 */
export function decodeShardLedger(payload: string): ShardLedger | undefined {
    const parsed = parseJson(snapshotSchema, payload);
    if (parsed === undefined) {
        return undefined;
    }
    const shards = parsed.seats.map(([shard, revision, instance, incarnation, sentMs, isHeld, standbys]) =>
        [shard, { revision, instance, incarnation, sentMs, isHeld, standbys }] as const
    );
    return { nextOffset: parsed.nextOffset, shards: new Map(shards) };
}
