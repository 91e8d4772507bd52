/**
 * @module
 * Messages about permits: an instance asks the owner of a limited upstream for permits, which grants or owes them. They are sent
 * only while an upstream states a rate limit.
 */
import * as z from "zod";

/** Most upstreams in one message. */
export const maxPermitItems = 64;

/** Most permits that are asked for, granted or returned at once. */
export const maxPermitsAtOnce = 64;

const maxNameLength = 128;
const maxWaitMs = 86_400_000;

const upstream = z.string().min(1).max(maxNameLength);
const permits = z.number().int().min(0).max(maxPermitsAtOnce);

/** Permits of one upstream that are asked for or returned. */
const amountSchema = z.object({ upstream, permits }).readonly();

const grantSchema = z.object({
    upstream,
    permits,
    /** Time until the receiver gets the next permit, as it looks now, in milliseconds. */
    waitMs: z.number().int().min(0).max(maxWaitMs),
    /** Number of instances that have asked for permits lately. */
    askers: z.number().int().min(1),
}).readonly();

/** Schema of the messages. */
export const permitMessageSchema = z.object({
    permits: z.discriminatedUnion("kind", [
        z.object({
            kind: z.literal("ask"),
            sequence: z.number().int().min(0),
            items: z.array(amountSchema).max(maxPermitItems).readonly(),
        }).readonly(),
        z.object({
            kind: z.literal("grant"),
            /** Sequence of the ask that is answered. */
            sequence: z.number().int().min(0),
            items: z.array(grantSchema).max(maxPermitItems).readonly(),
        }).readonly(),
        z.object({ kind: z.literal("return"), items: z.array(amountSchema).max(maxPermitItems).readonly() }).readonly(),
    ]),
}).readonly();

/** A message. */
export type PermitMessage = z.infer<typeof permitMessageSchema>;

/** Permits of one upstream. */
export type PermitAmount = z.infer<typeof amountSchema>;

/** What the owner answers to an ask for one upstream. */
export type PermitGrantItem = z.infer<typeof grantSchema>;
