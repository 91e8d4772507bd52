/**
 * @module
 * Tells when a response is over.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** What is called when a connection closes, one entry for each response that is not over. */
const pending = new WeakMap<Socket, Set<() => void>>();

/** Returns what is called when a connection closes; one listener of the connection serves all its responses. */
function listPending(socket: Socket): Set<() => void> {
    const known = pending.get(socket);
    if (known !== undefined) {
        return known;
    }
    const ends = new Set<() => void>();
    pending.set(socket, ends);
    socket.once("close", () => ends.forEach(end => end()));
    return ends;
}

/**
 * Calls `action` once the response is written out or its connection has closed. Node.js emits no "close" for the response
 * to a request that was sent behind another one on the same connection, if that closes before the first was answered.
 *
 * @param res - The response.
 * @param action - Called once, with whether the response was written out: `writableFinished` is true also when its
 * connection was destroyed with bytes left to write.
 * @example
 * onResponseOver(res, isWritten => report.close(isWritten));
 */
export function onResponseOver(res: ServerResponse, action: (isWritten: boolean) => void): void {
    const { socket } = res.req;
    const ends = listPending(socket);
    let isWritten = false;
    res.once("finish", () => {
        isWritten = !socket.destroyed;
    });
    function end(): void {
        if (ends.delete(end)) {
            action(isWritten);
        }
    }
    ends.add(end);
    res.once("close", end);
}
