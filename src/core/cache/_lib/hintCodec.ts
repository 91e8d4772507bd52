/**
 * @module
 * Compact encoding of the hints that instances exchange.
 */
import { parseJsonValue } from "../../_lib/parseJsonValue.js";

/** One exchanged hint. */
export interface SharedHint {
    readonly upstream: string;
    /** Incarnation of the upstream that the hint belongs to. */
    readonly incarnation: string;
    readonly block: bigint;
    /** Milliseconds since the hint was confirmed. */
    readonly ageMs: number;
}

interface Envelope {
    /** Upstreams with their incarnations; hints refer to them by position. */
    readonly upstreams: readonly (readonly [string, string])[];
    /** Hints of 12 bytes each, in base64. */
    readonly hints: string;
}

/** Bytes of one hint before base64: hash, upstream's position, age. */
const hintBytes = 12;

/** Length of one encoded hint. */
export const hintCharacters = (hintBytes / 3) * 4;

/** Maximum length of one encoded upstream, and of the envelope itself. */
export const upstreamCharacters = 144;

const ageUnitMs = 100;
const maxAgeUnits = 0xffff;
const maxUpstreams = 0xffff;

/**
 * Encodes hints.
 *
 * @param hints - The hints.
 * @returns A text of at most `hintCharacters` per hint, and `upstreamCharacters` per upstream and for the envelope.
 * @example
 * decodeHints(encodeHints(hints)).length === hints.length; // true
 */
export function encodeHints(hints: readonly SharedHint[]): string {
    const upstreams: (readonly [string, string])[] = [];
    const positions = new Map<string, number>();
    const bytes = Buffer.alloc(hints.length * hintBytes);
    hints.forEach((hint, index) => {
        let position = positions.get(hint.upstream);
        if (position === undefined) {
            position = upstreams.push([hint.upstream, hint.incarnation]) - 1;
            positions.set(hint.upstream, position);
        }
        const at = index * hintBytes;
        bytes.writeBigUInt64LE(hint.block, at);
        bytes.writeUInt16LE(position, at + 8);
        bytes.writeUInt16LE(Math.min(maxAgeUnits, Math.round(hint.ageMs / ageUnitMs)), at + 10);
    });
    const envelope: Envelope = { upstreams, hints: bytes.toString("base64") };
    return JSON.stringify(envelope);
}

function isEnvelope(value: unknown): value is Envelope {
    const { upstreams, hints } = (value ?? {}) as Partial<Envelope>;
    return typeof hints === "string" && Array.isArray(upstreams) && upstreams.length <= maxUpstreams
        && upstreams.every(one =>
            Array.isArray(one) && one.length === 2 && one.every(part => typeof part === "string")
        );
}

function parse(text: string): unknown {
    try {
        return parseJsonValue(text);
    }
    catch {
        return undefined;
    }
}

/**
 * Decodes hints.
 *
 * @param text - Result of {@link encodeHints}.
 * @returns The hints; none when the text is malformed.
 * @example
 * decodeHints("{}"); // []
 */
export function decodeHints(text: string): readonly SharedHint[] {
    const envelope = parse(text);
    if (!isEnvelope(envelope)) {
        return [];
    }
    const bytes = Buffer.from(envelope.hints, "base64");
    const hints: SharedHint[] = [];
    for (let at = 0; at + hintBytes <= bytes.length; at += hintBytes) {
        const upstream = envelope.upstreams[bytes.readUInt16LE(at + 8)];
        if (upstream !== undefined) {
            hints.push({
                upstream: upstream[0],
                incarnation: upstream[1],
                block: bytes.readBigUInt64LE(at),
                ageMs: bytes.readUInt16LE(at + 10) * ageUnitMs,
            });
        }
    }
    return hints;
}
