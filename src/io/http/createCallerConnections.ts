/**
 * @module
 * The open connections of callers. When there are nearly as many as allowed, those that have been idle longest are closed.
 */
import type { Socket } from "node:net";
import type { Clock } from "../../core/time/clock.js";
import { readArrived } from "../_lib/readArrived.js";

/** The connections. */
export interface CallerConnections {
    readonly count: () => number;
    /** When a connection became idle, in milliseconds on the clock; undefined if it has a request or had none yet. */
    readonly idleSinceMs: (socket: Socket) => number | undefined;
    /** Adds a connection that was accepted, and forgets it when it has closed. */
    readonly add: (socket: Socket) => void;
    /**
     * Records that a request began.
     *
     * @returns Whether it can still be answered: false on a connection that is being closed.
     */
    readonly beginRequest: (socket: Socket) => boolean;
    /**
     * Closes a connection on which something other than a request arrived, once the requests in progress are over.
     *
     * @returns Whether there are any.
     */
    readonly closeAfterRequests: (socket: Socket) => boolean;
    /** Records that a request is over. */
    readonly endRequest: (socket: Socket) => void;
    /** Closes a connection once what was written has reached the caller, and reads on until the caller has closed it too. */
    readonly close: (socket: Socket) => void;
    /** Closes all connections: at once those without requests in progress, the others after their last answer. */
    readonly end: () => void;
    /** Closes all connections at once. */
    readonly destroy: () => void;
}

/** Share of the maximum at which idle connections are closed. */
const crowdedShare = 0.75;

/**
 * Time for which a connection that is being closed is still read, in milliseconds. Bytes that arrive on a connection that is not
 * read any more reset it, which can discard an answer that the caller has not read yet.
 */
const lingerMs = 2_000;

/**
 * Creates a set without connections.
 *
 * @param maxConnections - Number of connections beyond which the server accepts none.
 * @param clock - Dates idle connections, and ends those that their callers do not close.
 * @returns The set.
 * @example
 * const connections = createCallerConnections(1_800, clock);
 * server.on("connection", connections.add);
 */
export function createCallerConnections(
    maxConnections: number,
    clock: Pick<Clock, "now" | "after">,
): CallerConnections {
    const crowdedCount = Math.floor(maxConnections * crowdedShare);
    /** Open connections, with their requests in progress. */
    const requests = new Map<Socket, number>();
    /** Connections that had a request and have none in progress, with the time since when; the longest idle first. */
    const idle = new Map<Socket, number>();
    const closing = new WeakSet<Socket>();
    /** Connections that are closed when their requests are over. */
    const closedWhenIdle = new WeakSet<Socket>();

    function close(socket: Socket): void {
        if (closing.has(socket)) {
            return;
        }
        closing.add(socket);
        socket.end();
        socket.once("close", clock.after(lingerMs, () => socket.destroy()));
    }

    /** A connection is idle only if no request that has arrived on it is unread. */
    async function closeLongestIdle(): Promise<void> {
        await readArrived();
        const [socket] = idle.keys();
        if (socket !== undefined && requests.size > crowdedCount) {
            idle.delete(socket);
            socket.end();
        }
    }

    return {
        count: () => requests.size,
        idleSinceMs: socket => idle.get(socket),
        add: socket => {
            requests.set(socket, 0);
            // Each request that waits on the connection listens for its end; limitRequests bounds them.
            socket.setMaxListeners(0);
            // Node.js calls it after the last answer of a connection.
            socket.destroySoon = () => close(socket);
            socket.once("close", () => {
                requests.delete(socket);
                idle.delete(socket);
            });
            if (requests.size > crowdedCount) {
                void closeLongestIdle();
            }
        },
        beginRequest: socket => {
            idle.delete(socket);
            requests.set(socket, (requests.get(socket) ?? 0) + 1);
            return !socket.writableEnded;
        },
        closeAfterRequests: socket => {
            const hasRequests = (requests.get(socket) ?? 0) > 0;
            if (hasRequests) {
                closedWhenIdle.add(socket);
            }
            return hasRequests;
        },
        endRequest: socket => {
            const known = requests.get(socket);
            if (known === undefined) {
                return;
            }
            requests.set(socket, known - 1);
            if (known === 1 && closedWhenIdle.has(socket)) {
                close(socket);
            }
            if (known === 1) {
                idle.set(socket, clock.now());
            }
        },
        close,
        end: () => {
            for (const [socket, inProgress] of requests) {
                if (inProgress > 0) {
                    closedWhenIdle.add(socket);
                }
                else {
                    socket.end();
                }
            }
        },
        destroy: () => [...requests.keys()].forEach(socket => socket.destroy()),
    };
}
