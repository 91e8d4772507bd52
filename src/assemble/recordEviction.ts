/**
 * @module
 * Records that a connection of a caller is closed because others need what it holds.
 */
import type { Socket } from "node:net";
import type { EvictionReason } from "../io/http/createCallerConnections.js";
import type { InstanceContext } from "./routerPorts.js";

/**
 * Counts and logs an eviction.
 *
 * @param context - The instance.
 * @param socket - The connection.
 * @param reason - What ran short, or what the connection held.
 * @param fields - What decided.
 */
export function recordEviction(
    { metrics, writeLog }: Pick<InstanceContext, "metrics" | "writeLog">,
    { bytesRead, remoteAddress }: Socket,
    reason: EvictionReason,
    fields: Readonly<Record<string, unknown>>,
): void {
    metrics.evictedConnections.inc({ reason });
    writeLog("connectionEvicted", { reason, remoteAddress, bytesRead, ...fields });
}
