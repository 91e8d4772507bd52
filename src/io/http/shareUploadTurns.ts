/**
 * @module
 * Lets other connections be served between the reads of an upload in many short pieces.
 */
import type { IncomingMessage } from "node:http";
import { createTurnShare } from "../../core/time/createTurnShare.js";
import { deferInTurn } from "../_lib/deferInTurn.js";

/**
 * Pauses the connection of an upload until a later turn whenever it has had its share of one. Node.js hands on all pieces of a
 * read at once, and reads a connection up to 32 times in a turn; the pause ends that.
 *
 * @param req - The request, whose body is read until its end, and dropped unless it has another reader.
 */
export function shareUploadTurns(req: IncomingMessage): void {
    const { socket } = req;
    let isHeld = false;
    let isPausing = false;

    function pauseWhileHeld(): void {
        isPausing = false;
        if (isHeld) {
            socket.pause();
        }
    }

    const share = createTurnShare({
        pause: () => {
            isHeld = true;
            return () => {
                isHeld = false;
                socket.resume();
            };
        },
        defer: deferInTurn,
    });
    req.on("data", () => {
        share.record();
        if (isHeld && !isPausing) {
            isPausing = true;
            // Node.js resumes the connection in ticks after each piece; a microtask of a tick comes after all of them.
            process.nextTick(queueMicrotask, pauseWhileHeld);
        }
    });
}
