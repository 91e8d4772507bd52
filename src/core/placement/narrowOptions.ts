/**
 * @module
 * Narrows the engines among which one request chooses. What instances know of an engine's load is older than the load lasts, and
 * all of them know the same: if each chose among all engines, they would meet at the one that looked best a moment ago.
 */
import { countSharedTokens } from "./_lib/countPromptTokens.js";
import type { Option } from "./_lib/placementOptions.js";

/**
 * Engines that are drawn for a request beside those of its prompt. Two are enough to avoid a queue, and each engine is seen by so few
 * requests that those which come on one statement do not overrun it.
 */
const drawnEngines = 2;

/** Whether requests that share the prompt should meet at the engine, or already have. */
function isOfPrompt({ candidate, model }: Option): boolean {
    if (model === undefined) {
        return false;
    }
    const { prompt, view, coverage } = model;
    const sharedTokens = countSharedTokens(prompt);
    return view.homes?.engines.includes(candidate.id) === true
        || (sharedTokens > 0 && coverage.heldTokens >= sharedTokens);
}

/** Draws some of a list, each as likely as any other. */
function draw<T>(list: readonly T[], count: number, random: () => number): readonly T[] {
    const rest = [...list];
    const take = () => rest.splice(Math.floor(random() * rest.length), 1);
    return Array.from({ length: Math.min(count, rest.length) }, take).flat();
}

/**
 * Narrows the options of a request for an engine to the engines of its prompt and a few others at random.
 *
 * @param options - The engines that may run it.
 * @param random - Returns a number from 0 (included) to 1 (excluded).
 * @returns Some of the options, in their order; all where no load is stated.
 * @example
 * choosePlacement(narrowOptions(options, Math.random).map(option => option.candidate));
 */
export function narrowOptions(options: readonly Option[], random: () => number): readonly Option[] {
    if (!options.some(({ candidate }) => candidate.memoryTokens !== undefined && candidate.load !== undefined)) {
        return options;
    }
    const ofPrompt = new Set(options.filter(isOfPrompt));
    const drawn = new Set(draw(options.filter(option => !ofPrompt.has(option)), drawnEngines, random));
    return options.filter(option => ofPrompt.has(option) || drawn.has(option));
}
