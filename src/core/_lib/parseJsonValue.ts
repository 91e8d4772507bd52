/**
 * @module
 * Parses JSON text that comes from outside the process into a value that is not checked yet.
 */
import { countJsonValues } from "./countJsonValues.js";

/** Largest number of values: a short text may hold many, and each takes some ten times its characters once it is parsed. */
const maxValues = 400_000;

/**
 * Parses JSON text.
 *
 * @param text - The text.
 * @returns The value.
 * @throws SyntaxError when the text is not JSON, RangeError when it has too many values.
 * @example
 * parseJsonValue('{"end":3}'); // { end: 3 }
 */
export function parseJsonValue(text: string): unknown {
    // A value takes one character at least, so that most texts need not be searched.
    if (text.length > maxValues && countJsonValues(text) > maxValues) {
        throw new RangeError(`the text has more than ${maxValues} values`);
    }
    return JSON.parse(text);
}
