/**
 * @module
 * Which prompt parts each engine is likely to hold: from this instance's own sends, and from the home that every instance
 * computes alike for a shared prompt.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import type { Prompt } from "./placementTypes.js";

/** The view. Times are milliseconds on the instance's clock. */
export interface PartView {
    /** Prompt tokens that each engine would have to read, in the order of `engines`. */
    readonly estimateMissing: (prompt: Prompt, salt: string, engines: readonly string[], nowMs: number) => number[];
    /** Notes that an engine has read a prompt. */
    readonly noteRead: (prompt: Prompt, salt: string, engine: string, nowMs: number) => void;
    /** Forgets all parts of an engine. */
    readonly forget: (engine: string) => void;
}

/** Milliseconds after which a part that was not used again is taken as evicted. */
const partLifeMs = 15_000;

/** Parts that are kept of one engine. */
const maxParts = 4_096;

/** Share of a shared part's tokens that the first and second home of a prompt are expected to lack. */
const homeMissShares = [0.25, 0.6] as const;

/** Identity of the prompt up to and including each part. */
function listChains(prompt: Prompt, salt: string): readonly string[] {
    let chain = salt;
    return prompt.parts.map(part => {
        chain = `${chain}/${part.id}`;
        return chain;
    });
}

/** Identity of the parts before the last one, which belongs to the request itself. */
export function findSharedKey(prompt: Prompt, salt: string): string {
    const parts = prompt.parts.slice(0, -1).map(part => part.id).join("/");
    return `${salt}/${parts}`;
}

function rankHomes(key: string, engines: readonly string[]): readonly string[] {
    const hash = hashText(key);
    const scored = engines.map(engine => ({ engine, score: scoreRendezvous(hash, engine) }));
    scored.sort((left, right) => (left.score > right.score ? -1 : 1));
    return scored.slice(0, homeMissShares.length).map(one => one.engine);
}

/**
 * Creates an empty view.
 *
 * @returns The view.
 * @example
 * const view = createPartView();
 * view.noteRead(prompt, "adapt/3", "engine-1", clock.now());
 */
export function createPartView(): PartView {
    const held = new Map<string, Map<string, number>>();

    function isHeld(engine: string, chain: string, nowMs: number): boolean {
        const usedMs = held.get(engine)?.get(chain);
        return usedMs !== undefined && nowMs - usedMs < partLifeMs;
    }

    function countMissing(prompt: Prompt, chains: readonly string[], engine: string, home: number, nowMs: number): number {
        const missShare = homeMissShares[home] ?? 1;
        let missing = 0;
        let isPrefixHeld = true;
        prompt.parts.forEach((part, index) => {
            isPrefixHeld &&= isHeld(engine, chains[index]!, nowMs);
            const isOwn = index === prompt.parts.length - 1;
            if (!isPrefixHeld) {
                missing += isOwn ? part.tokens : part.tokens * missShare;
            }
        });
        return missing;
    }

    function estimateMissing(prompt: Prompt, salt: string, engines: readonly string[], nowMs: number): number[] {
        const chains = listChains(prompt, salt);
        const homes = rankHomes(findSharedKey(prompt, salt), engines);
        return engines.map(engine => countMissing(prompt, chains, engine, homes.indexOf(engine), nowMs));
    }

    function noteRead(prompt: Prompt, salt: string, engine: string, nowMs: number): void {
        const parts = held.get(engine) ?? new Map<string, number>();
        held.set(engine, parts);
        for (const chain of listChains(prompt, salt).slice(0, -1)) {
            parts.delete(chain);
            parts.set(chain, nowMs);
        }
        for (const chain of parts.keys()) {
            if (parts.size <= maxParts) {
                return;
            }
            parts.delete(chain);
        }
    }

    return {
        estimateMissing,
        noteRead,
        forget: engine => {
            held.delete(engine);
        },
    };
}
