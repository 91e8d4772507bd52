/**
 * @module
 * Sends one HTTP request over a connection of its own.
 */
import { Client, type Dispatcher } from "undici";
import { createWatchedConnector } from "./createWatchedConnector.js";

/** Connect timeout, in milliseconds; the signal of a call usually ends it earlier. */
const connectTimeoutMs = 10_000;

/** Most bytes of an answer with its head and framing. */
const maxAnswerBytes = 8 * 1024 * 1024;

/** Options of {@link requestOnce}. */
export interface RequestOnceOptions {
    readonly method?: Dispatcher.HttpMethod;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Aborts the request and the answer's body. */
    readonly signal: AbortSignal;
}

/**
 * Sends a request over a new connection, which is closed after the answer: an unresponsive call delays no other, and a
 * late answer cannot be taken for that to another call.
 *
 * @param address - "ip:port" of the server.
 * @param path - Path and query.
 * @param options - Method (GET unless given), headers, body and the signal that aborts the request.
 * @returns The answer; its body has to be read or discarded.
 */
export async function requestOnce(
    address: string,
    path: string,
    options: RequestOnceOptions,
): Promise<Dispatcher.ResponseData> {
    const connector = createWatchedConnector(connectTimeoutMs);
    connector.allowBytes(maxAnswerBytes);
    const client = new Client(`http://${address}`, { connect: connector.connect, pipelining: 1 });
    const { method = "GET", ...others } = options;
    const answer = client.request({ path, method, ...others, reset: true });
    client.close().catch(() => undefined);
    return answer;
}
