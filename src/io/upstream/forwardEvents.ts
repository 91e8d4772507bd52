/**
 * @module
 * Forwards an upstream's event stream to the caller, whole events only.
 */
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import type { ForwardEnd } from "../../core/effects/effectTypes.js";
import type { EventScanner } from "../../core/stream/createEventScanner.js";

/** A forwarding that was started. */
export interface Forwarding {
    /** Ends the forwarding for a reason other than the upstream's stream. */
    readonly stop: (end: ForwardEnd) => void;
}

function toEnd(err: Error): ForwardEnd {
    return "code" in err && err.code === "UND_ERR_BODY_TIMEOUT" ? "silent" : "cut";
}

/**
 * Forwards events until the stream ends, breaks or is stopped. Bytes of an incomplete event are never sent. A slow
 * caller pauses the upstream's body, so that at most the socket buffers are held in memory.
 *
 * @param body - Body of the upstream's answer.
 * @param res - The caller's answer, its head already written.
 * @param scanner - Checks order and end; carries over to the next connection.
 * @param onEnd - Called once with the reason of the end.
 * @returns The forwarding, to stop it.
 */
export function forwardEvents(
    body: Readable,
    res: ServerResponse,
    scanner: EventScanner,
    onEnd: (end: ForwardEnd) => void,
): Forwarding {
    let rest: Buffer | undefined;
    let isOver = false;
    const onDrain = () => body.resume();

    function finish(end: ForwardEnd): void {
        if (isOver) {
            return;
        }
        isOver = true;
        res.off("drain", onDrain);
        body.destroy();
        onEnd(end);
    }

    function takeChunk(chunk: Buffer): void {
        const bytes = rest === undefined ? chunk : Buffer.concat([rest, chunk]);
        const whole = scanner.scan(bytes);
        rest = whole === bytes.length ? undefined : bytes.subarray(whole);
        if (whole > 0 && !res.write(whole === bytes.length ? bytes : bytes.subarray(0, whole))) {
            body.pause();
        }
        const state = scanner.state();
        if (state !== "open") {
            finish(state === "ended" ? "complete" : "outOfOrder");
        }
    }

    res.on("drain", onDrain);
    body.on("data", takeChunk);
    body.on("end", () => finish("cut"));
    body.on("error", (err: Error) => finish(toEnd(err)));
    return { stop: finish };
}
