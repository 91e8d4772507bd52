/**
 * @module
 * Client of a model engine's control endpoints: load, cache events, state, orders, KV transfers and cancellation.
 */
import { ok } from "true-myth/result";
import * as z from "zod";
import type { EnginePort } from "../../core/ports/enginePort.js";
import type { CallJson } from "../platform/callJson.js";

/** Schema of an engine's load report, also in the header `x-load` of an answer. */
export const loadSchema = z.object({
    incarnation: z.string(),
    weightsVersion: z.string(),
    queuedRequests: z.number().min(0),
    runningRequests: z.number().min(0),
    queuedPromptTokens: z.number().min(0),
    leaving: z.boolean(),
});
const eventsSchema = z.object({
    incarnation: z.string(),
    nextSequence: z.number().int().min(0),
    events: z.array(z.object({
        sequence: z.number().int().min(0),
        action: z.enum(["stored", "evicted"]),
        block: z.string().regex(/^[0-9a-f]{1,16}$/),
    })),
});
const stateSchema = z.object({
    incarnation: z.string(),
    role: z.string(),
    loaded: z.array(z.string()),
    loading: z.array(z.string()),
    lastFencingNumber: z.number(),
});
const countSchema = z.object({ count: z.number().int().min(0) });
const anySchema = z.unknown();
const timeoutMs = 2_000;

/**
 * Creates the adapter.
 *
 * @param callJson - Performs the calls.
 * @returns The port.
 */
export function createEngineClient(callJson: CallJson): EnginePort {
    const get = <T>(address: string, path: string, schema: z.ZodType<T>) =>
        callJson({ method: "GET", url: `http://${address}${path}`, timeoutMs, schema });
    const post = <T>(address: string, path: string, body: unknown, schema: z.ZodType<T>) =>
        callJson({ method: "POST", url: `http://${address}${path}`, body, timeoutMs, schema });
    return {
        readLoad: address => get(address, "/load", loadSchema),
        readCacheEvents: (address, from) => get(address, `/cache-events?from=${from}`, eventsSchema),
        readState: address => get(address, "/state", stateSchema),
        sendOrder: (address, order) => post(address, "/orders", order, stateSchema),
        importKv: async (address, transfer) =>
            (await post(address, "/kv/import", transfer, countSchema)).map(value => value.count),
        exportKv: async (address, transfer) =>
            (await post(address, "/kv/export", transfer, countSchema)).map(value => value.count),
        cancelStream: async (address, streamId) => {
            const url = `http://${address}/v1/streams/${streamId}`;
            const cancelled = await callJson({ method: "DELETE", url, timeoutMs, schema: anySchema });
            return cancelled.andThen(() => ok(undefined));
        },
    };
}
