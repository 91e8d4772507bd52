/**
 * @module
 * What a caller sends.
 */
import { drawPieceSize, type PieceSize } from "../../../fakes/cutPieces.js";
import { answerBytesHeader, eventIntervalMs, workHeader } from "./createTimedRuns.js";
import { servedModel } from "./startTimedUpstream.js";
import type { CallShape, SizeRange } from "./stopShapes.js";

/** One request of a caller. */
export interface Call {
    readonly shape: CallShape;
    /** Time that its run takes, in milliseconds. */
    readonly workMs: number;
    /** Events of the stream that answers it. */
    readonly events: number;
    readonly isChunked: boolean;
    /** Number of parts in which its body is sent. */
    readonly parts: number;
    /** Sizes of the chunks of its body; undefined if it is not cut further than into parts. */
    readonly pieces: PieceSize | undefined;
    /** Time after the head of the answer for which its caller reads nothing, in milliseconds. */
    readonly unreadMs: number;
    readonly bodyBytes: number;
    /** Size of its plain answer; undefined where the upstream decides. */
    readonly answerBytes: number | undefined;
}

const chunkedShare = 0.4;
const twoPartsShare = 0.2;
const defaultBodyBytes = 600;

/** Shares of the callers' requests with bodies in pieces, and with answers that are read late, where callers have these habits. */
const piecesShare = 0.1;
const unreadShare = 0.05;
const maxUnreadMs = 4_000;

/** Largest body in pieces where the shape has none of its own. */
const piecesBodyBytes: SizeRange = { min: 600, max: 20_000 };

/** Most parts of a body whose size is drawn. */
const maxParts = 6;

function drawSize({ min, max }: SizeRange, random: () => number): number {
    return Math.round(min + random() ** 2 * (max - min));
}

function drawParts({ bodyBytes }: CallShape, random: () => number): Pick<Call, "parts" | "bodyBytes"> {
    return bodyBytes === undefined
        ? { parts: random() < twoPartsShare ? 2 : 1, bodyBytes: defaultBodyBytes }
        : { parts: 1 + Math.floor(random() * maxParts), bodyBytes: drawSize(bodyBytes, random) };
}

/** Draws whether a request is sent in pieces, and whether its answer is read late. */
function drawHabits(shape: CallShape, random: () => number): Partial<Call> {
    const unreadMs = random() < unreadShare ? random() * maxUnreadMs : 0;
    if (random() >= piecesShare) {
        return { unreadMs };
    }
    const bodyBytes = drawSize(shape.bodyBytes ?? piecesBodyBytes, random);
    return { unreadMs, pieces: drawPieceSize(random), bodyBytes, isChunked: true };
}

/**
 * Draws a request of one of the kinds.
 *
 * @param shapes - The kinds.
 * @param random - Numbers from 0 to 1.
 * @param hasOddHabits - Whether some requests are sent in pieces and some answers are read late.
 * @returns The request.
 */
export function drawCall(shapes: readonly CallShape[], random: () => number, hasOddHabits: boolean): Call {
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
        ...drawParts(shape, random),
        pieces: undefined,
        unreadMs: 0,
        answerBytes: shape.answerBytes === undefined ? undefined : drawSize(shape.answerBytes, random),
        ...(hasOddHabits ? drawHabits(shape, random) : {}),
    };
}

/** What the headers of an attempt depend on beside its request. */
export interface AttemptHead {
    readonly id: string;
    readonly host: string;
    readonly key: string;
    /** Time until the deadline, in milliseconds. */
    readonly leftMs: number;
}

/** Describes the headers of an attempt. */
export function describeHeaders(call: Call, head: AttemptHead): Record<string, string> {
    return {
        host: head.host,
        "attempt-id": head.id,
        authorization: `Bearer ${head.key}`,
        "time-budget": String(Math.round(head.leftMs)),
        [workHeader]: String(call.workMs),
        ...(call.answerBytes === undefined ? {} : { [answerBytesHeader]: String(call.answerBytes) }),
        ...(call.isChunked ? { "transfer-encoding": "chunked" } : { "content-length": String(call.bodyBytes) }),
        ...(call.shape.kind === "stream"
            ? {
                model: servedModel,
                "token-count": `600,${call.events}`,
                "prompt-prefix": `aa:400,${head.id.replaceAll(/\W/g, "")}:200`,
            }
            : {}),
    };
}
