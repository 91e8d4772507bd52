/**
 * @module
 * Buffers the body of an upstream's answer in memory, up to a limit.
 */
import type { Readable } from "node:stream";
import type { CollectResult, ForwardEnd } from "../../core/effects/effectTypes.js";
import { createBlockBuffer } from "../../core/memory/createBlockBuffer.js";
import { classifyBodyError } from "../_lib/classifyCallError.js";

/** A body that is being collected. */
export interface BodyCollection {
    /** Ends the collection for a reason other than the upstream's body. */
    readonly stop: (end: ForwardEnd) => void;
}

/**
 * Collects a body.
 *
 * @param body - Body of the upstream's answer.
 * @param maxBytes - Size limit; a longer body ends as `cut`.
 * @param onEnd - Called once with the body, or with the reason why it is incomplete.
 * @returns A handle that stops the collection.
 */
export function collectBody(body: Readable, maxBytes: number, onEnd: (result: CollectResult) => void): BodyCollection {
    const buffer = createBlockBuffer({ maxBytes });
    let isOver = false;

    function finish(result: CollectResult): void {
        if (!isOver) {
            isOver = true;
            body.destroy();
            onEnd(result);
        }
    }

    body.on("data", (chunk: Buffer) => {
        if (buffer.append(chunk) !== "appended") {
            finish({ kind: "broken", end: "cut" });
        }
    });
    body.on("end", () => finish({ kind: "whole", body: buffer.take() }));
    body.on("error", (err: Error) => finish({ kind: "broken", end: classifyBodyError(err) }));
    return { stop: end => finish({ kind: "broken", end }) };
}
