/**
 * @module
 * Adapter of the platform's append-only log.
 */
import * as z from "zod";
import type { LogPort } from "../../core/ports/logPort.js";
import type { CallJson } from "./callJson.js";

const appendSchema = z.object({ firstOffset: z.number().int().min(0) });
const pageSchema = z.object({
    firstKept: z.number().int().min(0),
    end: z.number().int().min(0),
    records: z.array(z.object({ offset: z.number().int().min(0), payload: z.string() })),
});

/** Time limit of a call in addition to its wait time, in milliseconds. */
const callTimeoutMs = 2_000;

/**
 * Creates the adapter: POST /streams/NAME appends, GET /streams/NAME?from=N&waitMs=N reads.
 *
 * @param baseUrl - Base URL of the log.
 * @param callJson - Performs the calls.
 * @returns The port.
 */
export function createLogClient(baseUrl: string, callJson: CallJson): LogPort {
    const base = baseUrl.replace(/\/$/, "");
    return {
        append: (stream, payloads) =>
            callJson({
                method: "POST",
                url: `${base}/streams/${stream}`,
                body: { payloads },
                timeoutMs: callTimeoutMs,
                schema: appendSchema,
            }),
        read: (stream, fromOffset, waitMs) =>
            callJson({
                method: "GET",
                url: `${base}/streams/${stream}?from=${fromOffset}&waitMs=${waitMs}`,
                timeoutMs: waitMs + callTimeoutMs,
                schema: pageSchema,
            }),
    };
}
