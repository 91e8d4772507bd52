/**
 * @module
 * Yields one effect with the result type that belongs to its kind.
 */
import type { Effect, EffectResults, Steps } from "./effectTypes.js";

/**
 * Yields an effect and returns its typed result.
 *
 * @param effect - The effect.
 * @returns Steps that return the effect's result.
 * @example
 * const verdict = yield* perform({ kind: "admit", req });
 */
export function* perform<E extends Effect>(effect: E): Steps<EffectResults[E["kind"]]> {
    return (yield effect) as EffectResults[E["kind"]];
}
