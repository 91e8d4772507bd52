/**
 * @module
 * Heartbeats: the messages in which instances report that they run, and their view of the fleet.
 */
import * as z from "zod";
import { addressSchema } from "../addresses/addressSchema.js";
import { maxStoreIdLength, maxStores } from "../homes/createStoreReach.js";

const instanceSchema = z.object({
    name: z.string().min(1).max(128),
    /** Start of the process in Unix milliseconds; a higher value is a newer incarnation of the instance. */
    startedAtMs: z.number().int(),
    failureDomain: z.string().max(128),
    /** Address for callers, as "ip:port". */
    callerAddress: addressSchema,
    /** Address for requests of peers, as "ip:port". */
    peerAddress: addressSchema,
    /** Address for heartbeats, as "ip:port". */
    heartbeatAddress: addressSchema,
    state: z.enum(["starting", "serving", "leaving"]),
}).readonly();

/** One instance, as it describes itself. */
export type FleetInstance = z.infer<typeof instanceSchema>;

const knownInstanceSchema = z.object({
    instance: instanceSchema,
    /** Milliseconds since the sender last received a sign of it, directly or through others. */
    ageMs: z.number().min(0),
}).readonly();

const upstreamUseSchema = z.object({
    upstream: z.string(),
    requests: z.number().min(0),
    memoryTokens: z.number(),
    /** Prompt tokens that are not prefilled yet. */
    unreadTokens: z.number(),
}).readonly();

/** Longest text of ages: entries of some thousand instances. */
const maxAgesLength = 32_768;

/** Longest text of relayed loads. */
const maxLoadsLength = 4_096;

/** Longest digest of a quarantine or of signals: a hash of 64 bits. */
const maxDigestLength = 16;

/** Most ids in a heartbeat that asks for descriptions. */
const maxWanted = 64;

const loadedSchema = z.object({
    engine: z.string(),
    model: z.string(),
    version: z.number().int(),
}).readonly();

/** Schema of a heartbeat. */
export const heartbeatSchema = z.object({
    from: instanceSchema,
    /** Version of the configuration in force; 0 when there is none. */
    tableVersion: z.number(),
    /** Milliseconds since the sender last read the platform's store. */
    storeAgeMs: z.number().min(0),
    /** Target weights of each model, with the age of the target where an instance observed the change. */
    named: z.array(
        z.object({ model: z.string(), version: z.number().int(), ageMs: z.number().min(0).optional() }).readonly(),
    ).readonly(),
    /** The sender's use of each upstream. */
    uses: z.array(upstreamUseSchema).readonly(),
    /** Engines that load weights on the sender's order. */
    loading: z.array(z.string()).readonly(),
    /** Weights that engines were recently observed to have. */
    loaded: z.array(loadedSchema).readonly(),
    /** Offset of the rollout lease that the sender holds. */
    leaseOffset: z.number().int().optional(),
    /** Era of the store in which the sender claimed it; builds before the store had eras leave it out. */
    leaseEra: z.number().int().min(0).optional(),
    /** What the sender knows of the lease's topic; left out while claims may be missing from it, and by older builds. */
    leaseSeen: z.object({
        era: z.number().int().min(0),
        end: z.number().int().min(0),
        ageMs: z.number().min(0),
    }).readonly().optional(),
    /** A claim of the rollout lease under which the sender gives no more orders; left out by older builds. */
    leaseReleased: z.object({
        era: z.number().int().min(0),
        offset: z.number().int().min(0),
        ageMs: z.number().min(0),
    }).readonly().optional(),
    /** Digest of the sender's quarantine of prompt parts; left out while it is empty. */
    quarantine: z.string().max(maxDigestLength).optional(),
    /** Digest of what the sender knows of upstreams' signals; left out while that is nothing. */
    signals: z.string().max(maxDigestLength).optional(),
    /** Cache stores that answered an instance lately, in a large fleet; left out by older builds, and bounded by the receiver. */
    stores: z.array(
        z.object({ id: z.string().max(maxStoreIdLength), ageMs: z.number().min(0) }).readonly(),
    ).transform(stores => stores.slice(0, maxStores)).readonly().optional(),
    /** Instances that changed lately. */
    known: z.array(knownInstanceSchema).readonly(),
    /** When live instances were last seen, as `encodeMemberAges` writes it; older builds leave it out. */
    ages: z.string().max(maxAgesLength).default(""),
    /** What upstreams stated about their load lately, as `encodeLoads` writes it; left out in a small fleet. */
    loads: z.string().max(maxLoadsLength).optional(),
    /** Ids of instances that the receiver is asked to describe; sent to one instance. */
    wanted: z.array(z.number().int()).max(maxWanted).readonly().optional(),
    /** Whether this is the answer to a heartbeat that asked for descriptions. */
    isAnswer: z.boolean().optional(),
}).readonly();

/** One heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
