/**
 * @module
 * Hands what arrives on the connections of an HTTP server to its parser in slices. The parser turns a whole read of 64 KB into
 * requests, some thousands where they are short, before a pause or the end of the connection has an effect.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Pushes bytes in slices until the connection is destroyed. */
function pushInSlices(socket: Socket, sliceBytes: number): void {
    const push = socket.push.bind(socket);
    socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
        if (!Buffer.isBuffer(chunk) || chunk.length <= sliceBytes) {
            return push(chunk, encoding);
        }
        let mayPushMore = true;
        for (let start = 0; start < chunk.length && !socket.destroyed; start += sliceBytes) {
            mayPushMore = push(chunk.subarray(start, start + sliceBytes));
        }
        return mayPushMore;
    };
}

/**
 * Lets a server parse what arrives in slices, so that the end of a connection has an effect between them. A pause has none: the
 * parser ends it with each request.
 *
 * @param server - The server, without connections.
 * @param sliceBytes - Size of a slice, in bytes.
 */
export function readInSlices(server: Server, sliceBytes: number): void {
    server.on("connection", (socket: Socket) => {
        pushInSlices(socket, sliceBytes);
        // The server's parser reads the connection itself, past the stream, unless its data has a listener.
        socket.on("data", () => undefined);
    });
}
