/**
 * @module
 * Records of operators' orders and of their progress. They are part of the catalogue's stream, so that every instance
 * knows which weights each upstream serves and no order outlives its record.
 */
import * as z from "zod";
import { identifier } from "./identifier.js";

const id = z.string().min(8).max(64);
const author = z.string().min(1).max(64);

/** Schema of an operator's order to one engine. */
export const orderSchema = z.strictObject({
    kind: z.literal("order"),
    /** Chosen by the operator's tool; a repeated id is the same order. */
    orderId: id,
    author,
    upstream: identifier,
    action: z.enum(["load", "unload", "role", "drain"]),
    /** Model to load or unload; empty for other actions. */
    model: identifier.or(z.literal("")),
    /** Weights version to load or unload; empty for other actions. */
    weightsVersion: identifier.or(z.literal("")),
    /** Role to assign; empty for other actions. */
    role: identifier.or(z.literal("")),
    /** When the order was given, in milliseconds since the Unix epoch. */
    givenMs: z.number().min(0),
}).readonly();

const beginSchema = z.strictObject({
    upstream: identifier,
    model: identifier,
    weightsVersion: identifier,
    /** The operator's order that asked for the load; undefined in a rollout. */
    orderId: id.optional(),
}).readonly();

const endSchema = z.strictObject({
    upstream: identifier,
    /** Whether the upstream then reported the weights as loaded. */
    isLoaded: z.boolean(),
}).readonly();

const orderEndSchema = z.strictObject({
    orderId: id,
    outcome: z.enum(["done", "expired"]),
    detail: z.string().max(200),
}).readonly();

const maxItems = 256;

/** Schema of a record of the lease holder on the progress of orders and rollouts. */
export const orderProgressSchema = z.strictObject({
    kind: z.literal("orderProgress"),
    author,
    /** Fencing number of the holder's lease; a record with a lower number than an earlier record has no effect. */
    fencingNumber: z.number().int().min(0),
    /** Loads announced by this record; their orders are sent afterwards. */
    begun: z.array(beginSchema).max(maxItems).readonly(),
    /** Announced loads that ended. */
    ended: z.array(endSchema).max(maxItems).readonly(),
    /** Operators' orders that ended. */
    ordersEnded: z.array(orderEndSchema).max(maxItems).readonly(),
    /** Completed rollouts, as "model@version": all upstreams of the model serve the version. */
    rolledOut: z.array(z.string().max(130)).max(maxItems).readonly(),
}).readonly();

/** An operator's order to one engine. */
export type Order = z.infer<typeof orderSchema>;
/** Progress of orders and rollouts. */
export type OrderProgress = z.infer<typeof orderProgressSchema>;

/** A load that was announced and has not ended. */
export interface AnnouncedLoad {
    readonly model: string;
    readonly weightsVersion: string;
    /** The operator's order that asked for it; undefined in a rollout. */
    readonly orderId?: string;
}

/** An order with its outcome. */
export interface HeldOrder {
    readonly order: Order;
    /** Undefined until the order has ended. */
    readonly end?: { readonly outcome: "done" | "expired"; readonly detail: string; };
}
