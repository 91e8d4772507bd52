/**
 * @module
 * Opens connections for one undici client, watches how they end, and bounds what arrives on them. undici treats any end of a
 * connection, a reset too, as the end of an answer without length, and reads a status line or a chunk extension without end.
 * A pause of undici's own reads on with each resumption, and fails when the connection ends meanwhile: connections are paused here.
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { ConnectionState } from "../../core/proxy/answerEnd.js";
import { createBoundedConnector } from "./createBoundedConnector.js";

/** Opens and watches the connections of one client, one at a time. */
export interface WatchedConnector {
    readonly connect: buildConnector.connector;
    /** State of the current connection, or of the last one. */
    readonly state: () => ConnectionState;
    /** Marks the current answer as ending with the connection, so that the end is checked for a reset. */
    readonly expectEnd: () => void;
    /**
     * Lets at most so many bytes arrive until the next call; more of them end the connection with an error.
     *
     * @param bytes - The bytes, which may begin in a connection that is not open yet.
     */
    readonly allowBytes: (bytes: number) => void;
    /** Pauses the current connection: undici is handed nothing more than the slice that it is parsing. */
    readonly pause: () => void;
    /** Ends the pause, in case of one; what has arrived is handed on in the next tick. */
    readonly resume: () => void;
}

/** Bytes that undici is handed at once: it hands on each piece in them before it can be paused. */
const sliceBytes = 4 * 1024;

/**
 * Returns whether a connection whose readable side has ended was reset. When data and a reset arrive together, Node.js
 * reports a normal end, but the system no longer names the peer. Node.js keeps the name once it was read, so it is read here only.
 */
function isReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}

/**
 * Creates a connector that has opened no connection.
 *
 * @param connectTimeoutMs - Connect timeout in milliseconds.
 * @returns The connector.
 */
export function createWatchedConnector(connectTimeoutMs: number): WatchedConnector {
    const open = createBoundedConnector({ timeout: connectTimeoutMs, allowHalfOpen: true }, checkBytes);
    let state: ConnectionState = "open";
    let isEndExpected = false;
    let current: Socket | undefined;
    let allowedBytes = Infinity;
    let isPaused = false;

    /** Hands on what arrives in slices, and nothing during a pause, so that a paused connection reads no more than its buffer. */
    function readInSlices(socket: Socket): void {
        const read = socket.read.bind(socket);
        const destroy = socket.destroy.bind(socket);
        let isEnding = false;
        socket.read = (bytes?: number): unknown => {
            const slice = bytes ?? (Math.min(sliceBytes, socket.readableLength) || undefined);
            return read(isPaused && !isEnding ? 0 : slice);
        };
        socket.destroy = error => {
            // What arrived before a reset is handed on: an answer may be complete.
            if (isPaused && !isEnding && (error as NodeJS.ErrnoException | undefined)?.code === "ECONNRESET") {
                isEnding = true;
                socket.emit("readable");
            }
            return destroy(error);
        };
    }

    function checkBytes(socket: Socket): void {
        if (socket.bytesRead > allowedBytes) {
            socket.destroy(new Error("more bytes arrived than an answer may have"));
        }
    }

    function watch(socket: Socket): void {
        current = socket;
        isPaused = false;
        readInSlices(socket);
        state = "open";
        isEndExpected = false;
        socket.on("error", () => {
            // undici destroys a socket with an error after its peer has closed it within an answer.
            state = state === "open" ? "reset" : state;
        });
        socket.on("end", () => {
            if (state === "open") {
                state = isEndExpected && isReset(socket) ? "reset" : "closed";
            }
        });
    }

    return {
        connect: (options, onConnected) =>
            open(options, (...connected) => {
                const socket = connected[1] ?? undefined;
                if (socket !== undefined) {
                    watch(socket);
                }
                onConnected(...connected);
            }),
        state: () => state,
        expectEnd: () => {
            isEndExpected = true;
        },
        allowBytes: bytes => {
            allowedBytes = (current === undefined || current.destroyed ? 0 : current.bytesRead) + bytes;
        },
        pause: () => {
            isPaused = true;
        },
        resume: () => {
            const socket = current;
            if (!isPaused || socket === undefined) {
                return;
            }
            isPaused = false;
            process.nextTick(() => {
                if (!socket.destroyed) {
                    socket.emit("readable");
                }
            });
        },
    };
}
