/**
 * @module
 * How long a read of a topic may wait at the store for a newer record.
 */
import { storeAnswerTimeoutMs } from "../constants.js";

/** Shortest delay after a failed read, in milliseconds; a random jitter of up to the same length is added. */
export const readRetryDelayMs = 150;

/** Time for opening a connection, the answer on it, and timers that run late, in milliseconds. */
const reconnectMarginMs = 500;

/** Longer waits save few calls. */
const maxLongPollMs = 4_000;

/** Shorter waits are no better than reads at intervals. */
const minLongPollMs = 200;

/**
 * Computes the wait of a long poll. A connection that goes silent right after the poll began shows by the missing answer
 * only; the instance must have noticed, and have read anew on a new connection, within the limit.
 *
 * @param reconnectLimitMs - Time from the loss of a connection until the instance must be up to date again, in ms.
 * @returns The wait in milliseconds.
 * @example
 * computeLongPollMs(3_000); // 1_200
 */
export function computeLongPollMs(reconnectLimitMs: number): number {
    const waitMs = reconnectLimitMs - storeAnswerTimeoutMs - 2 * readRetryDelayMs - reconnectMarginMs;
    return Math.min(maxLongPollMs, Math.max(minLongPollMs, waitMs));
}
