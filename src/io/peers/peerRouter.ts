/**
 * @module
 * The tRPC router of an instance: procedures for peers, limits and operators.
 */
import * as z from "zod";
import { maxHintPayloadBytes } from "../../core/cache/createHintExchange.js";
import type { CatalogueSnapshot } from "../../core/catalogue/snapshot.js";
import type { RestartStatePart } from "../../core/lifecycle/restartState.js";
import { maxAttachmentBytes } from "../../core/membership/createAttachmentExchange.js";
import type { Member } from "../../core/membership/memberTypes.js";
import type { ProbeAnswer, ProbeRequest, RelayAnswer, RelayRequest } from "../../core/membership/peerMessages.js";
import { createLimitsRouter, type LimitsService } from "../limits/limitsRouter.js";
import { createOperatorRouter, type OperatorService } from "../operator/operatorRouter.js";
import { requireCaller, trpc } from "./trpcBase.js";

/** State that a restarted instance reads from a peer in one call. */
export interface RestartState {
    /** Undefined when the peer has none yet. */
    readonly catalogue?: CatalogueSnapshot | undefined;
    readonly members: readonly Member[];
    readonly parts: readonly RestartStatePart[];
}

/** Handlers of the calls of peers. */
export interface PeerService {
    readonly probe: (req: ProbeRequest) => ProbeAnswer;
    readonly relay: (req: RelayRequest) => Promise<RelayAnswer>;
    readonly listMembers: () => readonly Member[];
    readonly exchange: () => RestartState;
    /** Applies cache hints of a peer. */
    readonly applyHints: (payload: string) => void;
    readonly limits: LimitsService;
}

const maxMessageUpdates = 32;
const maxNameLength = 64;
const name = z.string().max(maxNameLength);

const memberSchema = z.object({
    instance: name,
    incarnation: z.number().int().min(0),
    state: z.enum(["alive", "suspect", "leaving", "dead"]),
    failureDomain: name,
    callerAddress: name,
    peerAddress: name,
});

const probeSchema = z.object({
    from: memberSchema,
    viewHash: name,
    updates: z.array(memberSchema).max(maxMessageUpdates).readonly(),
    attachments: z.array(z.object({ name, payload: z.string().max(maxAttachmentBytes) })).max(maxMessageUpdates)
        .readonly(),
});

const hintsSchema = z.object({ payload: z.string().max(maxHintPayloadBytes) });

const relaySchema = z.object({ target: memberSchema });

/**
 * Creates the router.
 *
 * @param service - Handlers of the calls of peers.
 * @param operatorService - Handlers of the calls of operators.
 * @returns The router.
 */
export function createPeerRouter(service: PeerService, operatorService: OperatorService) {
    const peerProcedure = requireCaller("peer");
    return trpc.router({
        peer: trpc.router({
            probe: peerProcedure.input(probeSchema).mutation(({ input }) => service.probe(input)),
            relay: peerProcedure.input(relaySchema).mutation(({ input }) => service.relay(input)),
            members: peerProcedure.query(() => service.listMembers()),
            exchange: peerProcedure.query(() => service.exchange()),
            noteHints: peerProcedure.input(hintsSchema).mutation(({ input }) => service.applyHints(input.payload)),
        }),
        limits: createLimitsRouter(service.limits),
        operator: createOperatorRouter(operatorService),
    });
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
