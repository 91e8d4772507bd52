/**
 * @module
 * Classifies errors of HTTP calls through undici by whether the call may have been acted on.
 */

/** A call without an answer. `notSent`: no byte of it can have been acted on; `lost`: it may have been acted on. */
export interface CallError {
    readonly kind: "notSent" | "lost";
    readonly detail: string;
}

/** Error codes after which no byte of the call can have reached the server. */
const notSentCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

function readCode(error: unknown): string {
    return error instanceof Error && "code" in error ? String(error.code) : "";
}

/**
 * Classifies the error of a call whose answer did not begin.
 *
 * @param error - What the call threw.
 * @returns Whether the call may have been acted on, with the error's message.
 */
export function classifyCallError(error: unknown): CallError {
    const detail = error instanceof Error ? error.message : String(error);
    return { kind: notSentCodes.has(readCode(error)) ? "notSent" : "lost", detail };
}

/**
 * Classifies the error of an answer's body.
 *
 * @param error - What the body emitted.
 * @returns `silent` after the idle timeout, else `cut`.
 */
export function classifyBodyError(error: unknown): "silent" | "cut" {
    return readCode(error) === "UND_ERR_BODY_TIMEOUT" ? "silent" : "cut";
}
