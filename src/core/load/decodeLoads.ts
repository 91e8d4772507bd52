/**
 * @module
 * Decodes statements about the load of upstreams that a heartbeat relays.
 */
import {
    ageUnitMs,
    entryBytes,
    idBits,
    maxExactRunning,
    maxPaceUnits,
    pacesPerOctave,
    runningStep,
    usualPaceUnits,
} from "./_lib/loadFormat.js";
import type { LoadStatement } from "./loadTypes.js";

const fromPaceUnits = (units: number) => units === 0 ? undefined : 2 ** ((units - usualPaceUnits) / pacesPerOctave);

const fromRunningUnits = (units: number) =>
    units <= maxExactRunning ? units : maxExactRunning + (units - maxExactRunning) * runningStep;

/**
 * Decodes statements.
 *
 * @param text - The entries in base64; bytes after the last whole entry are ignored.
 * @param nowMs - The present, in milliseconds on the local clock.
 * @param findUpstream - Finds an upstream by its 24-bit id; statements about unknown ones are left out.
 * @returns The statements.
 * @example
 * decodeLoads("", clock.now(), () => undefined); // []
 */
export function decodeLoads(
    text: string,
    nowMs: number,
    findUpstream: (id: number) => string | undefined,
): readonly LoadStatement[] {
    const bytes = Buffer.from(text, "base64");
    const statements: LoadStatement[] = [];
    for (let at = 0; at + entryBytes <= bytes.length; at += entryBytes) {
        const upstream = findUpstream(bytes.readUIntBE(at, idBits / 8));
        const rest = bytes.readUInt16BE(at + 5);
        if (upstream !== undefined) {
            statements.push({
                upstream,
                atMs: nowMs - bytes.readUInt8(at + 3) * ageUnitMs,
                running: fromRunningUnits(bytes.readUInt8(at + 4)),
                waiting: rest >> 12,
                pace: fromPaceUnits(rest >> 6 & maxPaceUnits),
                slowness: fromPaceUnits(rest & maxPaceUnits),
            });
        }
    }
    return statements;
}
