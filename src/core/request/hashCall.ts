/**
 * @module
 * Fingerprint of a call: distinguishes a retry from a different call with the same idempotency key.
 */
import { createHash } from "node:crypto";

/**
 * Hashes a call.
 *
 * @param method - HTTP method.
 * @param path - Path with the query.
 * @param body - The body.
 * @returns The hash in hexadecimal.
 * @example
 * hashCall("POST", "/confirmations", body) === hashCall("POST", "/confirmations", body); // true
 */
export function hashCall(method: string, path: string, body: Uint8Array): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body).digest("hex");
}
