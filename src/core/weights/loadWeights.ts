/**
 * @module
 * Updates one engine to newer weights: sends an order, then polls the engine's state until it has them. An order
 * without an answer may still be carried out, so the next step depends on the state, and each order carries the number
 * of orders that the engine is expected to have accepted before.
 */

/** State that an engine reports, some hundred milliseconds late. */
export interface EngineState {
    readonly version: number | undefined;
    /** Whether an order is in progress. */
    readonly isBusy: boolean;
    /** Orders accepted since the engine's start. */
    readonly acceptedOrders: number;
}

/** Answer to an order. `unheld`: the lease had ended, nothing was sent. `unanswered`: it may still be carried out. */
export type OrderAnswer = "accepted" | "alreadyHolds" | "conflict" | "fenced" | "rejected" | "unheld" | "unanswered";

/** What an engine does with its running requests when it loads weights: it ends them first, or continues them after. */
export type RunningRequests = "endFirst" | "continue";

/** Effects of a load. */
export type LoadEffect =
    | { readonly kind: "readState"; }
    | { readonly kind: "order"; readonly expectedOrders: number; readonly runningRequests: RunningRequests; }
    | { readonly kind: "wait"; readonly delayMs: number; };

/** The result type of each effect kind. */
export interface LoadEffectResults {
    readonly readState: EngineState | undefined;
    readonly order: OrderAnswer;
    readonly wait: undefined;
}

/** How a load ended. */
export type LoadEnd = "loaded" | "unreachable" | "fenced" | "unheld" | "rejected" | "timedOut";

/**
 * An engine that ends its requests first serves nothing new until its longest stream has ended; under load that is
 * several times as long as the load itself, and the engines that still serve are overloaded meanwhile.
 */
const runningRequests: RunningRequests = "continue";

/** Time between an order and the first poll, in milliseconds; a load takes longer. */
const firstPollDelayMs = 400;

/** Time between two polls, in milliseconds. */
const pollIntervalMs = 120;

/** Polls after which a load times out; it may be started again. */
const maxPolls = 90;

/** Answers after which the engine's state is polled again: only the state shows which version it has. */
const pendingAnswers: ReadonlySet<OrderAnswer> = new Set(["accepted", "alreadyHolds", "conflict", "unanswered"]);

function toLoadEnd(answer: OrderAnswer): LoadEnd {
    return answer === "fenced" || answer === "unheld" ? answer : "rejected";
}

/**
 * Loads a version of the weights at one engine.
 *
 * @param version - The version.
 * @returns Steps that return how the load ended.
 * @example
 * runSteps(loadWeights(3), handlers, onDone, onError);
 */
export function* loadWeights(version: number): Generator<LoadEffect, LoadEnd, unknown> {
    for (let poll = 0; poll < maxPolls; poll += 1) {
        const state = (yield { kind: "readState" }) as EngineState | undefined;
        if (state === undefined) {
            return "unreachable";
        }
        if (state.version !== undefined && state.version >= version) {
            return "loaded";
        }
        if (state.isBusy) {
            yield { kind: "wait", delayMs: pollIntervalMs };
            continue;
        }
        const answer = (yield { kind: "order", expectedOrders: state.acceptedOrders, runningRequests }) as OrderAnswer;
        if (!pendingAnswers.has(answer)) {
            return toLoadEnd(answer);
        }
        yield { kind: "wait", delayMs: firstPollDelayMs };
    }
    return "timedOut";
}
