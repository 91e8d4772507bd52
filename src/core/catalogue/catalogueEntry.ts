/**
 * @module
 * The catalogue's entries and changes, with the schemas that validate them in log records.
 */
import * as z from "zod";
import { identifier } from "./identifier.js";

const hostAndPort = z.string().regex(
    /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "expected an IP number and a port, as 10.0.0.1:8080",
);
const positive = z.number().positive();

const limitsSchema = z.strictObject({
    requestsPerSecond: positive,
    promptTokensPerSecond: positive,
    outputTokensPerSecond: positive,
    requestsInFlight: z.number().int().positive(),
    /** Capacity of the token buckets, in seconds of the rates above. */
    burstSeconds: z.number().positive().max(60),
}).readonly();

const classOfServiceSchema = z.enum(["interactive", "standard", "batch"]);

const customerSchema = z.strictObject({
    kind: z.literal("customer"),
    id: identifier,
    owner: identifier,
    classOfService: classOfServiceSchema,
    limits: limitsSchema,
    /** SHA-256 of the customer's secret, in hexadecimal. */
    credentialSha256: z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits"),
}).readonly();

const modelSchema = z.strictObject({
    kind: z.literal("model"),
    id: identifier,
    owner: identifier,
    weightsVersion: identifier,
    adapter: identifier.optional(),
    /** Minimum share of the model's engines that stay in service during a rollout, 0 to 1. */
    minimumServingShare: z.number().min(0).max(1).default(0.5),
}).readonly();

const upstreamSchema = z.strictObject({
    kind: z.literal("upstream"),
    id: identifier,
    owner: identifier,
    address: hostAndPort,
    failureDomain: identifier,
    role: z.enum(["engine", "service"]),
    /** Ids of the models or services that this upstream serves. */
    serves: z.array(identifier).readonly(),
    /** Whether it rejects orders with an outdated fencing number. */
    fencesOrders: z.boolean().default(false),
    /** Number of requests that it runs concurrently. */
    slots: z.number().int().positive().default(16),
    /** Prompt tokens that it prefills per second. */
    prefillTokensPerSecond: positive.default(8000),
    leaving: z.boolean().default(false),
}).readonly();

const serviceSchema = z.strictObject({
    kind: z.literal("service"),
    id: identifier,
    owner: identifier,
    /** Calls that must not be retried, as "METHOD /path-prefix". */
    unrepeatableCalls: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, "expected \"METHOD /path\"")).readonly(),
}).readonly();

const policySchema = z.strictObject({
    kind: z.literal("policy"),
    id: z.literal("policy"),
    owner: identifier,
    preset: z.enum(["lectura", "compagnon"]),
    /** Upstreams that may load weights at the same time. */
    maxConcurrentLoads: z.number().int().positive(),
}).readonly();

/** Schema of one catalogue entry. */
export const catalogueEntrySchema = z.discriminatedUnion("kind", [
    customerSchema,
    modelSchema,
    upstreamSchema,
    serviceSchema,
    policySchema,
]);

/** Schema of one change to the catalogue. */
export const catalogueChangeSchema = z.strictObject({
    kind: z.literal("change"),
    /** Chosen by the operator's tool; a change with a known id has no further effect. */
    changeId: z.string().min(8).max(64),
    author: z.string().min(1).max(64),
    edits: z.array(
        z.strictObject({
            /** "kind/id" of the entry. */
            key: z.string().max(80),
            /** Revision of the entry that the edit was based on; 0 when there was none. */
            basedOn: z.number().int().min(0),
            /** The new entry; undefined removes it. */
            entry: catalogueEntrySchema.optional(),
        }).readonly(),
    ).min(1).max(5000).readonly(),
}).readonly();

/** Class of service of a customer. */
export type ClassOfService = z.infer<typeof classOfServiceSchema>;
/** Limits that an owner has accepted for a customer. */
export type CustomerLimits = z.infer<typeof limitsSchema>;
/** A caller that requests are accounted to. */
export type Customer = z.infer<typeof customerSchema>;
/** A model with the weights version that is in service. */
export type Model = z.infer<typeof modelSchema>;
/** A back end: a model engine or a plain service. */
export type Upstream = z.infer<typeof upstreamSchema>;
/** A plain service. */
export type Service = z.infer<typeof serviceSchema>;
/** Settings of the fleet. */
export type Policy = z.infer<typeof policySchema>;
/** One catalogue entry. */
export type CatalogueEntry = z.infer<typeof catalogueEntrySchema>;
/** One change to the catalogue. */
export type CatalogueChange = z.infer<typeof catalogueChangeSchema>;
