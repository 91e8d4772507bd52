/**
 * @module
 * The tRPC router of an instance: calls of peers, and the operators' router beside them.
 */
import { z } from "zod";
import type { CatalogueSnapshot } from "../../core/catalogue/snapshot.js";
import type { Member } from "../../core/membership/memberTypes.js";
import { createOperatorRouter, type OperatorService } from "../operator/operatorRouter.js";
import { requireCaller, trpc } from "./trpcBase.js";

/** What a peer takes in one exchange. */
export interface PeerExchange {
    readonly catalogue: CatalogueSnapshot;
    readonly members: readonly Member[];
}

/** What the instance answers to peers. */
export interface PeerService {
    readonly exchange: (from: Member) => PeerExchange;
}

const memberSchema = z.object({
    instance: z.string(),
    incarnation: z.number(),
    state: z.enum(["alive", "suspect", "leaving", "dead"]),
    failureDomain: z.string(),
    callerAddress: z.string(),
    peerAddress: z.string(),
});

/**
 * Creates the router.
 *
 * @param service - Answers peers.
 * @param operatorService - Answers operators.
 * @returns The router.
 */
export function createPeerRouter(service: PeerService, operatorService: OperatorService) {
    const peerProcedure = requireCaller("peer");
    return trpc.router({
        peer: trpc.router({
            exchange: peerProcedure.input(memberSchema).mutation(({ input }) => service.exchange(input)),
        }),
        operator: createOperatorRouter(operatorService),
    });
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
