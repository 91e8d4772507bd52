/**
 * @module
 * Stable array identity for lists whose items are unchanged.
 */

/**
 * Returns the previous array while a list has the same items, so that values derived from it can be cached by identity.
 *
 * @param read - Reads the list of a key.
 * @returns A function that returns the previous or the new list of a key.
 * @example
 * reuseEqualLists(model => listServing(model))("easy-read");
 */
export function reuseEqualLists<T>(read: (key: string) => readonly T[]): (key: string) => readonly T[] {
    const kept = new Map<string, readonly T[]>();
    return key => {
        const list = read(key);
        const last = kept.get(key);
        if (last?.length === list.length && last.every((item, index) => item === list[index])) {
            return last;
        }
        kept.set(key, list);
        return list;
    };
}
