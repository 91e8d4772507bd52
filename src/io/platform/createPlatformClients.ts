/**
 * @module
 * Adapters of the platform's instance list, weight store and KV store.
 */
import * as z from "zod";
import type { CountStoredBlocks, ReadInstances, ReadWeightVersions } from "../../core/ports/platformPort.js";
import type { CallJson } from "./callJson.js";

const instancesSchema = z.object({
    instances: z.array(
        z.object({ address: z.string(), role: z.enum(["entry", "upstream"]), state: z.enum(["live", "leaving"]) }),
    ),
});
const versionsSchema = z.object({ versions: z.array(z.string()) });
const countSchema = z.object({ count: z.number().int().min(0) });
const timeoutMs = 2_000;

/**
 * Creates the reader of the instance list.
 *
 * @param url - URL of the list.
 * @param callJson - Performs the calls.
 * @returns The port.
 */
export function createInstanceListReader(url: string, callJson: CallJson): ReadInstances {
    return async () => {
        const read = await callJson({ method: "GET", url, timeoutMs, schema: instancesSchema });
        return read.map(value => value.instances);
    };
}

/**
 * Creates the reader of the weight store.
 *
 * @param baseUrl - Base URL of the store.
 * @param callJson - Performs the calls.
 * @returns The port.
 */
export function createWeightVersionReader(baseUrl: string, callJson: CallJson): ReadWeightVersions {
    return async model => {
        const url = `${baseUrl}/weights/${model}`;
        const read = await callJson({ method: "GET", url, timeoutMs, schema: versionsSchema });
        return read.map(value => value.versions);
    };
}

/**
 * Creates the function that counts the blocks of a chain that the KV store holds.
 *
 * @param baseUrl - Base URL of the store.
 * @param callJson - Performs the calls.
 * @returns The port.
 */
export function createStoredBlockCounter(baseUrl: string, callJson: CallJson): CountStoredBlocks {
    return async (cacheSalt, blocks) => {
        const body = { cacheSalt, blocks };
        const read = await callJson({
            method: "POST",
            url: `${baseUrl}/kv/count`,
            body,
            timeoutMs,
            schema: countSchema,
        });
        return read.map(value => value.count);
    };
}
