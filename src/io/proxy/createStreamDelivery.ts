/**
 * @module
 * Forwards the events of one upstream's stream to the caller.
 */
import type { EventStreamEnd } from "../../core/proxy/answerEnd.js";
import type { StreamProgress } from "../../core/proxy/proxyTypes.js";
import type { EventSequence } from "../../core/stream/createEventSequence.js";
import { createEventSplitter } from "../../core/stream/createEventSplitter.js";
import type { CallerExchange } from "./createCallerExchange.js";
import type { AnswerHead } from "./proxyCodec.js";

/** Forwards one upstream's part of a stream. */
export interface StreamDelivery {
    /** Forwards a chunk; returns why it cannot be forwarded, or undefined. */
    readonly write: (chunk: Buffer) => string | undefined;
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
    /** Checks the events of a stream of which the caller has a part; undefined when these are the caller's first. */
    readonly sequence: EventSequence | undefined;
    /** Pauses reading from the upstream while much waits to be written to the caller; returns the function that resumes it. */
    readonly pause: () => () => void;
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
    const { caller, head, sequence } = options;
    const splitter = createEventSplitter();
    let isPaused = false;
    let progress: StreamProgress = { hasEvents: false, lastEventId: undefined };

    function pause(): void {
        isPaused = true;
        const resume = options.pause();
        caller.onDrained(() => {
            isPaused = false;
            resume();
        });
    }

    function forward(bytes: Uint8Array): void {
        caller.startStream(head);
        progress = { hasEvents: splitter.hasEvents(), lastEventId: splitter.lastId() };
        if (!caller.writeChunk(bytes) && !isPaused) {
            pause();
        }
    }

    return {
        write: chunk => {
            const completeEvents = splitter.push(chunk);
            if (splitter.pendingBytes() > maxEventBytes) {
                return "an event of the stream is too large";
            }
            if (completeEvents !== undefined && sequence?.accept(completeEvents) === false) {
                return "the events do not go on after the last one that the caller has";
            }
            const bytes = options.isResumable ? completeEvents : chunk;
            if (bytes !== undefined) {
                forward(bytes);
            }
            return undefined;
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
        progress: () => (caller.hasStarted() ? progress : undefined),
    };
}
