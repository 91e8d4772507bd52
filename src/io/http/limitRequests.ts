/**
 * @module
 * Limits the requests in progress on each connection of a server. A connection may send thousands of short requests in one
 * read, and what waits to be written to a client that does not read is bounded by nothing else.
 */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { AnswerHolding, AnswerMemory } from "../../core/proxy/createAnswerMemory.js";
import { readUnsentBytes } from "../_lib/readUnsentBytes.js";
import { trackResponses } from "./_lib/trackResponses.js";

/** What becomes of a connection with too many requests. */
export interface RequestLimitOptions {
    readonly maxRequests: number;
    /** Whether its further requests are read as earlier ones end; otherwise it is closed. */
    readonly isPaused: boolean;
    /**
     * Memory for requests that were sent behind others. When there is too little, a connection with such requests is read on only
     * when they are over, and one whose answers are ready and not read for seconds is closed.
     */
    readonly pipelined?: { readonly memory: Pick<AnswerMemory, "hold" | "totalBytes">; readonly maxBytes: number; };
    /** Closes a connection because its unread answers take too much; by default it is destroyed. */
    readonly evict?: (socket: Socket) => void;
}

interface Connection {
    inProgress: number;
    isPaused: boolean;
    /** Memory of its requests behind the first one; undefined if it is not counted. */
    readonly holding: AnswerHolding | undefined;
}

/** Memory that a request in progress takes besides its body, in bytes. */
const requestBytes = 12 * 1_024;

/** Requests in progress on a connection from which on no more are read when memory for them is short. */
const shortRequests = 2;

function recordHeld({ holding, inProgress }: Connection): void {
    holding?.set(Math.max(0, inProgress - 1) * requestBytes);
}

/**
 * Pauses a connection for as long as it has too many requests. Node.js resumes it when its write buffer is empty, or when a body
 * is read; the listeners here run after that.
 */
function keepPaused(socket: Socket, connection: Connection): void {
    const pauseAgain = () => {
        if (connection.isPaused) {
            socket.pause();
        }
    };
    socket.on("drain", pauseAgain);
    socket.on("resume", pauseAgain);
}

/**
 * Wraps the listener of a server's requests so that each connection has a limited number in progress.
 *
 * @param server - The server.
 * @param listener - Handles a request.
 * @param options - The limit.
 */
export function limitRequests(server: Server, listener: RequestListener, options: RequestLimitOptions): void {
    const { maxRequests, pipelined, evict = socket => void socket.destroy() } = options;
    const { hasRunning } = trackResponses(server);
    /** Connections that are open. */
    const connections = new WeakMap<Socket, Connection>();

    server.on("connection", (socket: Socket) => {
        const readUnsent = () => hasRunning(socket) ? undefined : readUnsentBytes(socket);
        const holding = pipelined?.memory.hold(0, () => evict(socket), readUnsent);
        const connection: Connection = { inProgress: 0, isPaused: false, holding };
        connections.set(socket, connection);
        socket.once("close", () => holding?.close());
        keepPaused(socket, connection);
    });

    /** Returns the number of requests in progress from which on a connection is paused. */
    function limitPaused(): number {
        const isShort = pipelined !== undefined && pipelined.memory.totalBytes() > pipelined.maxBytes;
        return isShort ? Math.min(maxRequests, shortRequests) : maxRequests;
    }

    function end(socket: Socket, connection: Connection): void {
        connection.inProgress -= 1;
        recordHeld(connection);
        if (connection.isPaused && connection.inProgress < limitPaused()) {
            connection.isPaused = false;
            socket.resume();
        }
    }

    function begin(socket: Socket, connection: Connection): void {
        connection.inProgress += 1;
        recordHeld(connection);
        if (options.isPaused && connection.inProgress >= limitPaused() && !connection.isPaused) {
            connection.isPaused = true;
            socket.pause();
        }
    }

    server.on("request", (req: IncomingMessage, res: ServerResponse) => {
        const { socket } = req;
        const connection = connections.get(socket);
        if (connection === undefined || socket.destroyed) {
            return;
        }
        if (!options.isPaused && connection.inProgress >= maxRequests) {
            socket.destroy();
            return;
        }
        begin(socket, connection);
        res.once("close", () => end(socket, connection));
        listener(req, res);
    });
}
