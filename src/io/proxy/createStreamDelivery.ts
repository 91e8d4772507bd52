/**
 * @module
 * Forwards the events of one upstream's stream to the caller.
 */
import type { EventStreamEnd } from "../../core/proxy/answerEnd.js";
import type { StreamProgress } from "../../core/proxy/proxyTypes.js";
import { createEventSplitter } from "../../core/stream/createEventSplitter.js";
import type { CallerExchange } from "./createCallerExchange.js";
import type { AnswerHead } from "./proxyCodec.js";

/** Forwards one upstream's part of a stream. */
export interface StreamDelivery {
    /** Forwards a chunk; returns false when it belongs to an event that exceeds the size limit. */
    readonly write: (chunk: Buffer) => boolean;
    /** Bytes of the incomplete event. */
    readonly heldBytes: () => number;
    /** Ends the caller's stream as complete. */
    readonly end: () => void;
    /** How far the upstream's events have arrived. */
    readonly eventStreamEnd: () => EventStreamEnd;
    /** What the caller has received of the stream; undefined when it has received nothing. */
    readonly progress: () => StreamProgress | undefined;
}

/** Options of {@link createStreamDelivery}. */
export interface StreamDeliveryOptions {
    readonly caller: CallerExchange;
    readonly head: AnswerHead;
    /** Whether the stream can be resumed at another upstream; if so, only complete events are forwarded. */
    readonly isResumable: boolean;
    /** Pauses reading from the upstream while the caller's write buffer is full. */
    readonly pause: () => void;
    readonly resume: () => void;
}

/** Largest event, in bytes. */
const maxEventBytes = 256 * 1024;

/**
 * Creates a delivery that has forwarded nothing yet.
 *
 * @param options - The caller and the head of the upstream's answer.
 * @returns The delivery.
 */
export function createStreamDelivery(options: StreamDeliveryOptions): StreamDelivery {
    const { caller, head } = options;
    const splitter = createEventSplitter();

    function forward(bytes: Uint8Array): void {
        caller.startStream(head);
        if (!caller.writeChunk(bytes)) {
            options.pause();
            caller.onDrained(options.resume);
        }
    }

    return {
        write: chunk => {
            const completeEvents = splitter.push(chunk);
            if (splitter.pendingBytes() > maxEventBytes) {
                return false;
            }
            const bytes = options.isResumable ? completeEvents : chunk;
            if (bytes !== undefined) {
                forward(bytes);
            }
            return true;
        },
        heldBytes: splitter.pendingBytes,
        end: () => {
            caller.startStream(head);
            caller.endStream();
        },
        eventStreamEnd: () => ({
            hasEvents: splitter.hasEvents(),
            lastEventId: splitter.lastId(),
            unfinishedBytes: splitter.unfinishedBytes(),
        }),
        progress: () =>
            caller.hasStarted() ? { hasEvents: splitter.hasEvents(), lastEventId: splitter.lastId() } : undefined,
    };
}
