/**
 * @module
 * Messages about quotas: instances pledge their shares of the quotas to owners, and ask them for what requests count as.
 */
import * as z from "zod";

/** Most asks or returns in one message. */
export const maxQuotaItems = 64;

const maxPools = 64;
const maxInstances = 100_000;

/** Whatever the configuration takes as a name. */
const name = z.string();
const amount = z.number().min(0);
const count = z.number().int().min(0);

/** Number of instances that may be running; left out while it is not known. */
const size = z.number().int().min(1).max(maxInstances).optional();

const pledgeSchema = z.object({
    kind: z.literal("pledge"),
    /** Part of the sender's share that the receiver may grant, by pool. */
    weights: z.array(z.tuple([count, z.number().min(0).max(1)])).max(maxPools).readonly(),
    /** Owner's epoch and time, as its newest answer has stated them; a pledge without them does not count. */
    epoch: count.optional(),
    echoMs: z.number().optional(),
    size,
}).readonly();

const receiptSchema = z.object({
    kind: z.literal("receipt"),
    /** Differs after each start and pause of the owner. */
    epoch: count,
    /** Time on the owner's clock. */
    atMs: z.number(),
    size,
    /** Whether the owner gives up what is pledged to it, because it leaves. */
    isReleased: z.boolean().optional(),
}).readonly();

const askItemSchema = z.object({
    id: count,
    customer: name,
    cost: amount,
    /** Whether the owner has refused the same request before. */
    isRepeated: z.boolean().optional(),
}).readonly();

const answerItemSchema = z.object({
    id: count,
    /** `spent`: not granted now. `unready`: the owner has no shares to grant from, or gains some. */
    state: z.enum(["granted", "spent", "unready"]),
    /** Time until the amount can be granted, as it looks now, in milliseconds. */
    waitMs: amount,
    /** Names the grant to its owner, for a return. */
    mark: count.optional(),
}).readonly();

const returnItemSchema = z.object({
    customer: name,
    cost: amount,
    mark: count,
    /** Names the return: a message may arrive twice. */
    id: count,
}).readonly();

/** Schema of the messages. */
export const quotaMessageSchema = z.object({
    quota: z.discriminatedUnion("kind", [
        pledgeSchema,
        receiptSchema,
        z.object({ kind: z.literal("ask"), items: z.array(askItemSchema).max(maxQuotaItems).readonly() }).readonly(),
        z.object({
            kind: z.literal("answer"),
            epoch: count,
            items: z.array(answerItemSchema).max(maxQuotaItems).readonly(),
        }).readonly(),
        z.object({
            kind: z.literal("return"),
            epoch: count,
            items: z.array(returnItemSchema).max(maxQuotaItems).readonly(),
        }).readonly(),
    ]),
}).readonly();

/** A message. */
export type QuotaMessage = z.infer<typeof quotaMessageSchema>;

/** A pledge of shares. */
export type QuotaPledge = z.infer<typeof pledgeSchema>;

/** An owner's answer to a pledge. */
export type QuotaReceipt = z.infer<typeof receiptSchema>;

/** An ask for one request. */
export type QuotaAskItem = z.infer<typeof askItemSchema>;

/** The answer to an ask. */
export type QuotaAnswerItem = z.infer<typeof answerItemSchema>;

/** An amount that was granted and not used. */
export type QuotaReturnItem = z.infer<typeof returnItemSchema>;
