/**
 * @module
 * The calls between instances that lend quota, hand shards over and report use.
 */
import * as z from "zod";
import type { ShardOwner } from "../../core/limits/createShardHoldings.js";
import type { ShardHandover, ShardTransfer, StandbyClock } from "../../core/limits/createShardStandby.js";
import type { QuotaUse } from "../../core/limits/quotaTypes.js";
import { requireCaller, trpc } from "../peers/trpcBase.js";

/** What the instance answers about limits. */
export interface LimitsService {
    /** Answers an encoded borrow request; undefined when it is malformed or out of order. */
    readonly borrow: (payload: string) => string | undefined;
    readonly listUse: () => readonly QuotaUse[];
    /** Reads the clock that the times of a handover refer to; undefined before the limits have started. */
    readonly readStandbyClock: () => StandbyClock | undefined;
    /** Accepts the shards of an instance that shuts down; false when they must not be used here. */
    readonly acceptShards: (handover: ShardHandover) => boolean;
    /** Returns the shards that are held for an instance; undefined before the limits have started. */
    readonly returnShards: (claimant: ShardOwner) => readonly ShardTransfer[] | undefined;
}

const identitySchema = z.string().min(1).max(64);
const ownerSchema = z.strictObject({ instance: identitySchema, incarnation: identitySchema });

/** Maximum number of shards in one handover: all shards of 500 customers. */
const maxHandoverShards = 4_000;

const handoverSchema = z.strictObject({
    receiverClock: z.strictObject({ incarnation: identitySchema, nowMs: z.number() }),
    owner: ownerSchema,
    seats: z.array(z.strictObject({
        seat: z.string().max(80),
        revision: z.number().int().min(1),
        restMs: z.number().min(0),
        loansRestMs: z.number().min(0),
        flightsRestMs: z.number().min(0),
    })).max(maxHandoverShards),
});

/** Maximum length of an encoded borrow request, in characters. */
const maxRequestCharacters = 8_192;

/**
 * Creates the router.
 *
 * @param service - Answers peers.
 * @returns The router.
 */
export function createLimitsRouter(service: LimitsService) {
    const peerProcedure = requireCaller("peer");
    return trpc.router({
        borrow: peerProcedure.input(z.string().max(maxRequestCharacters))
            .mutation(({ input }) => service.borrow(input)),
        custodyClock: peerProcedure.query(() => service.readStandbyClock()),
        takeSeats: peerProcedure.input(handoverSchema).mutation(({ input }) => service.acceptShards(input)),
        returnSeats: peerProcedure.input(ownerSchema).mutation(({ input }) => service.returnShards(input)),
        use: peerProcedure.query(() => service.listUse()),
    });
}
