/**
 * @module
 * All error kinds and the answer that a caller receives for each.
 */

/** What is known about the execution of a request that was not answered normally. */
export type ExecutionOutcome = "run" | "notRun" | "unknown";

/** What a caller may do after an error: never retry, retry later, retry with the same key, or use another entry. */
export type RetryAdvice = "doNotRetry" | "retryLater" | "retrySameKey" | "retryOtherEntry";

/** The answer to the caller for one error kind. */
export interface ErrorAnswer {
    /** HTTP status code. */
    readonly status: number;
    readonly outcome: ExecutionOutcome;
    readonly advice: RetryAdvice;
    /** Human-readable sentence; details are appended to it. */
    readonly sentence: string;
}

function define(status: number, outcome: ExecutionOutcome, advice: RetryAdvice, sentence: string): ErrorAnswer {
    return { status, outcome, advice, sentence };
}

/** Every error kind with its answer. A refusal cannot have a kind that is not listed here. */
export const errorTable = {
    malformedRequest: define(400, "notRun", "doNotRetry", "The request is malformed."),
    missingIdempotencyKey: define(400, "notRun", "doNotRetry", "This call needs an Idempotency-Key header."),
    malformedIdempotencyKey: define(400, "notRun", "doNotRetry", "The Idempotency-Key header is malformed."),
    unknownCustomer: define(401, "notRun", "doNotRetry", "The customer is not in the catalogue."),
    wrongCredential: define(401, "notRun", "doNotRetry", "The credential does not match the customer."),
    unknownModel: define(404, "notRun", "doNotRetry", "The model is not in the catalogue."),
    unknownService: define(404, "notRun", "doNotRetry", "The service is not in the catalogue."),
    unknownRoute: define(404, "notRun", "doNotRetry", "No route matches this path."),
    slowSender: define(408, "notRun", "retrySameKey", "The request body did not arrive in time."),
    alreadyRunning: define(409, "unknown", "retrySameKey", "A call with this key is claimed and not yet finished."),
    alreadyRun: define(409, "run", "doNotRetry", "A call with this key was run; its answer is no longer stored."),
    keyExpired: define(410, "unknown", "doNotRetry", "The Idempotency-Key is too old to be looked up."),
    keyReused: define(422, "notRun", "doNotRetry", "This key was used with a different request."),
    bodyTooLarge: define(413, "notRun", "doNotRetry", "The request body is too large."),
    headersTooLarge: define(431, "notRun", "doNotRetry", "The request headers are too large or too many."),
    requestRateLimited: define(429, "notRun", "retryLater", "The customer's request rate limit is reached."),
    promptTokensLimited: define(429, "notRun", "retryLater", "The customer's prompt token limit is reached."),
    outputTokensLimited: define(429, "notRun", "retryLater", "The customer's output token limit is reached."),
    quotaSpent: define(429, "notRun", "retryLater", "The customer's quota is used up."),
    quotaUnavailable: define(503, "notRun", "retryLater", "No instance could grant the customer's quota."),
    inFlightLimited: define(429, "notRun", "retryLater", "The customer's limit of requests in flight is reached."),
    queueFull: define(503, "notRun", "retryLater", "The customer's queue is full."),
    overloaded: define(
        503,
        "notRun",
        "retryLater",
        "The fleet is overloaded and rejects requests of this class of service.",
    ),
    deadlineTooShort: define(503, "notRun", "retryLater", "The predicted wait exceeds the deadline."),
    noUpstream: define(503, "notRun", "retryLater", "No upstream is available for this request."),
    promptQuarantined: define(503, "notRun", "doNotRetry", "A part of the prompt ends engines and is held back."),
    noCatalogue: define(503, "notRun", "retryOtherEntry", "This instance has no catalogue yet."),
    claimUnavailable: define(503, "notRun", "retrySameKey", "The claim for this key could not be recorded."),
    memoryFull: define(503, "notRun", "retryOtherEntry", "The request bodies in progress hold too much memory."),
    stopping: define(503, "notRun", "retryOtherEntry", "This instance is shutting down."),
    upstreamNotReached: define(503, "notRun", "retryLater", "No upstream accepted the request."),
    deadlineBeforeSend: define(504, "notRun", "retrySameKey", "The deadline passed before the request was sent."),
    upstreamRejected: define(502, "notRun", "doNotRetry", "The upstream rejected the request."),
    streamInterrupted: define(502, "run", "retrySameKey", "The answer was interrupted and could not be continued."),
    outcomeUnknown: define(502, "unknown", "retrySameKey", "The upstream's answer was lost."),
    deadlineExceeded: define(504, "unknown", "retrySameKey", "The deadline passed before the answer was complete."),
    cancelled: define(499, "unknown", "retrySameKey", "The caller closed the connection."),
    forbidden: define(403, "notRun", "doNotRetry", "The shared secret is wrong."),
    internalError: define(500, "unknown", "retrySameKey", "Internal router error."),
} as const satisfies Record<string, ErrorAnswer>;

/** The name of an error kind, as it appears in answers and metrics. */
export type ErrorKind = keyof typeof errorTable;
