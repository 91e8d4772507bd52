/**
 * @module
 * Ends an answer with an error when its status is none, or when the end of its connection shows that it is incomplete.
 */
import type { Dispatcher } from "undici";
import { classifyStatus } from "../../core/proxy/classifyStatus.js";
import { findIncompleteReason } from "../../core/proxy/findIncompleteReason.js";
import type { WatchedConnector } from "./createWatchedConnector.js";
import { findAnswerFraming } from "./findAnswerFraming.js";

/**
 * Wraps the handler of one answer: undici takes any end of a connection for the end of an answer without length.
 *
 * @param handler - Receives the answer.
 * @param connection - The connection on which it arrives.
 * @returns The handler to dispatch with.
 */
export function checkAnswerEnd(
    handler: Dispatcher.DispatchHandler,
    connection: Pick<WatchedConnector, "state" | "expectEnd">,
): Dispatcher.DispatchHandler {
    let framing = findAnswerFraming(() => false);
    return {
        onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
        onResponseStart: (controller, status, headers, statusText) => {
            if (classifyStatus(status) === "invalid") {
                controller.abort(new Error(`the answer states ${status}, which is no status`));
                return;
            }
            framing = findAnswerFraming(name => headers[name] !== undefined);
            if (framing === "connectionClose") {
                connection.expectEnd();
            }
            handler.onResponseStart?.(controller, status, headers, statusText);
        },
        onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
        onResponseEnd: (controller, trailers) => {
            const reason = findIncompleteReason({ framing, connection: connection.state(), eventStream: undefined });
            if (reason !== undefined) {
                handler.onResponseError?.(controller, new Error(reason));
                return;
            }
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    };
}
