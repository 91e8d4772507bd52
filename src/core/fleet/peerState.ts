/**
 * @module
 * State that an instance sends to a peer that cannot read the platform's store: the configuration, the upstreams and
 * the target weights, with their versions and age.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";
import { addressSchema } from "../addresses/addressSchema.js";

const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    kind: z.enum(["idempotent", "nonIdempotent", "stream"]),
    timeoutMs: z.number(),
    targetLatencyMs: z.number(),
    longestPauseMs: z.number().optional(),
    attempts: z.number(),
    priority: z.number(),
    shares: z.array(z.object({ service: z.string(), weight: z.number() })),
    isOpen: z.boolean(),
    isResumable: z.boolean(),
});

const serviceSchema = z.object({
    name: z.string(),
    maxConnections: z.number(),
    engine: z.object({
        slots: z.number(),
        memoryTokens: z.number(),
        models: z.array(z.string()),
        maxReaders: z.number(),
    }).optional(),
    cacheStore: z.object({ address: addressSchema, failureDomain: z.string(), maxReaders: z.number() }).optional(),
});

const quotaSchema = z.object({
    unit: z.enum(["requests", "tokens"]),
    ratePerSecond: z.number(),
    burst: z.number(),
    plainTokens: z.number(),
});

const tableSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(
        serviceSchema.transform(service => ({ ...service, engine: service.engine, cacheStore: service.cacheStore })),
    ),
    customers: z.array(
        z.object({
            name: z.string(),
            keys: z.array(z.string()),
            priority: z.number().optional(),
            isIsolated: z.boolean(),
            quota: quotaSchema.optional(),
        }).transform(customer => ({ ...customer, priority: customer.priority, quota: customer.quota })),
    ),
    limits: z.object({
        maxHeaderBytes: z.number(),
        maxBodyBytes: z.number(),
        headerTimeoutMs: z.number(),
        idleTimeoutMs: z.number(),
    }),
});

const upstreamSchema = z.object({
    id: z.string(),
    service: z.string(),
    address: addressSchema,
    failureDomain: z.string(),
    isDraining: z.boolean(),
    slots: z.number(),
    startedAtMs: z.number(),
    weights: z.array(z.object({ model: z.string(), version: z.number() })),
    acceptedOrders: z.number(),
});

const peerStateSchema = z.object({
    /** Omitted when the requesting instance has this version or a newer one. */
    table: tableSchema.optional(),
    /** Omitted when the requesting instance has the same list. */
    upstreams: z.array(upstreamSchema).optional(),
    /** Milliseconds since the sender last read the list of upstreams. */
    upstreamsAgeMs: z.number().min(0),
    /** Milliseconds since the operator's records were read. */
    operatorAgeMs: z.number().min(0),
    /** Era of the store in which they were read. */
    storeEra: z.number().int().min(0),
    /** Target weights of each model. */
    named: z.array(z.object({ model: z.string(), version: z.number(), ageMs: z.number().min(0).optional() })),
}).readonly();

/** State of a peer. */
export type PeerState = z.infer<typeof peerStateSchema>;

/**
 * Parses a state.
 *
 * @param text - The state as JSON text.
 * @returns The state; undefined when it is malformed.
 * @example
 * parsePeerState("{}"); // undefined
 */
export function parsePeerState(text: string): PeerState | undefined {
    return parseJson(peerStateSchema, text);
}
