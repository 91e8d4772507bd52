/**
 * @module
 * One caller's request and its answer on the connection.
 */
import type { ServerResponse } from "node:http";
import type { Refusal } from "../../core/errors/createRefusal.js";
import type { UpstreamAnswer } from "../../core/proxy/proxyTypes.js";
import type { CancelTimer } from "../../core/time/clock.js";
import type { AnswerHead } from "./proxyCodec.js";
import { writePlainRefusal } from "./writePlainRefusal.js";

/** The caller's side of a request. */
export interface CallerExchange {
    readonly isDisconnected: () => boolean;
    /** Calls `action` when the caller leaves before its answer is complete; returns the cancellation. */
    readonly onDisconnect: (action: () => void) => CancelTimer;
    readonly hasStarted: () => boolean;
    /** Writes the head of a stream unless it was written before. */
    readonly startStream: (head: AnswerHead) => void;
    /** Writes a part of a stream; false when the caller reads too slowly. */
    readonly writeChunk: (bytes: Uint8Array) => boolean;
    readonly onDrained: (action: () => void) => void;
    readonly endStream: () => void;
    readonly answer: (answer: UpstreamAnswer) => void;
    readonly refuse: (refusal: Refusal) => void;
    /** Breaks the connection off, so that the answer does not look complete. */
    readonly abort: () => void;
}

/** Options of {@link createCallerExchange}. */
export interface CallerExchangeOptions {
    readonly requestId: string;
    /** Whether the connection is closed after the answer. */
    readonly isClosing: () => boolean;
}

/**
 * Creates the exchange of one request.
 *
 * @param res - The response.
 * @param options - Id of the request, and whether connections are being closed.
 * @returns The exchange.
 */
export function createCallerExchange(res: ServerResponse, options: CallerExchangeOptions): CallerExchange {
    const actions = new Set<() => void>();
    let isGone = false;
    res.on("close", () => {
        if (!res.writableFinished) {
            isGone = true;
            [...actions].forEach(action => action());
        }
        actions.clear();
    });
    res.on("error", () => {
        isGone = true;
    });

    function writeHead(status: number, headers: readonly (readonly [string, string])[]): void {
        if (options.isClosing()) {
            res.shouldKeepAlive = false;
        }
        res.writeHead(status, headers.flat());
    }

    return {
        isDisconnected: () => isGone,
        onDisconnect: action => {
            actions.add(action);
            return () => actions.delete(action);
        },
        hasStarted: () => res.headersSent,
        startStream: head => {
            if (!res.headersSent && !isGone) {
                writeHead(head.status, head.headers);
            }
        },
        writeChunk: bytes => res.write(bytes),
        onDrained: action => {
            res.once("drain", action);
        },
        endStream: () => {
            res.end();
        },
        answer: answer => {
            writeHead(answer.status, [...answer.headers, ["content-length", String(answer.body.length)]]);
            res.end(answer.body);
        },
        refuse: refusal => {
            if (!isGone && !res.headersSent) {
                writePlainRefusal(res, refusal, options);
            }
        },
        abort: () => {
            res.destroy();
        },
    };
}
