/**
 * @module
 * The limit of each of several users of a bounded resource, by max-min fairness.
 */

/**
 * Computes the limit under which users together take at most a total: those that take less than it keep what they take, and the
 * others have the same.
 *
 * @param sizes - What each user takes.
 * @param total - What all may take together.
 * @returns The limit of each user; Infinity when all fit.
 * @example
 * computeFairLimit([10, 500, 700], 610); // 300
 */
export function computeFairLimit(sizes: readonly number[], total: number): number {
    const sorted = sizes.toSorted((left, right) => left - right);
    let left = total;
    for (const [index, size] of sorted.entries()) {
        const share = Math.floor(left / (sorted.length - index));
        if (size > share) {
            return share;
        }
        left -= size;
    }
    return Infinity;
}
