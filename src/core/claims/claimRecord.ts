/**
 * @module
 * Records of the log stream "claims".
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";

const common = {
    key: z.string().max(400),
    claimId: z.string().min(1).max(80),
    /** Time at which the record was made, in milliseconds since the Unix epoch. */
    atMs: z.number(),
};

const claimRecordSchema = z.discriminatedUnion("type", [
    z.object({ type: z.literal("claim"), ...common, fingerprint: z.string().max(64), issuedMs: z.number() }).readonly(),
    z.object({ type: z.literal("release"), ...common }).readonly(),
    z.object({ type: z.literal("unknown"), ...common }).readonly(),
    z.object({
        type: z.literal("answered"),
        ...common,
        status: z.number().int(),
        contentType: z.string(),
        /** The body in base64; undefined when it was too large for the log. */
        body: z.string().optional(),
    }).readonly(),
]);

/** One record of the stream. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/**
 * Parses a record.
 *
 * @param payload - The record as JSON text.
 * @returns The record, or undefined when it is malformed.
 * @example
 * parseClaimRecord("{}"); // undefined
 */
export function parseClaimRecord(payload: string): ClaimRecord | undefined {
    return parseJson(claimRecordSchema, payload);
}
