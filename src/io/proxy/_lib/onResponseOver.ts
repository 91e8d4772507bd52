/**
 * @module
 * Tells when a response is over.
 */
import type { ServerResponse } from "node:http";

/**
 * Calls `action` once the response is written out or its connection has closed. Node.js emits no "close" for the response
 * to a request that was sent behind another one on the same connection, if that closes before the first was answered.
 *
 * @param res - The response.
 * @param action - Called once.
 */
export function onResponseOver(res: ServerResponse, action: () => void): void {
    const { socket } = res.req;
    let isOver = false;
    function end(): void {
        if (!isOver) {
            isOver = true;
            socket.off("close", end);
            action();
        }
    }
    res.once("close", end);
    socket.once("close", end);
}
