/**
 * @module
 * tRPC client of a peer, used by daemons and by reedwardctl.
 */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { Agent, type Dispatcher } from "undici";
import { collectAnswer } from "../_lib/collectAnswer.js";
import { createBoundedConnector } from "../_lib/createBoundedConnector.js";
import type { PeerRouter } from "./peerRouter.js";

/** A typed client of one peer. */
export type PeerClient = TRPCClient<PeerRouter>;

/** Creates clients that share one connection pool. */
export interface PeerClients {
    /** Returns the client of the peer at "ip:port". */
    readonly connect: (address: string) => PeerClient;
    readonly close: () => Promise<void>;
}

interface CallInit {
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Maximum size of a peer's response. */
const maxAnswerBytes = 32 << 20;

/**
 * Creates the pool of clients.
 *
 * @param secret - The peer secret, or the operator secret for reedwardctl.
 * @param timeoutMs - Timeout of a call, in milliseconds.
 * @returns The pool.
 */
export function createPeerClients(secret: string, timeoutMs: number): PeerClients {
    const agent = new Agent({ connect: createBoundedConnector({ timeout: timeoutMs }), connections: 2 });
    const clients = new Map<string, PeerClient>();

    /** Sends a call without the headers that a browser's fetch adds: they would double the size of a probe. */
    async function send(url: string, init: CallInit): Promise<{ readonly json: () => Promise<unknown>; }> {
        const { origin, pathname, search } = new URL(url);
        const req: Dispatcher.DispatchOptions = {
            origin,
            path: `${pathname}${search}`,
            method: (init.method ?? "GET") as Dispatcher.HttpMethod,
            headers: init.headers ?? {},
            body: init.body,
        };
        const signal = AbortSignal.timeout(timeoutMs);
        const { body } = await collectAnswer(agent, req, { signal, maxBodyBytes: maxAnswerBytes });
        return { json: () => Promise.resolve(JSON.parse(body.toString()) as unknown) };
    }

    function connect(address: string): PeerClient {
        const known = clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const link = httpLink({
            url: `http://${address}`,
            headers: { authorization: `Bearer ${secret}` },
            fetch: send as unknown as typeof globalThis.fetch,
        });
        const client = createTRPCClient<PeerRouter>({ links: [link] });
        clients.set(address, client);
        return client;
    }

    return { connect, close: () => agent.destroy() };
}
