/**
 * @module
 * Tracks which prompt parts are cached by engines and cache stores: from the events that they publish, which arrive
 * late and with gaps, and from this instance's own sends, whose events have not arrived yet.
 */
import { computeFairLimit } from "../_lib/computeFairLimit.js";
import { listSharedParts } from "./_lib/listSharedParts.js";
import type { Prompt, PromptPart } from "./placementTypes.js";

/** A change in the cache of a holder, which is an engine or a cache store. */
export interface PartEvent {
    readonly salt: string;
    readonly part: string;
    /** Cached tokens of the part after the change; 0 when it was evicted. */
    readonly tokens: number;
}

/** Prompt parts cached by the holders. Times are milliseconds on the instance's clock. */
export interface PartView {
    readonly applyEvents: (holder: string, events: readonly PartEvent[]) => void;
    /** Removes a holder with all its parts, for example after its restart. */
    readonly removeHolder: (holder: string) => void;
    /** Counts a holder's cached tokens from the start of the prompt up to the first gap, without the last part. */
    readonly countCachedTokens: (prompt: Prompt, salt: string, holder: string, nowMs: number) => CachedTokens;
    /** Records that a prompt with these shared parts was sent to an engine, whose prefill will cache them. */
    readonly recordSent: (shared: readonly PromptPart[], salt: string, engine: string, nowMs: number) => void;
    /** Records that an engine has begun its answer to a prompt, so that it has cached the shared parts. */
    readonly recordPrefilled: (prompt: Prompt, salt: string, engine: string) => void;
}

/** Tokens of a prompt that a holder has cached. */
export interface CachedTokens {
    /** Tokens that are cached, and that another engine can fetch. */
    readonly cached: number;
    /** The same with those of prompts that were sent there recently, whose prefill may not have ended. */
    readonly expected: number;
}

/** Time for which a sent part counts as cached while the engine's own event has not arrived. */
const sentTtlMs = 1_500;

/** Maximum number of parts tracked for one holder; the least recently reported ones are evicted. */
const maxParts = 20_000;

/** Maximum number of parts tracked for all holders together; holders with few parts keep them. */
const maxTotalParts = 100_000;

interface Holder {
    /** Tokens by salt and part. */
    readonly tokens: Map<string, number>;
    /** Time at which this instance or a peer last sent the part, by salt and part. */
    readonly sentMs: Map<string, number>;
}

const noCachedTokens: CachedTokens = { cached: 0, expected: 0 };

const keyOf = (salt: string, part: string) => `${salt} ${part}`;

/**
 * Derives the key of a request's shared prompt.
 *
 * @param prompt - The prompt.
 * @param salt - The salt of its cached parts.
 * @returns The key; equal for all requests that share everything but their last part.
 * @example
 * const shared = { id: "style", tokens: 800 };
 * deriveSharedKey({ ...prompt, parts: [shared, own] }, "adapt/3/shared"); // "adapt/3/shared style"
 */
export function deriveSharedKey(prompt: Prompt, salt: string): string {
    return derivePrefixKey(prompt, salt, prompt.parts.length - 1);
}

/**
 * Derives the key of the first parts of a prompt.
 *
 * @param prompt - The prompt.
 * @param salt - The salt of its cached parts.
 * @param count - Number of parts.
 * @returns The key; equal for all requests that begin with these parts.
 * @example
 * derivePrefixKey({ ...prompt, parts: [{ id: "style", tokens: 800 }, own] }, "adapt/3/shared", 1); // "adapt/3/shared style"
 */
export function derivePrefixKey(prompt: Prompt, salt: string, count: number): string {
    return keyOf(salt, prompt.parts.slice(0, count).map(part => part.id).join("/"));
}

/** Deletes the oldest entries beyond a number of parts. */
function limitSize(entries: Map<string, number>, maxEntries: number): void {
    for (const key of entries.keys()) {
        if (entries.size <= maxEntries) {
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
 * view.applyEvents("engine-1", [{ salt: "adapt/3/shared", part: "5c1e", tokens: 800 }]);
 * view.countCachedTokens(prompt, "adapt/3/shared", "engine-1", clock.now()).cached; // 800
 */
export function createPartView(): PartView {
    const holders = new Map<string, Holder>();
    const totals = { tokens: 0, sentMs: 0 };

    function holderOf(id: string): Holder {
        const known = holders.get(id);
        if (known !== undefined) {
            return known;
        }
        const holder: Holder = { tokens: new Map(), sentMs: new Map() };
        holders.set(id, holder);
        return holder;
    }

    /** Limits a holder that has grown, and then all, so that holders with few parts keep them. */
    function limitParts(kind: keyof Holder, grown: Map<string, number>, sizeBefore: number): void {
        limitSize(grown, maxParts);
        totals[kind] += grown.size - sizeBefore;
        if (totals[kind] <= maxTotalParts) {
            return;
        }
        const all = [...holders.values()].map(holder => holder[kind]);
        const maxEntries = computeFairLimit(all.map(entries => entries.size), maxTotalParts);
        all.forEach(entries => limitSize(entries, maxEntries));
        totals[kind] = all.reduce((sum, entries) => sum + entries.size, 0);
    }

    function applyEvents(id: string, events: readonly PartEvent[]): void {
        const { tokens } = holderOf(id);
        const sizeBefore = tokens.size;
        for (const event of events) {
            const key = keyOf(event.salt, event.part);
            tokens.delete(key);
            if (event.tokens > 0) {
                tokens.set(key, event.tokens);
            }
        }
        limitParts("tokens", tokens, sizeBefore);
    }

    function isExpected(holder: Holder, key: string, nowMs: number): boolean {
        const sentMs = holder.sentMs.get(key);
        return sentMs !== undefined && nowMs - sentMs < sentTtlMs;
    }

    function countCachedTokens(prompt: Prompt, salt: string, id: string, nowMs: number): CachedTokens {
        const holder = holders.get(id);
        if (holder === undefined) {
            return noCachedTokens;
        }
        let cached = 0;
        let expected = 0;
        let hasGap = false;
        for (const part of listSharedParts(prompt)) {
            const key = keyOf(salt, part.id);
            const partTokens = Math.min(part.tokens, holder.tokens.get(key) ?? 0);
            const expectedTokens = isExpected(holder, key, nowMs) ? part.tokens : partTokens;
            cached += hasGap ? 0 : partTokens;
            expected += expectedTokens;
            hasGap ||= partTokens < part.tokens;
            if (expectedTokens < part.tokens) {
                break;
            }
        }
        return { cached, expected };
    }

    function recordSent(shared: readonly PromptPart[], salt: string, engine: string, nowMs: number): void {
        const { sentMs } = holderOf(engine);
        const sizeBefore = sentMs.size;
        for (const part of shared) {
            const key = keyOf(salt, part.id);
            sentMs.delete(key);
            sentMs.set(key, nowMs);
        }
        limitParts("sentMs", sentMs, sizeBefore);
    }

    function recordPrefilled(prompt: Prompt, salt: string, engine: string): void {
        const events = listSharedParts(prompt).map(({ id, tokens }): PartEvent => ({ salt, part: id, tokens }));
        applyEvents(engine, events);
    }

    return {
        applyEvents,
        removeHolder: id => {
            const holder = holders.get(id);
            totals.tokens -= holder?.tokens.size ?? 0;
            totals.sentMs -= holder?.sentMs.size ?? 0;
            holders.delete(id);
        },
        countCachedTokens,
        recordSent,
        recordPrefilled,
    };
}
