/**
 * @module
 * Ways in which a scripted upstream ends its connection.
 */
import type { Socket } from "node:net";

/** Time in which written bytes reach the other side over loopback, in milliseconds. */
export const flushMs = 30;

/** Ends by name. */
export const connectionEndings: ReadonlyMap<string, (socket: Socket) => void> = new Map<
    string,
    (socket: Socket) => void
>([
    ["closes", socket => socket.end()],
    ["resets", socket => {
        setTimeout(() => socket.resetAndDestroy(), flushMs);
    }],
    // Both the bytes and the reset have arrived when the other side reads.
    ["resets-at-once", socket => socket.resetAndDestroy()],
    ["waits", () => undefined],
]);
