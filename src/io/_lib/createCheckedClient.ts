/**
 * @module
 * An HTTP client of one connection that reports an answer without length as failed when its connection was reset.
 */
import { Client, type Dispatcher } from "undici";
import { createWatchedConnector, type WatchedConnector } from "./createWatchedConnector.js";
import { findAnswerFraming } from "./findAnswerFraming.js";

/** Options of {@link createCheckedClient}. */
export interface CheckedClientOptions {
    readonly connectTimeoutMs: number;
    /** Idle timeout of a response body, in milliseconds. */
    readonly bodyTimeoutMs: number;
}

/** Wraps the handler of one answer, so that a reset ends it with an error. */
function checkAnswerEnd(handler: Dispatcher.DispatchHandler, connection: WatchedConnector): Dispatcher.DispatchHandler {
    return {
        onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
        onResponseStart: (controller, status, headers, statusText) => {
            if (findAnswerFraming(name => headers[name] !== undefined) === "connectionClose") {
                connection.expectEnd();
            }
            handler.onResponseStart?.(controller, status, headers, statusText);
        },
        onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
        onResponseEnd: (controller, trailers) => {
            if (connection.state() === "reset") {
                const error = new Error("the connection was reset before the answer was complete");
                handler.onResponseError?.(controller, error);
                return;
            }
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    };
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
