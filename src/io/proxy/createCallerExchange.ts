/**
 * @module
 * The caller's side of one request: writes the answer and detects a disconnect.
 */
import type { ServerResponse } from "node:http";
import { createActionSet } from "../../core/_lib/createActionSet.js";
import type { Refusal } from "../../core/errors/createRefusal.js";
import type { AnswerHolding, AnswerMemory } from "../../core/proxy/createAnswerMemory.js";
import type { HeaderPair, UpstreamAnswer } from "../../core/proxy/proxyTypes.js";
import type { CancelTimer } from "../../core/time/clock.js";
import { readUnsentBytes } from "../_lib/readUnsentBytes.js";
import { onResponseOver } from "../http/_lib/onResponseOver.js";
import { createStreamWriter, type StreamWriter } from "./createStreamWriter.js";
import type { AnswerHead } from "./proxyCodec.js";
import { writePlainRefusal } from "./writePlainRefusal.js";

/** The caller's side of a request. */
export interface CallerExchange {
    /** Whether the caller has ended its side; its response is over only some turns of the event loop later. */
    readonly isDisconnected: () => boolean;
    /** Calls `action` when the caller disconnects before its answer is complete; returns the cancellation. */
    readonly onDisconnect: (action: () => void) => CancelTimer;
    /** Whether the head of the answer was written. */
    readonly hasStarted: () => boolean;
    /** Writes the head of a stream unless it was already written. */
    readonly startStream: (head: AnswerHead) => void;
    /** Writes a chunk of a stream; returns false when so much waits to be written that the source has to pause. */
    readonly writeChunk: (bytes: Uint8Array) => boolean;
    /** Calls `action` when there is room again. */
    readonly onDrained: (action: () => void) => void;
    readonly endStream: () => void;
    readonly answer: (answer: UpstreamAnswer) => void;
    readonly refuse: (refusal: Refusal) => void;
    /** Destroys the connection, so that the answer does not look complete. */
    readonly abort: () => void;
}

/** Options of {@link createCallerExchange}. */
export interface CallerExchangeOptions {
    readonly requestId: string;
    /** Whether the connection is closed after the answer. */
    readonly isClosing: () => boolean;
    /** Called with the first part of a stream. */
    readonly onStreamStart?: () => void;
    /** Records that a complete answer is held until it is written out. */
    readonly holdAnswer?: AnswerMemory["hold"];
    /** Called when the connection of an answer is closed because its caller does not read it and it holds memory. */
    readonly onAnswerEvicted?: () => void;
    /** Opens the record of what waits to be written of a stream; `evict` ends it. */
    readonly holdStream?: AnswerMemory["open"];
    /** Called when a stream is ended because what waits to be written holds too much memory. */
    readonly onStreamEvicted?: () => void;
}

const unrecordedHolding: AnswerHolding = { set: () => undefined, close: () => undefined };

/** Statuses of answers that have neither a body nor a length. */
const lengthlessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Creates the exchange of one request.
 *
 * @param res - The response.
 * @param options - Id of the request, and whether connections are being closed.
 * @returns The exchange.
 */
export function createCallerExchange(res: ServerResponse, options: CallerExchangeOptions): CallerExchange {
    const disconnectActions = createActionSet();
    let isDisconnected = false;
    let isOver = false;
    let stream: StreamWriter | undefined;
    onResponseOver(res, isWritten => {
        isOver = true;
        stream?.discard();
        if (!isWritten) {
            isDisconnected = true;
            disconnectActions.run();
        }
        disconnectActions.clear();
    });
    res.on("error", () => {
        isDisconnected = true;
    });

    function writeHead(status: number, headers: readonly (readonly [string, string])[]): void {
        if (options.isClosing()) {
            res.shouldKeepAlive = false;
        }
        res.writeHead(status, headers.flat());
    }

    function evictStream(): void {
        stream?.discard();
        options.onStreamEvicted?.();
        abort();
    }

    function openStream(): StreamWriter {
        if (stream === undefined) {
            stream = createStreamWriter(res, options.holdStream?.(evictStream) ?? unrecordedHolding);
            if (isOver) {
                stream.discard();
            }
        }
        return stream;
    }

    function abort(): void {
        stream?.flush();
        stream?.discard();
        // Without chunks, an HTTP/1.0 caller takes an orderly close for the end of the answer.
        if (res.headersSent && !res.chunkedEncoding) {
            res.socket?.resetAndDestroy();
        }
        res.destroy();
    }

    return {
        isDisconnected: () => isDisconnected || res.req.socket.readableEnded,
        onDisconnect: disconnectActions.add,
        hasStarted: () => res.headersSent,
        startStream: head => {
            if (!res.headersSent && !isDisconnected) {
                options.onStreamStart?.();
                writeHead(head.status, head.headers);
            }
        },
        writeChunk: bytes => openStream().write(bytes),
        onDrained: action => openStream().onDrained(action),
        endStream: () => openStream().end(),
        answer: answer => {
            const length: HeaderPair = ["content-length", String(answer.body.length)];
            const hasLength = res.req.method !== "HEAD" && !lengthlessStatuses.has(answer.status);
            writeHead(answer.status, hasLength ? [...answer.headers, length] : answer.headers);
            res.end(answer.body);
            const evict = () => {
                options.onAnswerEvicted?.();
                res.socket?.destroy();
            };
            // A response behind others on its connection has no socket yet.
            const readUnsent = () => res.socket ? readUnsentBytes(res.socket) : undefined;
            const holding = options.holdAnswer?.(answer.body.length, evict, readUnsent);
            onResponseOver(res, () => holding?.close());
        },
        refuse: refusal => {
            if (!isDisconnected && !res.headersSent) {
                writePlainRefusal(res, refusal, options);
            }
        },
        abort,
    };
}
