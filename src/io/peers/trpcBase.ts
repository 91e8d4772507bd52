/**
 * @module
 * Base of the tRPC routers: authentication of the caller by one of the two shared secrets.
 */
import { initTRPC, TRPCError } from "@trpc/server";

/** The caller as authenticated by its shared secret. */
export interface PeerContext {
    readonly caller: "peer" | "operator" | "unauthenticated";
}

/** Builder of the tRPC routers. */
export const trpc = initTRPC.context<PeerContext>().create();

/**
 * Creates a procedure that is restricted to one kind of caller.
 *
 * @param caller - The kind of caller that may use it.
 * @returns The procedure.
 */
export function requireCaller(caller: "peer" | "operator") {
    return trpc.procedure.use(({ ctx, next }) => {
        if (ctx.caller !== caller) {
            throw new TRPCError({ code: "FORBIDDEN", message: "the shared secret is wrong" });
        }
        return next();
    });
}
