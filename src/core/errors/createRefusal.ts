/**
 * @module
 * Builds the typed refusal that travels from a decision to the caller's answer.
 */
import type { ErrorKind } from "./errorTable.js";

/** A request that is answered by an error kind in place of a result. */
export interface Refusal {
    readonly kind: ErrorKind;
    /** What exactly was wrong, for people. */
    readonly detail: string;
    /** Milliseconds after which a retry may succeed; undefined when not known. */
    readonly retryAfterMs: number | undefined;
}

/** Options of {@link createRefusal}. */
export interface CreateRefusalOptions {
    /** Milliseconds after which a retry may succeed. */
    readonly retryAfterMs?: number;
}

/**
 * Creates a refusal.
 *
 * @param kind - The error kind; its table row gives status, outcome and advice.
 * @param detail - What exactly was wrong, for people.
 * @param options - Optional retry time.
 * @returns The refusal.
 * @example
 * createRefusal("unknownModel", "no model named \"easy-read\"");
 */
export function createRefusal(kind: ErrorKind, detail: string, options: CreateRefusalOptions = {}): Refusal {
    return { kind, detail, retryAfterMs: options.retryAfterMs };
}
