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
 * @param action - Called once, with whether the response was written out: `writableFinished` is true also when its
 * connection was destroyed with bytes left to write.
 */
export function onResponseOver(res: ServerResponse, action: (isWritten: boolean) => void): void {
    const { socket } = res.req;
    let isOver = false;
    let isWritten = false;
    res.once("finish", () => {
        isWritten = !socket.destroyed;
    });
    function end(): void {
        if (!isOver) {
            isOver = true;
            socket.off("close", end);
            action(isWritten);
        }
    }
    res.once("close", end);
    socket.once("close", end);
}
