/**
 * @module
 * Records of the `leases` stream.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";

const leaseSchema = z.strictObject({
    kind: z.literal("lease"),
    /** Name of the instance that holds the lease. */
    holder: z.string().min(1).max(64),
    /** Identity of one uninterrupted holding; a holder whose lease has expired starts a new session. */
    session: z.string().min(1).max(64),
    /** Sequence number within the session. */
    sequence: z.number().int().min(0),
    durationMs: z.number().int().min(1_000).max(60_000),
    /** Offset of the last record that the holder had read; -1 when it had read none. */
    follows: z.number().int().min(-1),
}).readonly();

/** A record that acquires or renews the lease. */
export type LeaseRecord = z.infer<typeof leaseSchema>;

/**
 * Parses a record.
 *
 * @param payload - The record as JSON text.
 * @returns The record, or undefined when it is malformed.
 * @example
 * parseLease("{}"); // undefined
 */
export function parseLease(payload: string): LeaseRecord | undefined {
    return parseJson(leaseSchema, payload);
}
