/**
 * @module
 * The message by which instances tell each other that they run and what they know.
 */
import { z } from "zod";
import { parseJson } from "../_lib/parseJson.js";

const instanceSchema = z.object({
    name: z.string().min(1).max(128),
    /** Unix milliseconds of the process's start; a higher value is a newer life of the instance. */
    startedAtMs: z.number().int(),
    failureDomain: z.string().max(128),
    /** "ip:port" for callers. */
    callerAddress: z.string().max(64),
    /** "ip:port" for requests of peers. */
    peerAddress: z.string().max(64),
    /** "ip:port" for heartbeats. */
    heartbeatAddress: z.string().max(64),
    state: z.enum(["starting", "serving", "leaving"]),
}).readonly();

/** One instance, as it tells of itself. */
export type FleetInstance = z.infer<typeof instanceSchema>;

const knownInstanceSchema = z.object({
    instance: instanceSchema,
    /** Milliseconds since the sender heard of it. */
    ageMs: z.number().min(0),
}).readonly();

const upstreamUseSchema = z.object({
    upstream: z.string(),
    requests: z.number().min(0),
    memoryTokens: z.number(),
    unreadTokens: z.number(),
}).readonly();

const loadedSchema = z.object({
    engine: z.string(),
    model: z.string(),
    version: z.number().int(),
}).readonly();

const heartbeatSchema = z.object({
    from: instanceSchema,
    /** Version of the configuration in force; 0 when there is none. */
    tableVersion: z.number(),
    /** Milliseconds since the sender last read the platform's store. */
    storeAgeMs: z.number().min(0),
    /** Versions that were named, with their age where an instance saw them being named. */
    named: z.array(
        z.object({ model: z.string(), version: z.number().int(), ageMs: z.number().min(0).optional() }).readonly(),
    ).readonly(),
    uses: z.array(upstreamUseSchema).readonly(),
    /** Engines that the sender has ordered to load weights. */
    loading: z.array(z.string()).readonly(),
    /** Weights that engines were seen to have a short time ago. */
    loaded: z.array(loadedSchema).readonly(),
    /** Offset of the rollout lease that the sender holds. */
    leaseOffset: z.number().int().optional(),
    known: z.array(knownInstanceSchema).readonly(),
}).readonly();

/** One heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/**
 * Parses a heartbeat.
 *
 * @param text - The message.
 * @returns The heartbeat; undefined when it is malformed.
 * @example
 * parseHeartbeat("{}"); // undefined
 */
export function parseHeartbeat(text: string): Heartbeat | undefined {
    return parseJson(heartbeatSchema, text);
}
