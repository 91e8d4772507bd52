/**
 * @module
 * Runs a generator of effects with callbacks, so that a virtual clock can drive it without promises.
 */
import type { Effect, EffectResults } from "./effectTypes.js";

/** Handlers of a set of effects, by kind; each calls `resume` exactly once, synchronously or later, or throws. */
export type HandlersByKind<E extends { readonly kind: string; }, Results extends Record<E["kind"], unknown>> = {
    readonly [K in E["kind"]]: (
        effect: Extract<E, { readonly kind: K; }>,
        resume: (result: Results[K]) => void,
    ) => void;
};

/** One handler for each effect of a model or service request. */
export type EffectHandlers = HandlersByKind<Effect, EffectResults>;

/**
 * Runs steps to completion. Exactly one of `onDone` and `onError` is called.
 *
 * @param steps - The generator.
 * @param handlers - Handlers that perform the effects.
 * @param onDone - Receives the steps' return value.
 * @param onError - Receives what the steps or a handler threw.
 * @example
 * runSteps(serveModelRequest(req, dependencies), handlers, () => undefined, logFailure);
 */
export function runSteps<R, E extends { readonly kind: string; }, Results extends Record<E["kind"], unknown>>(
    steps: Generator<E, R, unknown>,
    handlers: HandlersByKind<E, Results>,
    onDone: (result: R) => void,
    onError: (err: unknown) => void,
): void {
    let isOver = false;

    function fail(err: unknown): void {
        if (!isOver) {
            isOver = true;
            onError(err);
        }
    }

    function handle(effect: E): void {
        const handler = handlers[effect.kind as E["kind"]] as (effect: E, resume: (result: unknown) => void) => void;
        try {
            handler(effect, resume);
        }
        catch (err) {
            fail(err);
        }
    }

    function resume(result: unknown): void {
        if (isOver) {
            return;
        }
        let step: IteratorResult<E, R>;
        try {
            step = steps.next(result);
        }
        catch (err) {
            fail(err);
            return;
        }
        if (step.done === true) {
            isOver = true;
            onDone(step.value);
            return;
        }
        handle(step.value);
    }
    resume(undefined);
}
