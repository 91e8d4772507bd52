/**
 * @module
 * Reads the body of a refused request and drops it, so that the connection can be used for the next request.
 */
import type { IncomingMessage } from "node:http";
import { shareUploadTurns } from "./shareUploadTurns.js";

/**
 * Drops a body. A connection with a longer one is closed once its answer is written: no valid request follows soon.
 *
 * @param req - The request, which has no other reader.
 * @param maxBytes - Size beyond which the connection is closed.
 * @example
 * dropBody(req, limits.maxBodyBytes);
 */
export function dropBody(req: IncomingMessage, maxBytes: number): void {
    let leftBytes = maxBytes;
    req.on("data", ({ length }: Buffer) => {
        const hadRoom = leftBytes >= 0;
        leftBytes -= length;
        if (hadRoom && leftBytes < 0) {
            req.socket.destroySoon();
        }
    });
    shareUploadTurns(req);
}
