/**
 * @module
 * Encodes statements about the load of upstreams for heartbeats.
 */
import {
    ageUnitMs,
    entryBytes,
    maxAgeUnits,
    maxPaceUnits,
    maxRunning,
    maxWaiting,
    paceUnit,
} from "./_lib/loadFormat.js";
import type { LoadStatement } from "./loadTypes.js";

/** Longest age that is relayed, in milliseconds. */
export const maxRelayedAgeMs = ageUnitMs * maxAgeUnits;

function toPaceUnits(pace: number | undefined): number {
    return pace === undefined ? 0 : Math.min(maxPaceUnits, Math.max(1, Math.round(pace / paceUnit)));
}

/**
 * Encodes statements. Ages are rounded up, so that no relay makes a statement look newer.
 *
 * @param statements - The statements; those that are too old are left out.
 * @param nowMs - The present, in milliseconds on the local clock.
 * @param deriveId - Derives the id of an upstream, 32 bits.
 * @returns The entries in base64.
 * @example
 * encodeLoads([], clock.now(), deriveId); // ""
 */
export function encodeLoads(
    statements: readonly LoadStatement[],
    nowMs: number,
    deriveId: (upstream: string) => number,
): string {
    const listed = statements.filter(one => nowMs - one.atMs <= maxRelayedAgeMs);
    const bytes = Buffer.alloc(listed.length * entryBytes);
    listed.forEach(({ upstream, atMs, running, waiting, pace, slowness }, index) => {
        let at = bytes.writeUInt32BE(deriveId(upstream), index * entryBytes);
        at = bytes.writeUInt8(Math.max(0, Math.ceil((nowMs - atMs) / ageUnitMs)), at);
        at = bytes.writeUInt16BE(Math.min(maxRunning, running), at);
        at = bytes.writeUInt8(Math.min(maxWaiting, waiting), at);
        at = bytes.writeUInt8(toPaceUnits(pace), at);
        bytes.writeUInt8(toPaceUnits(slowness), at);
    });
    return bytes.toString("base64");
}
