/**
 * @module
 * The open connections of callers. When there are nearly as many as allowed, those that have been idle longest are closed, and
 * if none is idle, those that make the least progress.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { chooseLeastProgress } from "../../core/admission/chooseLeastProgress.js";
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
     * @param res - The request's response; a connection counts as receiving until the request is complete.
     * @returns Whether it can still be answered: false on a connection that is being closed.
     */
    readonly beginRequest: (socket: Socket, res?: ServerResponse) => boolean;
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

/** Why a connection is closed to make room for new ones. */
export type EvictionReason = "receiving" | "unread" | "unparsed" | "pipelined" | "body";

/** Options of {@link createCallerConnections}. */
export interface CallerConnectionsOptions {
    /** Closes a connection that makes the least progress; by default it is destroyed. */
    readonly evict?: (socket: Socket, reason: EvictionReason) => void;
}

/** An open connection. */
interface Connection {
    inProgress: number;
    /** Its last response; undefined before the first request. */
    last: ServerResponse | undefined;
    /** When it was opened, or its last request before the one that is received was over, in milliseconds on the clock. */
    sinceMs: number;
    /** Bytes that had been read by then. */
    bytesBefore: number;
}

/** Share of the maximum at which connections are closed. */
const crowdedShare = 0.75;

/** Share of the maximum at which those that are being closed are no longer waited for. */
const fullShare = 0.875;

/** Whether no complete request is in progress on a connection. */
function isReceiving({ last, inProgress }: Connection): boolean {
    return inProgress === 0 || last?.req.complete === false;
}

/** Whether a connection has an answer that was made and is not read. */
function isUnread({ last, inProgress }: Connection): boolean {
    return inProgress > 0 && last?.writableEnded === true;
}

/**
 * Time for which a connection that is being closed is still read, in milliseconds. Bytes that arrive on a connection that is not
 * read any more reset it, which can discard an answer that the caller has not read yet.
 */
const lingerMs = 2_000;

/**
 * Creates a set without connections.
 *
 * @param maxConnections - Number of connections beyond which the server accepts none.
 * @param clock - Dates connections, and ends those that their callers do not close.
 * @param options - How a connection is closed to make room.
 * @returns The set.
 * @example
 * const connections = createCallerConnections(1_800, clock);
 * server.on("connection", connections.add);
 */
export function createCallerConnections(
    maxConnections: number,
    clock: Pick<Clock, "now" | "after">,
    options: CallerConnectionsOptions = {},
): CallerConnections {
    const { evict = socket => void socket.destroy() } = options;
    const crowdedCount = Math.floor(maxConnections * crowdedShare);
    const fullCount = Math.floor(maxConnections * fullShare);
    /** Open connections, the oldest first. */
    const open = new Map<Socket, Connection>();
    /** Connections that had a request and have none in progress, with the time since when; the longest idle first. */
    const idle = new Map<Socket, number>();
    /** Connections that are being closed, the earliest first. */
    const closing = new Set<Socket>();
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

    function isOpen([socket]: readonly [Socket, Connection]): boolean {
        return !closing.has(socket) && !socket.destroyed;
    }

    /** Closes the connection that makes the least progress; one whose request runs stays. */
    function closeLeastProgress(): void {
        const connections = [...open].filter(isOpen);
        const receiving = connections.filter(([, connection]) => isReceiving(connection));
        const reason = receiving.length > 0 ? "receiving" : "unread";
        const candidates = receiving.length > 0 ? receiving : connections.filter(([, one]) => isUnread(one));
        const readProgress = ([socket, { sinceMs, bytesBefore }]: (typeof candidates)[number]) => ({
            sinceMs,
            bytes: reason === "receiving" ? socket.bytesRead - bytesBefore : 0,
        });
        const [socket] = chooseLeastProgress(candidates, readProgress, clock.now()) ?? [];
        if (socket !== undefined) {
            evict(socket, reason);
        }
    }

    /** A connection is idle only if no request that has arrived on it is unread. */
    async function makeRoom(): Promise<void> {
        await readArrived();
        if (open.size > fullCount) {
            const [earliest] = closing;
            earliest?.destroy();
        }
        const [longestIdle] = idle.keys();
        if (open.size <= crowdedCount) {
            return;
        }
        if (longestIdle !== undefined) {
            idle.delete(longestIdle);
            close(longestIdle);
            return;
        }
        closeLeastProgress();
    }

    return {
        count: () => open.size,
        idleSinceMs: socket => idle.get(socket),
        add: socket => {
            open.set(socket, { inProgress: 0, last: undefined, sinceMs: clock.now(), bytesBefore: 0 });
            // Each request that waits on the connection listens for its end; limitRequests bounds them.
            socket.setMaxListeners(0);
            // Node.js calls it after the last answer of a connection.
            socket.destroySoon = () => close(socket);
            socket.once("close", () => {
                open.delete(socket);
                idle.delete(socket);
                closing.delete(socket);
            });
            if (open.size > crowdedCount) {
                void makeRoom();
            }
        },
        beginRequest: (socket, res) => {
            idle.delete(socket);
            const connection = open.get(socket);
            if (connection !== undefined) {
                connection.inProgress += 1;
                connection.last = res;
            }
            return !socket.writableEnded;
        },
        closeAfterRequests: socket => {
            const hasRequests = (open.get(socket)?.inProgress ?? 0) > 0;
            if (hasRequests) {
                closedWhenIdle.add(socket);
            }
            return hasRequests;
        },
        endRequest: socket => {
            const connection = open.get(socket);
            if (connection === undefined) {
                return;
            }
            connection.inProgress -= 1;
            connection.sinceMs = clock.now();
            connection.bytesBefore = socket.bytesRead;
            if (connection.inProgress > 0) {
                return;
            }
            if (closedWhenIdle.has(socket)) {
                close(socket);
            }
            idle.set(socket, clock.now());
        },
        close,
        end: () => {
            for (const [socket, { inProgress }] of open) {
                if (inProgress > 0) {
                    closedWhenIdle.add(socket);
                }
                else {
                    socket.end();
                }
            }
        },
        destroy: () => [...open.keys()].forEach(socket => socket.destroy()),
    };
}
