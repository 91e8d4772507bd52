/**
 * @module
 * Memoization of results that are derived from one immutable object.
 */

/**
 * Memoizes a function by key; all results are discarded when the object that they are derived from is replaced.
 *
 * @param version - Returns the current object; it is compared by identity.
 * @param read - Derives the result of a key.
 * @returns A function that returns the cached or a new result of a key.
 * @example
 * memoizeByVersion(catalogue, id => listUpstreams(catalogue(), "engine", id))("easy-read");
 */
export function memoizeByVersion<T>(version: () => object, read: (key: string) => T): (key: string) => T {
    let kept = new Map<string, T>();
    let keptFor: object | undefined;
    return key => {
        const current = version();
        if (current !== keptFor) {
            kept = new Map();
            keptFor = current;
        }
        let value = kept.get(key);
        if (value === undefined) {
            value = read(key);
            kept.set(key, value);
        }
        return value;
    };
}
