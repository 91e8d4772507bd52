/**
 * @module
 * Reports in which instances tell each other what upstreams have stated in their answers. Ages count from the time of the
 * report, since instances have no common clock.
 */
import * as z from "zod";

/** Most reports in one message. */
export const maxReportedSignals = 32;

const maxNameLength = 128;

/** Longest age that is reported, in milliseconds: a day. */
const maxReportedAgeMs = 86_400_000;

const name = z.string().min(1).max(maxNameLength);
const ageMs = z.number().int().min(0).max(maxReportedAgeMs);

const origin = {
    upstream: name,
    /** Start of the upstream's process; reports about an earlier process do not count. */
    startedAtMs: z.number().int(),
    /** Milliseconds since the answered request was sent, and since the head of its answer arrived. */
    sentAgeMs: ageMs,
    receivedAgeMs: ageMs,
    /** Name of the instance that received the answer. */
    source: name,
};

/** Schema of a report. */
export const signalReportSchema = z.discriminatedUnion("kind", [
    z.object({
        ...origin,
        kind: z.literal("rateLimit"),
        /** Left out when the upstream has stopped stating a limit. */
        requestsPerSecond: z.number().min(0).max(1_000_000).optional(),
    }).readonly(),
    z.object({ ...origin, kind: z.literal("leaving") }).readonly(),
    /** Concerns the instance that received the answer only; it is not told to others. */
    z.object({ ...origin, kind: z.literal("retryAfter"), remainingMs: ageMs }).readonly(),
]);

/** One report. */
export type SignalReport = z.infer<typeof signalReportSchema>;

/** Schema of the message that carries reports. */
export const signalMessageSchema = z.object({
    signals: z.array(signalReportSchema).max(maxReportedSignals).readonly(),
}).readonly();

/** A message with reports. */
export type SignalMessage = z.infer<typeof signalMessageSchema>;

/**
 * Computes the age of a time, as it is reported.
 *
 * @param atMs - The time.
 * @param nowMs - The present, in milliseconds on the same clock.
 * @returns Whole milliseconds, a day at most.
 * @example
 * toReportedAgeMs(100, 350); // 250
 */
export function toReportedAgeMs(atMs: number, nowMs: number): number {
    return Math.min(maxReportedAgeMs, Math.max(0, Math.round(nowMs - atMs)));
}
