/**
 * @module
 * Counts the values of JSON text before it is parsed.
 */

const separators: ReadonlySet<number> = new Set([..."[{,:"].map(one => one.charCodeAt(0)));
const quote = 0x22;
const backslash = 0x5c;

/** Returns the index of the quote that ends a string, or the end of the text. */
function findStringEnd(text: string, start: number): number {
    let index = start;
    while (index < text.length && text.charCodeAt(index) !== quote) {
        index += text.charCodeAt(index) === backslash ? 2 : 1;
    }
    return index;
}

/**
 * Returns an upper bound of the number of values in JSON text, keys included.
 *
 * @param text - The text, which need not be JSON.
 * @returns The bound.
 * @example
 * countJsonValues('{"a":[1,"2,3"]}'); // 5
 */
export function countJsonValues(text: string): number {
    let count = 1;
    for (let index = 0; index < text.length; index += 1) {
        const code = text.charCodeAt(index);
        if (code === quote) {
            index = findStringEnd(text, index + 1);
        }
        else if (separators.has(code)) {
            count += 1;
        }
    }
    return count;
}
