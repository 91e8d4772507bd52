/**
 * @module
 * Limits the requests in progress on each connection of a server. A connection may send thousands of short requests in one
 * read, and what waits to be written to a client that does not read is bounded by nothing else.
 */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { AnswerHolding, AnswerMemory } from "../../core/proxy/createAnswerMemory.js";

/** What becomes of a connection with too many requests. */
export interface RequestLimitOptions {
    readonly maxRequests: number;
    /** Whether its further requests are read as earlier ones end; otherwise it is closed. */
    readonly isPaused: boolean;
    /** Memory for requests that were sent behind others; the connection with most of them is closed when there is too little. */
    readonly pipelined?: Pick<AnswerMemory, "open">;
    /** Closes a connection because requests behind others take too much; by default it is destroyed. */
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
    const { maxRequests, evict = socket => void socket.destroy() } = options;
    /** Connections that are open. */
    const connections = new WeakMap<Socket, Connection>();

    server.on("connection", (socket: Socket) => {
        const holding = options.pipelined?.open(() => evict(socket));
        const connection: Connection = { inProgress: 0, isPaused: false, holding };
        connections.set(socket, connection);
        socket.once("close", () => holding?.close());
        keepPaused(socket, connection);
    });

    function end(socket: Socket, connection: Connection): void {
        connection.inProgress -= 1;
        recordHeld(connection);
        if (connection.isPaused && connection.inProgress < maxRequests) {
            connection.isPaused = false;
            socket.resume();
        }
    }

    function begin(socket: Socket, connection: Connection): void {
        connection.inProgress += 1;
        recordHeld(connection);
        if (options.isPaused && connection.inProgress >= maxRequests && !connection.isPaused) {
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
