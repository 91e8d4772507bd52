/**
 * @module
 * Opens connections for undici that read no further ahead while an answer is paused.
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Bytes that Node.js reads from a connection at once. */
const maxReadBytes = 64 * 1024;

/**
 * Bounds how much is taken from a connection at once. undici takes all that was read, and puts back what follows a pause; each
 * time the empty buffer would be filled once more, and what waits would grow with the number of pauses.
 */
function boundReads(socket: Socket, onRead: (socket: Socket) => void): void {
    const read = socket.read.bind(socket);
    socket.read = size => {
        onRead(socket);
        return read(size ?? (socket.readableLength > maxReadBytes ? maxReadBytes : undefined)) as unknown;
    };
}

/**
 * Creates the function that opens connections.
 *
 * @param options - Options of undici's own.
 * @param onRead - Called before each read from a connection.
 * @returns The function.
 */
export function createBoundedConnector(
    options: buildConnector.BuildOptions,
    onRead: (socket: Socket) => void = () => undefined,
): buildConnector.connector {
    const open = buildConnector(options);
    return (target, onConnected) =>
        open(target, (...connected) => {
            const socket = connected[1] ?? undefined;
            if (socket !== undefined) {
                boundReads(socket, onRead);
            }
            onConnected(...connected);
        });
}
