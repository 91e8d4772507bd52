/**
 * @module
 * Parses the parts of a prompt from a flag.
 */
import type { PromptPart } from "../../core/placement/placementTypes.js";

const partPattern = /^([^:,]+):(\d{1,9})$/;

function parsePart(entry: string): PromptPart | undefined {
    const [, id, tokens] = partPattern.exec(entry) ?? [];
    return id === undefined ? undefined : { id, tokens: Number(tokens) };
}

/**
 * Parses parts.
 *
 * @param text - Entries ID:TOKENS, separated by commas; may be empty.
 * @returns The parts in order; undefined when an entry is malformed.
 * @example
 * parsePromptParts("style:800,case:410"); // [{ id: "style", tokens: 800 }, { id: "case", tokens: 410 }]
 */
export function parsePromptParts(text: string): readonly PromptPart[] | undefined {
    const entries = text === "" ? [] : text.split(",");
    const parts = entries.map(parsePart).filter(part => part !== undefined);
    return parts.length === entries.length ? parts : undefined;
}
