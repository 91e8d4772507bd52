/**
 * @module
 * Closes callers' connections that have been idle for longer than the configuration in force allows.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../core/time/clock.js";
import { readArrived } from "../_lib/readArrived.js";
import type { CallerConnections } from "./createCallerConnections.js";

/** Options of {@link closeExpiredConnections}. */
export interface ExpiryOptions {
    readonly clock: Pick<Clock, "now">;
    /** Time for which a connection may be idle now, in milliseconds. */
    readonly maxIdleMs: () => number;
}

/**
 * Closes each connection whose idle timeout has passed, unless a request has arrived on it. The timeout of a connection that
 * became idle under another configuration runs on by the one in force.
 *
 * @param server - The server; its own timeout of idle connections is left to this function.
 * @param connections - Its connections.
 * @param options - The clock and the idle timeout.
 */
export function closeExpiredConnections(
    server: Server,
    connections: Pick<CallerConnections, "idleSinceMs" | "close">,
    { clock, maxIdleMs }: ExpiryOptions,
): void {
    async function expire(socket: Socket): Promise<void> {
        await readArrived();
        const sinceMs = connections.idleSinceMs(socket);
        if (sinceMs === undefined) {
            return;
        }
        const leftMs = sinceMs + maxIdleMs() - clock.now();
        if (leftMs > 0) {
            socket.setTimeout(Math.ceil(leftMs));
            return;
        }
        connections.close(socket);
    }

    // Node.js destroys a connection at its timeout only if nothing listens to this event.
    server.on("timeout", socket => void expire(socket));
}
