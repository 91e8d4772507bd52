/**
 * @module
 * Keeps results that are derived from an object.
 */

/**
 * Keeps the results of a function as long as what they are derived from stays the same object.
 *
 * @param version - The object.
 * @param read - Derives the result of a key.
 * @returns The kept or new result of a key.
 * @example
 * keepWhileSame(catalogue, id => listUpstreams(catalogue(), "engine", id))("easy-read");
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
