/**
 * @module
 * Answers a request with a refusal.
 */
import type { ServerResponse } from "node:http";
import { millisecondsPerSecond } from "../../core/constants.js";
import type { Refusal } from "../../core/errors/createRefusal.js";
import { errorTable } from "../../core/errors/errorTable.js";
import { formatRefusal } from "../../core/errors/formatRefusal.js";

/** Options of {@link writePlainRefusal}. */
export interface PlainRefusalOptions {
    readonly requestId: string;
    readonly isClosing: () => boolean;
}

/**
 * Writes a refusal with its status and, if known, a retry-after header.
 *
 * @param res - The response.
 * @param refusal - The refusal.
 * @param options - Id of the request, and whether the connection is closed after the answer.
 */
export function writePlainRefusal(res: ServerResponse, refusal: Refusal, options: PlainRefusalOptions): void {
    const body = Buffer.from(JSON.stringify(formatRefusal(refusal, options.requestId)));
    res.statusCode = errorTable[refusal.kind].status;
    res.setHeader("content-type", "application/json");
    res.setHeader("content-length", body.length);
    if (refusal.retryAfterMs !== undefined) {
        res.setHeader("retry-after", (refusal.retryAfterMs / millisecondsPerSecond).toFixed(2));
    }
    if (options.isClosing()) {
        res.shouldKeepAlive = false;
    }
    res.end(body);
}
