/**
 * @module
 * What a caller sends.
 */
import { eventIntervalMs, workHeader } from "./createTimedRuns.js";
import { servedModel } from "./startTimedUpstream.js";
import type { CallShape } from "./stopShapes.js";

/** One request of a caller. */
export interface Call {
    readonly shape: CallShape;
    /** Time that its run takes, in milliseconds. */
    readonly workMs: number;
    /** Events of the stream that answers it. */
    readonly events: number;
    readonly isChunked: boolean;
    /** Whether its body is sent in two parts. */
    readonly hasTwoParts: boolean;
}

const chunkedShare = 0.4;
const twoPartsShare = 0.2;

/** Draws a request of one of the kinds. */
export function drawCall(shapes: readonly CallShape[], random: () => number): Call {
    const totalWeight = shapes.reduce((sum, shape) => sum + shape.weight, 0);
    let left = random() * totalWeight;
    const shape = shapes.find(one => {
        left -= one.weight;
        return left < 0;
    }) ?? shapes.at(-1)!;
    const workMs = Math.round(shape.minWorkMs + random() ** 2 * (shape.maxWorkMs - shape.minWorkMs));
    return {
        shape,
        workMs,
        events: Math.max(1, Math.round(workMs / eventIntervalMs)),
        isChunked: random() < chunkedShare,
        hasTwoParts: random() < twoPartsShare,
    };
}

/** What the headers of an attempt depend on beside its request. */
export interface AttemptHead {
    readonly id: string;
    readonly host: string;
    readonly key: string;
    /** Time until the deadline, in milliseconds. */
    readonly leftMs: number;
    readonly bodyBytes: number;
}

/** Describes the headers of an attempt. */
export function describeHeaders(call: Call, head: AttemptHead): Record<string, string> {
    return {
        host: head.host,
        "attempt-id": head.id,
        authorization: `Bearer ${head.key}`,
        "time-budget": String(Math.round(head.leftMs)),
        [workHeader]: String(call.workMs),
        ...(call.isChunked ? { "transfer-encoding": "chunked" } : { "content-length": String(head.bodyBytes) }),
        ...(call.shape.kind === "stream"
            ? {
                model: servedModel,
                "token-count": `600,${call.events}`,
                "prompt-prefix": `aa:400,${head.id.replaceAll(/\W/g, "")}:200`,
            }
            : {}),
    };
}
