/**
 * @module
 * Runs a generator of effects with callbacks, so that a virtual clock can drive it without promises.
 */
import type { Effect, EffectResults } from "./effectTypes.js";

/** Handlers of a set of effects, by kind; each calls `resume` exactly once, synchronously or later. */
export type HandlersByKind<E extends { readonly kind: string; }, Results extends Record<E["kind"], unknown>> = {
    readonly [K in E["kind"]]: (
        effect: Extract<E, { readonly kind: K; }>,
        resume: (result: Results[K]) => void,
    ) => void;
};

/** One handler for each effect of a model or service request. */
export type EffectHandlers = HandlersByKind<Effect, EffectResults>;

/**
 * Runs steps to completion.
 *
 * @param steps - The generator.
 * @param handlers - Handlers that perform the effects.
 * @param onDone - Receives the steps' return value.
 * @param onError - Receives what the steps threw.
 * @example
 * runSteps(serveModelRequest(req, dependencies), handlers, () => undefined, logFailure);
 */
export function runSteps<R, E extends { readonly kind: string; }, Results extends Record<E["kind"], unknown>>(
    steps: Generator<E, R, unknown>,
    handlers: HandlersByKind<E, Results>,
    onDone: (result: R) => void,
    onError: (err: unknown) => void,
): void {
    function resume(result: unknown): void {
        let step: IteratorResult<E, R>;
        try {
            step = steps.next(result);
        }
        catch (err) {
            onError(err);
            return;
        }
        if (step.done === true) {
            onDone(step.value);
            return;
        }
        const kind = step.value.kind as E["kind"];
        const handler = handlers[kind] as (effect: E, resume: (result: unknown) => void) => void;
        handler(step.value, resume);
    }
    resume(undefined);
}
