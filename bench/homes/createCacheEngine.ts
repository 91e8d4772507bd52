/**
 * @module
 * An engine that prefills one prompt after the other and keeps the parts that were used last.
 */
import type { Prompt, PromptPart } from "../../src/core/placement/placementTypes.js";

/** What a request costs its engine. */
export interface EngineRun {
    readonly answerStartMs: number;
    readonly endMs: number;
    /** Shared tokens that were prefilled. */
    readonly readTokens: number;
    /** Time for which the engine was busy with it, in milliseconds. */
    readonly workMs: number;
}

/** An engine. Times are milliseconds. */
export interface CacheEngine {
    /** Runs a request; undefined when all slots are taken. */
    readonly run: (prompt: Prompt, nowMs: number) => EngineRun | undefined;
}

const slots = 8;
const memoryTokens = 20_000;
const prefillTokensPerMs = 20;
const generationMs = 100;

/** Creates an idle engine. */
export function createCacheEngine(): CacheEngine {
    const held = new Map<string, number>();
    let heldTokens = 0;
    let busyUntilMs = 0;
    let ends: readonly number[] = [];

    function keep({ id, tokens }: PromptPart): void {
        heldTokens += held.delete(id) ? 0 : tokens;
        held.set(id, tokens);
        for (const [oldest, size] of held) {
            if (heldTokens <= memoryTokens) {
                return;
            }
            held.delete(oldest);
            heldTokens -= size;
        }
    }

    return {
        run: (prompt, nowMs) => {
            ends = ends.filter(endMs => endMs > nowMs);
            if (ends.length >= slots) {
                return undefined;
            }
            const firstUnread = prompt.parts.findIndex(part => !held.has(part.id));
            const unread = prompt.parts.slice(firstUnread);
            prompt.parts.forEach(keep);
            const sum = (parts: readonly PromptPart[]) => parts.reduce((tokens, part) => tokens + part.tokens, 0);
            const workMs = sum(unread) / prefillTokensPerMs;
            busyUntilMs = Math.max(nowMs, busyUntilMs) + workMs;
            const run = { answerStartMs: busyUntilMs, endMs: busyUntilMs + generationMs, workMs };
            ends = [...ends, run.endMs];
            return { ...run, readTokens: sum(unread.slice(0, -1)) };
        },
    };
}
