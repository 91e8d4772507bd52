/**
 * @module
 * Sends one HTTP request over a connection of its own.
 */
import { type CallAnswer, type CallRequest, createCallClient } from "./createCallClient.js";

/** Connect timeout, in milliseconds; the signal of a call usually ends it earlier. */
const connectTimeoutMs = 10_000;

/** Largest body of an answer, in bytes, unless the call has its own limit. */
const defaultMaxBodyBytes = 4 * 1024 * 1024;

/** Options of {@link requestOnce}. */
export interface RequestOnceOptions extends Omit<CallRequest, "path"> {
    /** Largest body of an answer, in bytes. */
    readonly maxBodyBytes?: number;
}

/**
 * Sends a request over a new connection, which is closed after the answer: an unresponsive call delays no other, and a
 * late answer cannot be taken for that to another call.
 *
 * @param address - "ip:port" of the server.
 * @param path - Path and query.
 * @param options - Method (GET unless given), headers, body, limit and the signal that aborts the request.
 * @returns The complete answer.
 * @throws Error when there is none.
 */
export async function requestOnce(address: string, path: string, options: RequestOnceOptions): Promise<CallAnswer> {
    const { maxBodyBytes = defaultMaxBodyBytes, ...req } = options;
    const client = createCallClient(address, { connectTimeoutMs, maxBodyBytes, isSingleUse: true });
    try {
        return await client.call({ path, ...req });
    }
    finally {
        client.close();
    }
}
