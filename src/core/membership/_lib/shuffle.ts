/**
 * @module
 * Shuffles a list.
 */

/**
 * Shuffles a list without changing it.
 *
 * @param items - The list.
 * @param random - A number from 0 (included) to 1 (excluded).
 * @returns The same items in random order.
 * @example
 * shuffle(members, random);
 */
export function shuffle<T>(items: readonly T[], random: () => number): readonly T[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
        const other = Math.floor(random() * (index + 1));
        [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
    }
    return shuffled;
}
