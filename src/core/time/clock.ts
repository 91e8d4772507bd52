/**
 * @module
 * Clock interface; code that depends on time receives a clock as an argument.
 */

/** Cancels a timer; calling it again has no effect. */
export type CancelTimer = () => void;

/** A clock with timers. Production uses monotonic time, tests use a virtual clock. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    /** Milliseconds since the Unix epoch, for times that are compared between processes. */
    readonly wallNow: () => number;
    /** Calls `action` once after `delayMs` milliseconds. */
    readonly after: (delayMs: number, action: () => void) => CancelTimer;
}
