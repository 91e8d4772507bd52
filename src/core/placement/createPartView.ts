/**
 * @module
 * Which prompt parts engines and stores of kept cache hold: from the events that they publish, late and with gaps, and
 * from this instance's own sends, whose events have not arrived yet.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import type { Prompt, PromptPart } from "./placementTypes.js";

/** A change of what a holder keeps. */
export interface PartEvent {
    readonly salt: string;
    readonly part: string;
    /** Tokens of the part that are kept now; 0 when it was evicted. */
    readonly tokens: number;
}

/** The view. Times are milliseconds on the instance's clock. */
export interface PartView {
    readonly applyEvents: (holder: string, events: readonly PartEvent[]) => void;
    /** Forgets all parts of a holder, as after its restart. */
    readonly removeHolder: (holder: string) => void;
    /** Prompt tokens from the start of the prompt that a holder keeps without a gap; the last part is never counted. */
    readonly countCachedTokens: (prompt: Prompt, salt: string, holder: string, nowMs: number) => number;
    /** Notes that an engine was sent a prompt, and reads its parts. */
    readonly recordSent: (prompt: Prompt, salt: string, engine: string, nowMs: number) => void;
    /** Rank of an engine among those that instances choose alike for a prompt that nobody holds; 0 is first. */
    readonly rankByRendezvous: (prompt: Prompt, salt: string, engines: readonly string[]) => readonly string[];
}

/** Time for which an own send stands in for the events of the engine that reads it, in milliseconds. */
const sentLifeMs = 1_500;

/** Parts that are kept of one holder; beyond it, those that were told first are forgotten. */
const maxParts = 20_000;

interface Holder {
    /** Tokens by salt and part. */
    readonly tokens: Map<string, number>;
    /** When this instance last sent the part. */
    readonly sentMs: Map<string, number>;
}

const keyOf = (salt: string, part: string) => `${salt} ${part}`;

/** Parts before the last one, which belongs to the request itself. */
function listShared(prompt: Prompt): readonly PromptPart[] {
    return prompt.parts.slice(0, -1);
}

/**
 * Names the shared prompt of a request.
 *
 * @param prompt - The prompt.
 * @param salt - The salt of its cached parts.
 * @returns The same text for all requests that share everything but their last part.
 * @example
 * findSharedKey(prompt, "adapt/3/shared");
 */
export function deriveSharedKey(prompt: Prompt, salt: string): string {
    return keyOf(salt, listShared(prompt).map(part => part.id).join("/"));
}

/** Drops the oldest entries beyond a number. */
function limitSize(entries: Map<string, number>): void {
    for (const key of entries.keys()) {
        if (entries.size <= maxParts) {
            return;
        }
        entries.delete(key);
    }
}

/**
 * Creates an empty view.
 *
 * @returns The view.
 * @example
 * const view = createPartView();
 * view.takeEvents("engine-1", [{ salt: "adapt/3/shared", part: "5c1e", tokens: 800 }]);
 */
export function createPartView(): PartView {
    const holders = new Map<string, Holder>();

    function holderOf(id: string): Holder {
        const known = holders.get(id);
        if (known !== undefined) {
            return known;
        }
        const holder: Holder = { tokens: new Map(), sentMs: new Map() };
        holders.set(id, holder);
        return holder;
    }

    function takeEvents(id: string, events: readonly PartEvent[]): void {
        const { tokens } = holderOf(id);
        for (const event of events) {
            const key = keyOf(event.salt, event.part);
            tokens.delete(key);
            if (event.tokens > 0) {
                tokens.set(key, event.tokens);
            }
        }
        limitSize(tokens);
    }

    function countPart(holder: Holder, key: string, part: PromptPart, nowMs: number): number {
        const sentMs = holder.sentMs.get(key);
        if (sentMs !== undefined && nowMs - sentMs < sentLifeMs) {
            return part.tokens;
        }
        return Math.min(part.tokens, holder.tokens.get(key) ?? 0);
    }

    function countHeld(prompt: Prompt, salt: string, id: string, nowMs: number): number {
        const holder = holders.get(id);
        let held = 0;
        if (holder === undefined) {
            return held;
        }
        for (const part of listShared(prompt)) {
            const tokens = countPart(holder, keyOf(salt, part.id), part, nowMs);
            held += tokens;
            if (tokens < part.tokens) {
                break;
            }
        }
        return held;
    }

    function noteSent(prompt: Prompt, salt: string, engine: string, nowMs: number): void {
        const { sentMs } = holderOf(engine);
        for (const part of listShared(prompt)) {
            const key = keyOf(salt, part.id);
            sentMs.delete(key);
            sentMs.set(key, nowMs);
        }
        limitSize(sentMs);
    }

    function rankHome(prompt: Prompt, salt: string, engines: readonly string[]): readonly string[] {
        const hash = hashText(deriveSharedKey(prompt, salt));
        const scored = engines.map(engine => ({ engine, score: scoreRendezvous(hash, engine) }));
        return scored.toSorted((left, right) => (left.score > right.score ? -1 : 1)).map(one => one.engine);
    }

    return {
        applyEvents: takeEvents,
        removeHolder: id => {
            holders.delete(id);
        },
        countCachedTokens: countHeld,
        recordSent: noteSent,
        rankByRendezvous: rankHome,
    };
}
