/**
 * @module
 * Keeps the number of homes steady while the estimate of what a prompt needs moves, and the same on instances whose
 * estimates differ.
 */

/** Below this fraction of the next lower step, homes are given up. */
const releaseFraction = 0.7;

/**
 * Steps the number of homes, which is a power of two. A list of homes is the beginning of a longer one, so instances that
 * are a step apart agree on half of the homes or more.
 *
 * @param needed - Homes that are needed now.
 * @param current - Homes so far; undefined when the prompt is new.
 * @returns The homes from now on.
 * @example
 * stepHomeCount(3, undefined); // 4
 * stepHomeCount(2, 4); // 4
 * stepHomeCount(1, 4); // 2
 */
export function stepHomeCount(needed: number, current: number | undefined): number {
    const step = 2 ** Math.ceil(Math.log2(Math.max(1, needed)));
    if (current === undefined || step >= current) {
        return step;
    }
    const lower = current / 2;
    return needed <= lower * releaseFraction ? lower : current;
}
