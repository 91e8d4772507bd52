/**
 * @module
 * Head of an upstream's event stream, for steps that write a stream to a caller.
 */

/** The head. */
export const streamHead = {
    status: 200,
    requestId: "attempt-1",
    isNotRun: false,
    rejection: undefined,
    retryAfterMs: undefined,
    load: undefined,
    signals: { stated: [], malformed: [] },
    weightsVersion: undefined,
    closesConnection: false,
    framing: "chunked",
    isSealed: true,
    isEncoded: false,
    bodyType: "eventStream",
    bodyLength: undefined,
    headers: [["content-type", "text/event-stream"]],
} as const;
