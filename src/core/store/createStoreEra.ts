/**
 * @module
 * The era of the platform's store. The store raises it each time it comes back from an older copy: what was written since
 * the copy is gone, and its offsets are given out again.
 */
import { err, ok, type Result } from "true-myth/result";

/** What an answer of the store states as its era. */
export type StatedEra = number | "missing" | "malformed";

/** What was learned from an answer.
 *
 * - `known`: the first era that this instance has seen.
 * - `returned`: the store has come back from an older copy.
 * - `rejected`: an answer stated no usable era; reported once for each reason. */
export type StoreEraEvent =
    | { readonly kind: "known"; readonly era: number; }
    | { readonly kind: "returned"; readonly era: number; readonly previousEra: number; }
    | { readonly kind: "rejected"; readonly stated: StatedEra; readonly era: number; };

/** The era as known to this instance. */
export interface StoreEra {
    /**
     * Judges an answer by the era that it states. Returns the era that the answer belongs to, or why it says nothing: an
     * answer of an older era describes a state of the store that is gone.
     */
    readonly accept: (stated: StatedEra) => Result<number, string>;
    /** Newest era seen; 0 while the store has stated none. */
    readonly current: () => number;
    /** Calls `listener` with each event, before the answer that caused it is used. */
    readonly subscribe: (listener: (event: StoreEraEvent) => void) => void;
}

/**
 * Creates the view of a store that has not answered yet.
 *
 * @returns The era.
 * @example
 * const era = createStoreEra();
 * era.accept(3); // ok(3)
 * era.accept(4); // ok(4), after a "returned" event
 * era.accept(3); // err("the answer is of era 3, the store has reached 4")
 */
export function createStoreEra(): StoreEra {
    const listeners: ((event: StoreEraEvent) => void)[] = [];
    const reportedProblems = new Set<string>();
    let current: number | undefined;

    const notify = (event: StoreEraEvent) => listeners.forEach(listener => listener(event));

    function reportProblem(stated: StatedEra): void {
        const reason = typeof stated === "number" ? "older" : stated;
        if (!reportedProblems.has(reason)) {
            reportedProblems.add(reason);
            notify({ kind: "rejected", stated, era: current ?? 0 });
        }
    }

    function advance(era: number): void {
        const previousEra = current;
        current = era;
        notify(previousEra === undefined ? { kind: "known", era } : { kind: "returned", era, previousEra });
    }

    return {
        accept: stated => {
            if (typeof stated !== "number") {
                reportProblem(stated);
                return ok(current ?? 0);
            }
            if (current !== undefined && stated < current) {
                reportProblem(stated);
                return err(`the answer is of era ${stated}, the store has reached ${current}`);
            }
            if (stated !== current) {
                advance(stated);
            }
            return ok(stated);
        },
        current: () => current ?? 0,
        subscribe: listener => {
            listeners.push(listener);
        },
    };
}
