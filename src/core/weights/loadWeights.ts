/**
 * @module
 * Brings one engine to newer weights: order, then read its state until it has them. An order without an answer may still
 * be carried out, so the state decides what comes next and each order names the number of orders it follows.
 */

/** State that an engine reports; it lags by some hundred milliseconds. */
export interface EngineState {
    readonly version: number | undefined;
    /** Whether an order is in progress. */
    readonly isBusy: boolean;
    /** Orders accepted since the engine's start. */
    readonly acceptedOrders: number;
}

/** Answer to an order. `unheld`: the lease had ended, nothing was sent. `unanswered`: it may be carried out. */
export type OrderAnswer = "accepted" | "alreadyHolds" | "conflict" | "fenced" | "rejected" | "unheld" | "unanswered";

/** Effects of a load. */
export type LoadEffect =
    | { readonly kind: "readState"; }
    | { readonly kind: "order"; readonly expectedOrders: number; }
    | { readonly kind: "wait"; readonly delayMs: number; };

/** The result type of each effect kind. */
export interface LoadEffectResults {
    readonly readState: EngineState | undefined;
    readonly order: OrderAnswer;
    readonly wait: undefined;
}

/** How a load ended. */
export type LoadEnd = "loaded" | "unreachable" | "fenced" | "unheld" | "rejected" | "timedOut";

/** Time between an order and the first look at its effect, in milliseconds: a load takes longer. */
const settleMs = 400;

/** Time between two looks, in milliseconds. */
const lookMs = 120;

/** Looks after which a load is given up; another one may follow. */
const maxLooks = 90;

/** Answers after which the engine's state is read again. */
const openAnswers: ReadonlySet<OrderAnswer> = new Set(["accepted", "conflict", "unanswered"]);

function findEnd(answer: OrderAnswer): LoadEnd {
    switch (answer) {
        case "alreadyHolds":
            return "loaded";
        case "fenced":
        case "unheld":
            return answer;
        default:
            return "rejected";
    }
}

/**
 * Loads a version at one engine.
 *
 * @param version - The version.
 * @returns Steps that return how the load ended.
 * @example
 * runSteps(loadWeights(3), handlers, onDone, onError);
 */
export function* loadWeights(version: number): Generator<LoadEffect, LoadEnd, unknown> {
    for (let look = 0; look < maxLooks; look += 1) {
        const state = (yield { kind: "readState" }) as EngineState | undefined;
        if (state === undefined) {
            return "unreachable";
        }
        if (state.version !== undefined && state.version >= version) {
            return "loaded";
        }
        if (state.isBusy) {
            yield { kind: "wait", delayMs: lookMs };
            continue;
        }
        const answer = (yield { kind: "order", expectedOrders: state.acceptedOrders }) as OrderAnswer;
        if (!openAnswers.has(answer)) {
            return findEnd(answer);
        }
        yield { kind: "wait", delayMs: settleMs };
    }
    return "timedOut";
}
