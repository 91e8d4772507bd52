/**
 * @module
 * The two keys of a placement: the prefix that many cases share, and the case. Prompts of a case differ only in their
 * last blocks.
 */
import { hashText } from "../../_lib/hashText.js";
import type { RouteRequest } from "../routeTypes.js";

/** Number of blocks at the end of a prompt that may differ within a case. */
const caseTailBlocks = 4;

function toKey(hash: bigint): number {
    return Number(hash & 0xffffffffn);
}

/** Returns the next depth in the sequence 4, 6, 8, 12, 16, 24, ... */
function nextDepth(depth: number): number {
    const isPowerOfTwo = (depth & (depth - 1)) === 0;
    return isPowerOfTwo ? depth * 1.5 : (depth / 3) * 4;
}

/**
 * Derives the key of the prefix that many cases share.
 *
 * @param req - The request.
 * @param placementBlocks - Blocks that the key covers.
 * @returns A 32-bit key.
 * @example
 * deriveSharedKey(req, 20);
 */
export function deriveSharedKey(req: RouteRequest, placementBlocks: number): number {
    const last = Math.min(placementBlocks, req.blocks.length) - 1;
    return toKey(req.blocks[last] ?? hashText(req.scope.customer));
}

/**
 * Computes the depth that identifies a case: the largest of 4, 6, 8, 12, 16, 24, ... that excludes the tail, so that
 * prompts of a case whose lengths differ a little have the same depth.
 *
 * @param promptBlocks - Blocks of the prompt.
 * @returns A number of leading blocks, 0 for an empty prompt.
 * @example
 * computeCaseDepth(30); // 24
 */
export function computeCaseDepth(promptBlocks: number): number {
    let depth = 4;
    while (nextDepth(depth) <= promptBlocks - caseTailBlocks) {
        depth = nextDepth(depth);
    }
    return Math.min(depth, promptBlocks);
}

/**
 * Derives the key of the case.
 *
 * @param req - The request.
 * @returns A 32-bit key.
 * @example
 * deriveCaseKey(req);
 */
export function deriveCaseKey(req: RouteRequest): number {
    return toKey(req.blocks[computeCaseDepth(req.blocks.length) - 1] ?? hashText(req.scope.customer));
}
