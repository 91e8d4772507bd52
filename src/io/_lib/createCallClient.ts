/**
 * @module
 * One HTTP connection for an instance's own calls to the store, engines and peers. It alone decides whether the answer to a
 * call is complete; whether it fits the call is for the caller to decide.
 */
import { Client, type Dispatcher } from "undici";
import { checkAnswerEnd } from "./checkAnswerEnd.js";
import { type CallAnswer, collectAnswer } from "./collectAnswer.js";
import { createWatchedConnector } from "./createWatchedConnector.js";

export type { CallAnswer } from "./collectAnswer.js";

/** A call. */
export interface CallRequest {
    readonly method?: Dispatcher.HttpMethod;
    /** Path and query. */
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Buffer | undefined;
    /** Aborts the call. */
    readonly signal: AbortSignal;
}

/** A connection that carries one call at a time. */
export interface CallClient {
    /** Returns the complete answer; throws when there is none. The connection must not be used again after that. */
    readonly call: (req: CallRequest) => Promise<CallAnswer>;
    /** Closes the connection now. */
    readonly close: () => void;
    readonly isClosed: () => boolean;
}

/** Options of {@link createCallClient}. */
export interface CallClientOptions {
    readonly connectTimeoutMs: number;
    /** Largest body of an answer, in bytes; with its head and framing, twice as many may arrive. */
    readonly maxBodyBytes: number;
    /** Whether the connection carries one call only. */
    readonly isSingleUse?: boolean;
}

/**
 * Creates a client that is not connected yet.
 *
 * @param address - "ip:port" of the server.
 * @param options - Limits.
 * @returns The client.
 */
export function createCallClient(address: string, options: CallClientOptions): CallClient {
    const { maxBodyBytes, isSingleUse: reset = false } = options;
    const connector = createWatchedConnector(options.connectTimeoutMs);
    const client = new Client(`http://${address}`, { connect: connector.connect, pipelining: 1 });
    const checked = client.compose(dispatch => (req, handler) => dispatch(req, checkAnswerEnd(handler, connector)));

    function call({ method = "GET", path, headers = {}, body, signal }: CallRequest): Promise<CallAnswer> {
        connector.allowBytes(2 * maxBodyBytes);
        return collectAnswer(checked, { method, path, headers, body, reset }, { maxBodyBytes, signal });
    }

    return {
        call,
        // Destroying a client a second time rejects; the connection is already closed then.
        close: () => void client.destroy().catch(() => undefined),
        isClosed: () => client.destroyed,
    };
}
