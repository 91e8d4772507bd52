/**
 * @module
 * The open connections of callers. When there are nearly as many as allowed, those that have been idle longest are closed.
 */
import type { Socket } from "node:net";

/** The connections. */
export interface CallerConnections {
    readonly count: () => number;
    /** Adds a connection that was accepted, and forgets it when it has closed. */
    readonly add: (socket: Socket) => void;
    /**
     * Records that a request began.
     *
     * @returns Whether it can still be answered: false on a connection that is being closed.
     */
    readonly beginRequest: (socket: Socket) => boolean;
    /** Records that a request is over. */
    readonly endRequest: (socket: Socket) => void;
    /** Closes all connections once what was written has reached the callers. */
    readonly end: () => void;
    /** Closes all connections at once. */
    readonly destroy: () => void;
}

/** Share of the maximum at which idle connections are closed. */
const crowdedShare = 0.75;

/**
 * Creates a set without connections.
 *
 * @param maxConnections - Number of connections beyond which the server accepts none.
 * @returns The set.
 * @example
 * const connections = createCallerConnections(1_800);
 * server.on("connection", connections.add);
 */
export function createCallerConnections(maxConnections: number): CallerConnections {
    const crowdedCount = Math.floor(maxConnections * crowdedShare);
    /** Open connections, with their requests in progress. */
    const requests = new Map<Socket, number>();
    /** Connections that had a request and have none in progress, the longest idle first. */
    const idle = new Set<Socket>();

    function closeLongestIdle(): void {
        const [socket] = idle;
        if (socket !== undefined) {
            idle.delete(socket);
            socket.end();
        }
    }

    return {
        count: () => requests.size,
        add: socket => {
            requests.set(socket, 0);
            socket.once("close", () => {
                requests.delete(socket);
                idle.delete(socket);
            });
            if (requests.size > crowdedCount) {
                closeLongestIdle();
            }
        },
        beginRequest: socket => {
            idle.delete(socket);
            requests.set(socket, (requests.get(socket) ?? 0) + 1);
            return !socket.writableEnded;
        },
        endRequest: socket => {
            const known = requests.get(socket);
            if (known === undefined) {
                return;
            }
            requests.set(socket, known - 1);
            if (known === 1) {
                idle.add(socket);
            }
        },
        end: () => [...requests.keys()].forEach(socket => socket.end()),
        destroy: () => [...requests.keys()].forEach(socket => socket.destroy()),
    };
}
