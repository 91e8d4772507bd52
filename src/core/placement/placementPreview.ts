/**
 * @module
 * What would happen to a request now: the messages between an operator and an instance.
 */
import * as z from "zod";

/** Most prompt parts of a described request. */
const maxParts = 256;

/** Schema of a request that is described, not sent. */
export const requestDescriptionSchema = z.object({
    host: z.string().min(1),
    /** Path and query. */
    target: z.string().startsWith("/"),
    /** Name of the customer; left out for routes without one. */
    customer: z.string().optional(),
    /** Model; left out for a plain service. */
    model: z.string().optional(),
    /** Parts of the prompt, in order. */
    parts: z.array(z.object({ id: z.string().min(1), tokens: z.number().int().min(0) }).readonly()).max(maxParts)
        .readonly(),
    /** Expected number of generated tokens. */
    outputTokens: z.number().int().min(0),
}).readonly();

/** A request that is described, not sent. */
export type RequestDescription = z.infer<typeof requestDescriptionSchema>;

const previewedUpstreamSchema = z.object({
    upstream: z.string(),
    failureDomain: z.string(),
    /** `chosen`, `free`, `notDrawn` (free, and not considered first), `full`, or why it takes no request. */
    state: z.string(),
    /** Requests in progress, as known to the instance. */
    requests: z.number(),
    slots: z.number(),
    /** Prompt tokens that it has cached. */
    heldTokens: z.number(),
    /** Prompt tokens that it would fetch. */
    fetchedTokens: z.number(),
    /** Estimated cost in prompt tokens; left out for an upstream that takes no request. */
    cost: z.number().optional(),
}).readonly();

/** Schema of a preview. */
export const placementPreviewSchema = z.object({
    instance: z.string(),
    route: z.string(),
    service: z.string(),
    /** Version of the configuration. */
    tableVersion: z.number(),
    decision: z.enum(["placed", "waits", "refused"]),
    /** Why, in a sentence. */
    detail: z.string(),
    /** Requests of all services that wait for an upstream at the instance. */
    waiting: z.number(),
    /** Upstreams of the service, the cheapest first. */
    upstreams: z.array(previewedUpstreamSchema).readonly(),
}).readonly();

/** One upstream of a preview. */
export type PreviewedUpstream = z.infer<typeof previewedUpstreamSchema>;

/** What would happen to a request now. */
export type PlacementPreview = z.infer<typeof placementPreviewSchema>;
