/**
 * @module
 * tRPC client of a peer, used by daemons and by reedwardctl.
 */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { Agent, fetch } from "undici";
import type { PeerRouter } from "./peerRouter.js";

/** A typed client of one peer. */
export type PeerClient = TRPCClient<PeerRouter>;

/** Creates clients that share one connection pool. */
export interface PeerClients {
    /** Client of the peer at "ip:port". */
    readonly connect: (address: string) => PeerClient;
    readonly close: () => Promise<void>;
}

/**
 * Creates the pool of clients.
 *
 * @param secret - The peer secret, or the operator secret for reedwardctl.
 * @param timeoutMs - Time limit of a call, in milliseconds.
 * @returns The pool.
 */
export function createPeerClients(secret: string, timeoutMs: number): PeerClients {
    const agent = new Agent({ connect: { timeout: timeoutMs }, connections: 2 });
    const clients = new Map<string, PeerClient>();
    const limitedFetch: typeof fetch = (input, init) =>
        fetch(input, { ...init, dispatcher: agent, signal: AbortSignal.timeout(timeoutMs) });

    function connect(address: string): PeerClient {
        const known = clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const link = httpLink({
            url: `http://${address}`,
            headers: { authorization: `Bearer ${secret}` },
            fetch: limitedFetch as unknown as typeof globalThis.fetch,
        });
        const client = createTRPCClient<PeerRouter>({ links: [link] });
        clients.set(address, client);
        return client;
    }

    return { connect, close: () => agent.destroy() };
}
