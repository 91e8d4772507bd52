/**
 * @module
 * Passes the events of one upstream's stream on to the caller.
 */
import type { StreamProgress } from "../../core/proxy/proxyTypes.js";
import { createEventSplitter } from "../../core/stream/createEventSplitter.js";
import type { CallerExchange } from "./createCallerExchange.js";
import type { AnswerHead } from "./proxyCodec.js";

/** The delivery of one upstream's part of a stream. */
export interface StreamDelivery {
    readonly write: (chunk: Buffer) => void;
    /** Ends the caller's stream as complete. */
    readonly end: () => void;
    /** Bytes of an event that is not whole; always 0 where events are passed on in pieces. */
    readonly pendingBytes: () => number;
    /** What the caller has of the stream; undefined when it has nothing. */
    readonly progress: () => StreamProgress | undefined;
}

/** Options of {@link createStreamDelivery}. */
export interface StreamDeliveryOptions {
    readonly caller: CallerExchange;
    readonly head: AnswerHead;
    /** Whether the stream may go on at another upstream; only whole events are passed on then. */
    readonly isResumable: boolean;
    /** Stops and goes on reading from the upstream, for callers that read slowly. */
    readonly pause: () => void;
    readonly resume: () => void;
}

/**
 * Creates a delivery that has passed nothing on.
 *
 * @param options - The caller and the head of the upstream's answer.
 * @returns The delivery.
 */
export function createStreamDelivery(options: StreamDeliveryOptions): StreamDelivery {
    const { caller, head } = options;
    const splitter = createEventSplitter();

    function pass(bytes: Uint8Array): void {
        caller.startStream(head);
        if (!caller.writeChunk(bytes)) {
            options.pause();
            caller.onDrained(options.resume);
        }
    }

    return {
        write: chunk => {
            const whole = splitter.take(chunk);
            const bytes = options.isResumable ? whole : chunk;
            if (bytes !== undefined) {
                pass(bytes);
            }
        },
        end: () => {
            caller.startStream(head);
            caller.endStream();
        },
        pendingBytes: () => (options.isResumable ? splitter.pendingBytes() : 0),
        progress: () => (caller.hasStarted() ? { lastEventId: splitter.lastId() } : undefined),
    };
}
