/**
 * @module
 * An HTTP client of one connection that reports an answer without length as failed when its connection was reset.
 */
import { Client, type Dispatcher } from "undici";
import { checkAnswerEnd } from "./checkAnswerEnd.js";
import { createWatchedConnector } from "./createWatchedConnector.js";

/** Options of {@link createCheckedClient}. */
export interface CheckedClientOptions {
    readonly connectTimeoutMs: number;
    /** Idle timeout of a response body, in milliseconds. */
    readonly bodyTimeoutMs: number;
}

/**
 * Creates a client that is not connected yet.
 *
 * @param origin - Scheme, host and port.
 * @param options - Time limits.
 * @returns The client.
 */
export function createCheckedClient(origin: string | URL, options: CheckedClientOptions): Dispatcher {
    const connection = createWatchedConnector(options.connectTimeoutMs);
    const client = new Client(origin, {
        connect: connection.connect,
        bodyTimeout: options.bodyTimeoutMs,
        pipelining: 1,
    });
    return client.compose(dispatch => (request, handler) => dispatch(request, checkAnswerEnd(handler, connection)));
}
