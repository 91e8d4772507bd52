/**
 * @module
 * Stream id and seed of a model request, equal for every retry of the same request.
 */
import { hashText } from "../_lib/hashText.js";
import type { ModelRequest } from "./requestTypes.js";

/** Stream id and seed with which an engine generates an answer. */
export interface StreamIdentity {
    readonly streamId: string;
    /** Sampling seed, 0 to 2^32 - 1. */
    readonly seed: number;
}

/**
 * Derives the stream identity from the customer and the idempotency key, so that a retry at any entry joins or
 * reproduces the same answer. A request without a key gets a unique identity.
 *
 * @param req - The request.
 * @returns Stream id and seed.
 * @example
 * deriveStreamIdentity(req).streamId;
 */
export function deriveStreamIdentity(req: ModelRequest): StreamIdentity {
    const key = req.idempotencyKey === undefined ? `request/${req.requestId}` : `key/${req.idempotencyKey}`;
    const hash = hashText(`${req.customer.id}/${req.model.id}@${req.model.weightsVersion}/${key}`);
    return { streamId: `s-${hash.toString(16)}`, seed: Number(hash & 0xffffffffn) };
}
