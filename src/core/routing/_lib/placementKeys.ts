/**
 * @module
 * The two keys of a placement: the levels that many cases share, and the case.
 */
import { hashText } from "../../_lib/hashText.js";
import type { RouteRequest } from "../routeTypes.js";

/** Blocks at the end of a prompt that may differ within a case. */
const caseTailBlocks = 4;

function toKey(hash: bigint): number {
    return Number(hash & 0xffffffffn);
}

/** The next of 4, 6, 8, 12, 16, 24, ... */
function nextDepth(depth: number): number {
    const isPowerOfTwo = (depth & (depth - 1)) === 0;
    return isPowerOfTwo ? depth * 1.5 : (depth / 3) * 4;
}

/**
 * Finds the key of the levels that many cases share.
 *
 * @param req - The request.
 * @param placementBlocks - Blocks that the key covers.
 * @returns A 32-bit key.
 * @example
 * findSharedKey(req, 20);
 */
export function deriveSharedKey(req: RouteRequest, placementBlocks: number): number {
    const last = Math.min(placementBlocks, req.blocks.length) - 1;
    return toKey(req.blocks[last] ?? hashText(req.scope.customer));
}

/**
 * Finds the depth that identifies a case: the largest of 4, 6, 8, 12, 16, 24, ... that leaves the tail out, so that
 * prompts of a case whose lengths differ a little have the same depth.
 *
 * @param promptBlocks - Blocks of the prompt.
 * @returns A number of leading blocks, 0 for an empty prompt.
 * @example
 * findCaseDepth(30); // 24
 */
export function computeCaseDepth(promptBlocks: number): number {
    let depth = 4;
    while (nextDepth(depth) <= promptBlocks - caseTailBlocks) {
        depth = nextDepth(depth);
    }
    return Math.min(depth, promptBlocks);
}

/**
 * Finds the key of the case.
 *
 * @param req - The request.
 * @returns A 32-bit key.
 * @example
 * findCaseKey(req);
 */
export function deriveCaseKey(req: RouteRequest): number {
    return toKey(req.blocks[computeCaseDepth(req.blocks.length) - 1] ?? hashText(req.scope.customer));
}
