/**
 * @module
 * Writes a refusal as the caller's answer.
 */
import type { ServerResponse } from "node:http";
import { millisecondsPerSecond } from "../../core/constants.js";
import type { Refusal } from "../../core/errors/createRefusal.js";
import { errorTable } from "../../core/errors/errorTable.js";
import { formatRefusal } from "../../core/errors/formatRefusal.js";

/**
 * Writes a refusal: as status and JSON body, or as an error event when the event stream has begun.
 *
 * @param res - The caller's answer.
 * @param refusal - The refusal.
 * @param requestId - Id of the request.
 */
export function writeRefusal(res: ServerResponse, refusal: Refusal, requestId: string): void {
    if (res.writableEnded || res.destroyed) {
        return;
    }
    const body = JSON.stringify(formatRefusal(refusal, requestId));
    if (res.headersSent) {
        res.end(`event: error\ndata: ${body}\n\n`);
        return;
    }
    const row = errorTable[refusal.kind];
    res.statusCode = row.status;
    res.setHeader("content-type", "application/json");
    res.setHeader("x-outcome", row.outcome);
    res.setHeader("x-request-id", requestId);
    if (refusal.retryAfterMs !== undefined) {
        res.setHeader("retry-after", String(Math.ceil(refusal.retryAfterMs / millisecondsPerSecond)));
        res.setHeader("retry-after-ms", String(refusal.retryAfterMs));
    }
    if (row.status === 408 || row.status === 413) {
        res.setHeader("connection", "close");
    }
    res.end(body);
}
