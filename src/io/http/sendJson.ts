/**
 * @module
 * Sends an answer of JSON.
 */
import type { ServerResponse } from "node:http";

/**
 * Sends an answer.
 *
 * @param res - The response.
 * @param status - The status.
 * @param text - The JSON text.
 */
export function sendJson(res: ServerResponse, status: number, text: string): void {
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
}
