/**
 * @module
 * Decodes statements about the load of upstreams that a heartbeat relays.
 */
import { ageUnitMs, entryBytes, paceUnit } from "./_lib/loadFormat.js";
import type { LoadStatement } from "./loadTypes.js";

const fromPaceUnits = (units: number) => (units === 0 ? undefined : units * paceUnit);

/**
 * Decodes statements.
 *
 * @param text - The entries in base64; bytes after the last whole entry are ignored.
 * @param nowMs - The present, in milliseconds on the local clock.
 * @param findUpstream - Finds an upstream by its 32-bit id; statements about unknown ones are left out.
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
        const upstream = findUpstream(bytes.readUInt32BE(at));
        if (upstream !== undefined) {
            statements.push({
                upstream,
                atMs: nowMs - bytes.readUInt8(at + 4) * ageUnitMs,
                running: bytes.readUInt16BE(at + 5),
                waiting: bytes.readUInt8(at + 7),
                pace: fromPaceUnits(bytes.readUInt8(at + 8)),
                slowness: fromPaceUnits(bytes.readUInt8(at + 9)),
            });
        }
    }
    return statements;
}
