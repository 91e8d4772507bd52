/**
 * @module
 * Takes one upstream's answer from its head to its end: forwards a stream as it arrives, and collects any other answer.
 */
import type { AnswerEnd, ConnectionState } from "../../core/proxy/answerEnd.js";
import { judgeAnswerEnd } from "../../core/proxy/judgeAnswerEnd.js";
import type { TakenAnswerUse } from "../../core/proxy/judgeAnswerHead.js";
import type { SendOutcome, StreamProgress } from "../../core/proxy/proxyTypes.js";
import { createEventSequence } from "../../core/stream/createEventSequence.js";
import { createAnswerCollection } from "./createAnswerCollection.js";
import { createStreamDelivery, type StreamDeliveryOptions } from "./createStreamDelivery.js";

/** Outcome of a send whose answer is complete. */
export type CompleteOutcome = Extract<SendOutcome, { readonly kind: "finished" | "answered" | "rejected"; }>;

/** An answer that is being taken. */
export interface AnswerIntake {
    /** Takes a chunk of the body; returns why the answer cannot be taken, or undefined. */
    readonly write: (chunk: Buffer) => string | undefined;
    /** Bytes that are held and not delivered. */
    readonly heldBytes: () => number;
    /** Whether an event of a stream was complete. */
    readonly hasEvents: () => boolean;
    /** What the caller has received of a stream; undefined when it has received nothing from this answer. */
    readonly progress: () => StreamProgress | undefined;
    /** Describes the end of the answer as of now. */
    readonly describeEnd: (connection: ConnectionState) => AnswerEnd;
    /** Returns why the answer is incomplete; undefined for a complete one. */
    readonly findIncompleteReason: (end: AnswerEnd) => string | undefined;
    /** Completes the answer: ends the caller's stream, or returns the answer to deliver. */
    readonly complete: () => CompleteOutcome;
}

/** Options of {@link createAnswerIntake}. */
export interface AnswerIntakeOptions extends Omit<StreamDeliveryOptions, "sequence"> {
    readonly use: TakenAnswerUse;
    /** Id of the last event that the caller has. */
    readonly lastEventId: string | undefined;
}

/**
 * Creates the intake of an answer whose head has arrived.
 *
 * @param options - The head, what the answer is worth, and the caller.
 * @returns The intake.
 */
export function createAnswerIntake(options: AnswerIntakeOptions): AnswerIntake {
    const { head, use, lastEventId } = options;
    const isForwarded = use.kind === "stream" || use.kind === "continuation";
    const sequence = use.kind === "continuation" ? createEventSequence(lastEventId) : undefined;
    const stream = isForwarded ? createStreamDelivery({ ...options, sequence }) : undefined;
    const collection = createAnswerCollection();
    const delivery = stream ?? collection;

    function complete(): CompleteOutcome {
        if (stream !== undefined) {
            stream.end();
            return { kind: "finished" };
        }
        const { status, retryAfterMs, headers } = head;
        return use.kind === "rejection"
            ? { kind: "rejected", status, reason: use.reason, retryAfterMs }
            : { kind: "answered", answer: collection.toAnswer(status, headers) };
    }

    return {
        write: delivery.write,
        heldBytes: delivery.heldBytes,
        hasEvents: () => stream?.eventStreamEnd().hasEvents === true,
        progress: () => stream?.progress(),
        describeEnd: connection => ({ framing: head.framing, connection, eventStream: stream?.eventStreamEnd() }),
        findIncompleteReason: end => judgeAnswerEnd(use, end),
        complete,
    };
}
