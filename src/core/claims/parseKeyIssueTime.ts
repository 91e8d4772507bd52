/**
 * @module
 * Reads the time at which an idempotency key was issued.
 */

/** UUID version 7 of RFC 9562: its first 48 bits are milliseconds since the Unix epoch. */
const uuidPattern = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Milliseconds since the Unix epoch, a separator and the caller's own part. */
const prefixedPattern = /^(\d{13})[-._:].+$/;

const uuidTimeDigits = 12;

/**
 * Reads the issue time out of a key, which is a UUID version 7 or begins with 13 digits of milliseconds since the Unix
 * epoch and a separator. The time is part of the key, so that a retry cannot carry another one.
 *
 * @param key - The idempotency key.
 * @returns Milliseconds since the Unix epoch, or undefined when the key holds no time.
 * @example
 * parseKeyIssueTime("1764794000000-booking-17"); // 1764794000000
 */
export function parseKeyIssueTime(key: string): number | undefined {
    if (uuidPattern.test(key)) {
        return Number.parseInt(key.replaceAll("-", "").slice(0, uuidTimeDigits), 16);
    }
    const digits = prefixedPattern.exec(key)?.[1];
    return digits === undefined ? undefined : Number(digits);
}
