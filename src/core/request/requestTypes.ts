/**
 * @module
 * Requests after the caller's input was validated.
 */
import type { Customer, Model, Service } from "../catalogue/catalogueEntry.js";

/** Fields of every request. */
export interface RequestContext {
    /** Assigned by the entry; correlates logs, upstream calls and `reedwardctl why`. */
    readonly requestId: string;
    readonly customer: Customer;
    readonly idempotencyKey: string | undefined;
    /** Deadline on the instance's clock, in milliseconds. */
    readonly deadlineMs: number;
}

/** A validated request to a model. */
export interface ModelRequest extends RequestContext {
    readonly model: Model;
    readonly path: "/v1/chat/completions" | "/v1/completions";
    /** The prompt as one text, for block hashes and cost. */
    readonly prompt: string;
    /** Maximum number of tokens to generate. */
    readonly maxOutputTokens: number;
    readonly isStreaming: boolean;
    /** The caller's body as received. */
    readonly body: Readonly<Record<string, unknown>>;
}

/** A validated call to a plain service. */
export interface ServiceRequest extends RequestContext {
    readonly service: Service;
    readonly method: string;
    /** Path at the service, with query. */
    readonly path: string;
    readonly contentType: string | undefined;
    readonly body: Uint8Array;
    /** Whether the call may run at most once. */
    readonly isNonIdempotent: boolean;
}
