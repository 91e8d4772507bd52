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
import { readUnsentBytes } from "../_lib/readUnsentBytes.js";

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
    /** What of its last answer was not sent when that was looked at, and since when nothing was sent. */
    unread: { readonly bytes: number; readonly sinceMs: number; } | undefined;
}

/** Share of the maximum at which connections are closed. */
const crowdedShare = 0.75;

/** Share of the maximum at which those that are being closed are no longer waited for. */
const fullShare = 0.875;

/** Time for which a connection is kept before its progress counts, in milliseconds. */
const graceMs = 250;

/** Time for which an answer of which nothing is sent is kept for its caller, in milliseconds. */
const readTimeMs = 2_000;

/** Time for which an answer is waited for on a connection that is being closed when there are too many, in milliseconds. */
const flushMs = 100;

/** Whether no complete request is in progress on a connection. */
function isReceiving({ last, inProgress }: Connection): boolean {
    return inProgress === 0 || (inProgress === 1 && last?.req.complete === false);
}

/** Looks whether a connection has nothing but an answer of which nothing was sent for seconds. */
function lookIfUnread(socket: Socket, connection: Connection, nowMs: number): boolean {
    if (connection.inProgress !== 1 || connection.last?.writableEnded !== true) {
        connection.unread = undefined;
        return false;
    }
    const bytes = readUnsentBytes(socket);
    if (connection.unread?.bytes !== bytes) {
        connection.unread = { bytes, sinceMs: nowMs };
    }
    return nowMs - connection.unread.sinceMs >= readTimeMs;
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
    /** Connections that are being closed, with the time since when; the earliest first. */
    const closing = new Map<Socket, number>();
    /** Connections that are closed when their requests are over. */
    const closedWhenIdle = new WeakSet<Socket>();

    function close(socket: Socket): void {
        if (closing.has(socket)) {
            return;
        }
        closing.set(socket, clock.now());
        socket.end();
        socket.once("close", clock.after(lingerMs, () => socket.destroy()));
    }

    function isOpen([socket]: readonly [Socket, Connection]): boolean {
        return !closing.has(socket) && !socket.destroyed;
    }

    /** Chooses the connection that makes the least progress; one whose request runs stays. */
    function findLeastProgress(added: Socket): readonly [Socket, EvictionReason] | undefined {
        const nowMs = clock.now();
        const connections = [...open].filter(isOpen);
        const unread = connections.filter(([socket, connection]) => lookIfUnread(socket, connection, nowMs));
        const receiving = connections.filter(([, connection]) => isReceiving(connection));
        const isFull = open.size >= maxConnections;
        // One that has just begun yields only when there is no place.
        const late = receiving.filter(([socket, { sinceMs }]) =>
            nowMs - sinceMs >= graceMs || (isFull && socket !== added)
        );
        const readProgress = ([socket, { sinceMs, bytesBefore }]: (typeof late)[number]) => ({
            sinceMs,
            bytes: socket.bytesRead - bytesBefore,
        });
        const [slow] = chooseLeastProgress(late, readProgress, nowMs) ?? [];
        if (slow !== undefined) {
            return [slow, "receiving"];
        }
        const [longest] = unread.sort(([, one], [, other]) => one.unread!.sinceMs - other.unread!.sinceMs);
        return longest === undefined ? undefined : [longest[0], "unread"];
    }

    /** Destroys the earliest that is being closed and has sent its answer, or had time for it. */
    function destroyClosing(): void {
        const sinceMs = clock.now() - flushMs;
        const [earliest] = [...closing].find(([socket, startedMs]) => socket.writableFinished || startedMs <= sinceMs)
            ?? [];
        earliest?.destroy();
    }

    /** Whether there are so many connections that some have to be closed, besides those that are being closed. */
    function isCrowded(): boolean {
        return open.size - closing.size > crowdedCount;
    }

    /** Makes room after a connection was added. A connection is idle only if no request that has arrived on it is unread. */
    async function makeRoom(added: Socket): Promise<void> {
        await readArrived();
        if (open.size > fullCount) {
            destroyClosing();
        }
        const [longestIdle] = idle.keys();
        if (!isCrowded()) {
            return;
        }
        if (longestIdle !== undefined) {
            idle.delete(longestIdle);
            close(longestIdle);
            return;
        }
        const [socket, reason] = findLeastProgress(added) ?? [];
        if (socket !== undefined && reason !== undefined) {
            evict(socket, reason);
        }
    }

    return {
        count: () => open.size,
        idleSinceMs: socket => idle.get(socket),
        add: socket => {
            open.set(socket, {
                inProgress: 0,
                last: undefined,
                sinceMs: clock.now(),
                bytesBefore: 0,
                unread: undefined,
            });
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
                void makeRoom(socket);
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
