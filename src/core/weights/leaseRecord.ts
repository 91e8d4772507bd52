/**
 * @module
 * Records of the rollout lease's topic: who claims the lease, and the era of the store in which the claim was made.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";

/** What a record says. */
export interface LeaseRecord {
    readonly instance: string;
    /** Era in which the claim was made; 0 while the store stated none. */
    readonly era: number;
}

const recordSchema = z.object({ instance: z.string(), era: z.number().int().min(0) }).readonly();

/**
 * Encodes a record. Without an era it is the bare name, as instances wrote it before the store had eras.
 *
 * @param record - The record.
 * @returns Its text.
 * @example
 * encodeLeaseRecord({ instance: "entry-1", era: 2 }); // '{"instance":"entry-1","era":2}'
 */
export function encodeLeaseRecord(record: LeaseRecord): string {
    return record.era === 0 ? record.instance : JSON.stringify({ instance: record.instance, era: record.era });
}

/**
 * Decodes a record. A text that is no record of the current form names the instance.
 *
 * @param text - The record's text.
 * @returns The record.
 * @example
 * decodeLeaseRecord("entry-1"); // { instance: "entry-1", era: 0 }
 */
export function decodeLeaseRecord(text: string): LeaseRecord {
    return parseJson(recordSchema, text) ?? { instance: text, era: 0 };
}
