/**
 * @module
 * Encodes statements about the load of upstreams for heartbeats.
 */
import {
    ageUnitMs,
    entryBytes,
    idBits,
    maxAgeUnits,
    maxExactRunning,
    maxPaceUnits,
    maxRunningUnits,
    maxWaiting,
    pacesPerOctave,
    runningStep,
    usualPaceUnits,
} from "./_lib/loadFormat.js";
import type { LoadStatement } from "./loadTypes.js";

/** Longest age that is relayed, in milliseconds. */
export const maxRelayedAgeMs = ageUnitMs * maxAgeUnits;

function toPaceUnits(pace: number | undefined): number {
    if (pace === undefined) {
        return 0;
    }
    const units = usualPaceUnits + Math.round(Math.log2(pace) * pacesPerOctave);
    return Math.min(maxPaceUnits, Math.max(1, units));
}

function toRunningUnits(running: number): number {
    const stepped = maxExactRunning + Math.round((running - maxExactRunning) / runningStep);
    return running <= maxExactRunning ? running : Math.min(maxRunningUnits, stepped);
}

/**
 * Encodes statements. Ages are rounded up, so that no relay makes a statement look newer.
 *
 * @param statements - The statements; those that are too old are left out.
 * @param nowMs - The present, in milliseconds on the local clock.
 * @param deriveId - Derives the id of an upstream, 24 bits.
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
        let at = bytes.writeUIntBE(deriveId(upstream), index * entryBytes, idBits / 8);
        at = bytes.writeUInt8(Math.max(0, Math.ceil((nowMs - atMs) / ageUnitMs)), at);
        at = bytes.writeUInt8(toRunningUnits(running), at);
        const paces = toPaceUnits(pace) << 6 | toPaceUnits(slowness);
        bytes.writeUInt16BE(Math.min(maxWaiting, waiting) << 12 | paces, at);
    });
    return bytes.toString("base64");
}
