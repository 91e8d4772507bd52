/**
 * @module
 * The shard ledger: a deterministic fold of the records in the log's share stream. A quota shard is one of a fixed
 * number of equal shards of a customer's limits, held under a lease; the log order alone decides who holds it.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";

/** Maximum number of standbys in a record: with two, one of them may shut down at the same time as the holder. */
export const maxStandbys = 2;

const shardRecordSchema = z.strictObject({
    instance: z.string().min(1).max(64),
    /** Identity of one run of the instance's process. */
    incarnation: z.string().min(1).max(64),
    /** When the record was sent, in milliseconds on that process's clock; no other process interprets it. */
    sentMs: z.number(),
    /** Instances to which the process may hand these shards over if it shuts down while the log is unavailable. */
    standbys: z.array(z.string().min(1).max(64)).max(maxStandbys).readonly().default([]),
    edits: z.array(
        z.strictObject({
            /** Name of the shard, "customer/number". */
            seat: z.string().max(80),
            /** Revision of the shard that the edit was based on; 0 for a shard that was never held. */
            basedOn: z.number().int().min(0),
            isHeld: z.boolean(),
        }).readonly(),
    ).max(5000).readonly(),
}).readonly();

/** One record of the share stream. */
export type ShardRecord = z.infer<typeof shardRecordSchema>;

/** State of one quota shard. */
export interface Shard {
    /** Log offset plus 1 of the record that last changed or renewed the shard. */
    readonly revision: number;
    readonly instance: string;
    readonly incarnation: string;
    /** When the holder sent the record, in milliseconds on the holder's clock. */
    readonly sentMs: number;
    readonly isHeld: boolean;
    /** Instances that may take over the shard from the holder while the log is unavailable. */
    readonly standbys: readonly string[];
}

/** The fold of the share stream. */
export interface ShardLedger {
    /** Offset of the first record that has not been folded yet. */
    readonly nextOffset: number;
    /** Shards by "customer/number"; a shard that was never held is absent. */
    readonly shards: ReadonlyMap<string, Shard>;
}

/** The ledger before any record. */
export const emptyShardLedger: ShardLedger = { nextOffset: 0, shards: new Map() };

/**
 * Folds one record. An edit takes effect only if it was based on the shard's newest revision, so of several instances
 * that claim the same shard the first in log order gets it. A malformed record changes nothing.
 *
 * @param ledger - The ledger before the record.
 * @param offset - Log offset of the record; an offset below `nextOffset` changes nothing.
 * @param payload - The record as JSON text.
 * @returns The ledger after the record.
 * @example
 * foldShardRecord(emptyShardLedger, 0, payload).shards.get("town-hall/0")?.instance; // "entry-1"
 */
export function foldShardRecord(ledger: ShardLedger, offset: number, payload: string): ShardLedger {
    if (offset < ledger.nextOffset) {
        return ledger;
    }
    const record = parseJson(shardRecordSchema, payload);
    const nextOffset = offset + 1;
    if (record === undefined) {
        return { ...ledger, nextOffset };
    }
    const shards = new Map(ledger.shards);
    for (const { seat, basedOn, isHeld } of record.edits) {
        if ((shards.get(seat)?.revision ?? 0) === basedOn) {
            const { instance, incarnation, sentMs, standbys } = record;
            shards.set(seat, { revision: nextOffset, instance, incarnation, sentMs, isHeld, standbys });
        }
    }
    return { nextOffset, shards };
}
