/**
 * @module
 * Dispatches a call and collects its answer up to a limit.
 */
import type { Dispatcher } from "undici";
import { createPauseGate } from "../../core/_lib/createPauseGate.js";
import { createBlockBuffer } from "../../core/memory/createBlockBuffer.js";
import { createTurnShare, type TurnShare } from "../../core/time/createTurnShare.js";
import { deferInTurn } from "./deferInTurn.js";

/** Thrown when a body exceeds its limit. */
export class BodyLimitError extends Error {
    /**
     * Creates the error.
     *
     * @param maxBytes - The limit in bytes.
     */
    constructor(maxBytes: number) {
        super(`the body exceeds ${maxBytes} bytes`);
    }
}

/** A complete answer. */
export interface CallAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
}

/** Options of {@link collectAnswer}. */
export interface CollectAnswerOptions {
    /** Largest body, in bytes. */
    readonly maxBodyBytes: number;
    /** Aborts the call. */
    readonly signal: AbortSignal;
}

const firstFinalStatus = 200;

/** Collects one answer. */
class AnswerCollector implements Dispatcher.DispatchHandler {
    private readonly body;
    private head: Pick<CallAnswer, "status" | "headers"> | undefined;
    private share: TurnShare | undefined;
    private endListening: () => void = () => undefined;

    constructor(
        private readonly options: CollectAnswerOptions,
        private readonly resolve: (answer: CallAnswer) => void,
        private readonly reject: (err: Error) => void,
    ) {
        this.body = createBlockBuffer({ maxBytes: options.maxBodyBytes });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        const { signal } = this.options;
        const abort = () => controller.abort(signal.reason as Error);
        if (signal.aborted) {
            abort();
            return;
        }
        signal.addEventListener("abort", abort);
        this.endListening = () => signal.removeEventListener("abort", abort);
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: CallAnswer["headers"]): void {
        if (status >= firstFinalStatus) {
            this.head = { status, headers };
            this.share = createTurnShare({ pause: createPauseGate(controller).hold, defer: deferInTurn });
        }
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.body.append(chunk) !== "appended") {
            // An upstream in trouble may send bytes without end.
            controller.abort(new BodyLimitError(this.options.maxBodyBytes));
            return;
        }
        this.share?.record();
    }

    onResponseEnd(): void {
        this.end();
        const { buffer, byteOffset, length } = this.body.take();
        this.resolve({ ...this.head!, body: Buffer.from(buffer, byteOffset, length) });
    }

    onResponseError(_: Dispatcher.DispatchController | undefined, err: Error): void {
        this.end();
        this.reject(err);
    }

    private end(): void {
        this.endListening();
        this.share?.close();
    }
}

/**
 * Dispatches a call and collects its answer. Beyond the limit the connection is closed.
 *
 * @param dispatcher - Sends the call.
 * @param call - The call.
 * @param options - The limit, and the signal that aborts the call.
 * @returns The complete answer.
 * @throws {@link BodyLimitError} when the body is longer; the reason of the signal, or an error when there is no complete
 * answer.
 */
export function collectAnswer(
    dispatcher: Pick<Dispatcher, "dispatch">,
    call: Dispatcher.DispatchOptions,
    options: CollectAnswerOptions,
): Promise<CallAnswer> {
    return new Promise((resolve, reject) => {
        dispatcher.dispatch(call, new AnswerCollector(options, resolve, reject));
    });
}
