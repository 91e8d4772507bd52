/**
 * @module
 * Knows the responses of each connection of a server that are not over.
 */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The responses of a server's connections. A request that is still received counts for nothing here. */
export interface TrackedResponses {
    /** Whether requests of a connection run, that is, are complete and have no complete answer yet. */
    readonly hasRunning: (socket: Socket) => boolean;
    /** Whether requests of a connection run, or their answers are not written out. */
    readonly hasUnfinished: (socket: Socket) => boolean;
}

/**
 * Follows the requests of a server. It has to be called before other listeners of its requests are added.
 *
 * @param server - The server, without connections.
 * @returns Its responses.
 * @example
 * const responses = trackResponses(server);
 * responses.hasRunning(socket); // false when all its answers only wait to be read
 */
export function trackResponses(server: Server): TrackedResponses {
    const responses = new WeakMap<Socket, Set<ServerResponse>>();
    server.on("request", ({ socket }, res: ServerResponse) => {
        const own = responses.get(socket) ?? new Set();
        responses.set(socket, own.add(res));
        res.once("close", () => own.delete(res));
    });
    function has(socket: Socket, matches: (res: ServerResponse) => boolean): boolean {
        for (const res of responses.get(socket) ?? []) {
            if (res.req.complete && matches(res)) {
                return true;
            }
        }
        return false;
    }

    return {
        hasRunning: socket => has(socket, ({ writableEnded }) => !writableEnded),
        hasUnfinished: socket => has(socket, () => true),
    };
}
