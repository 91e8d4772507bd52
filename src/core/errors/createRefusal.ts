/**
 * @module
 * Typed refusals, passed from the point of decision to the caller's answer.
 */
import type { ErrorKind } from "./errorTable.js";

/** The reason why a request is answered with an error. */
export interface Refusal {
    readonly kind: ErrorKind;
    /** Human-readable detail of what was wrong. */
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
 * @param detail - Human-readable detail of what was wrong.
 * @param options - Optional retry time.
 * @returns The refusal.
 * @example
 * createRefusal("unknownModel", "no model named \"easy-read\"");
 */
export function createRefusal(kind: ErrorKind, detail: string, options: CreateRefusalOptions = {}): Refusal {
    return { kind, detail, retryAfterMs: options.retryAfterMs };
}
