/**
 * @module
 * Creates callers of long prompts, of which an engine's memory holds about nine, and of short ones with longer answers.
 */
import type { PromptKind } from "./playEngineQueues.js";

/** Prompts for each engine: more long ones than the engines can keep. */
const longPromptsPerEngine = 58.7;
const shortPromptsPerEngine = 8.3;

/** Creates the callers; rates are requests a second of all instances. */
export function createPromptKinds(
    { engines, longRate, shortRate }: Readonly<Record<"engines" | "longRate" | "shortRate", number>>,
): readonly PromptKind[] {
    return [
        {
            kind: "long",
            rate: longRate,
            prompts: Math.round(engines * longPromptsPerEngine),
            sharedTokens: 1_370,
            ownTokens: 630,
            answerMs: 100,
        },
        {
            kind: "short",
            rate: shortRate,
            prompts: Math.round(engines * shortPromptsPerEngine),
            sharedTokens: 40,
            ownTokens: 140,
            answerMs: 400,
        },
    ];
}
