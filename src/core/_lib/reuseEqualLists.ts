/**
 * @module
 * Keeps arrays that have not changed.
 */

/**
 * Gives the same array again as long as a list has the same items, so that what is derived from it can be kept.
 *
 * @param read - Reads the list of a key.
 * @returns The kept or new list of a key.
 * @example
 * keepEqualLists(model => listServing(model))("easy-read");
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
