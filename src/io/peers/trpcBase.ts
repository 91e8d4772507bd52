/**
 * @module
 * Ground of the tRPC routers: who calls, as proved by one of the two shared secrets.
 */
import { initTRPC, TRPCError } from "@trpc/server";

/** Who calls, as proved by the secret. */
export interface PeerContext {
    readonly caller: "peer" | "operator" | "stranger";
}

/** Builder of the routers. */
export const trpc = initTRPC.context<PeerContext>().create();

/**
 * Creates a procedure that only one kind of caller may use.
 *
 * @param caller - Who may use it.
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
