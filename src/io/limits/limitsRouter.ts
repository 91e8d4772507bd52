/**
 * @module
 * The calls between instances that lend shares of limits and tell their use.
 */
import { z } from "zod";
import type { ShareUse } from "../../core/limits/shareTypes.js";
import { requireCaller, trpc } from "../peers/trpcBase.js";

/** What the instance answers about limits. */
export interface LimitsService {
    /** Answers an encoded request for loans; undefined when it is malformed or out of order. */
    readonly borrow: (payload: string) => string | undefined;
    readonly listUse: () => readonly ShareUse[];
}

/** Longest encoded request for loans, in characters. */
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
        use: peerProcedure.query(() => service.listUse()),
    });
}
