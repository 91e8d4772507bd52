/**
 * @module
 * Knows the responses of each connection of a server that are not over.
 */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Follows the requests of a server. It has to be called before other listeners of its requests are added.
 *
 * @param server - The server, without connections.
 * @returns Whether requests of a connection run, that is, have no complete answer yet.
 * @example
 * const hasRunning = trackResponses(server);
 * hasRunning(socket); // false when all its answers only wait to be read
 */
export function trackResponses(server: Server): (socket: Socket) => boolean {
    const responses = new WeakMap<Socket, Set<ServerResponse>>();
    server.on("request", ({ socket }, res: ServerResponse) => {
        const own = responses.get(socket) ?? new Set();
        responses.set(socket, own.add(res));
        res.once("close", () => own.delete(res));
    });
    return socket => {
        for (const { writableEnded } of responses.get(socket) ?? []) {
            if (!writableEnded) {
                return true;
            }
        }
        return false;
    };
}
