/**
 * @module
 * The lease as read from the log by one instance. Clocks of different instances are not compared: a successor measures
 * from when it read a record, which is later than when the holder sent it.
 */
import type { LogPage } from "../ports/logPort.js";
import { parseLease } from "./leaseRecord.js";

/** The lease of the last valid record. */
export interface RecordedLease {
    readonly holder: string;
    readonly session: string;
    readonly sequence: number;
    readonly durationMs: number;
    /** Offset of the session's first record. */
    readonly fencingNumber: number;
}

/** The state of the `leases` stream as read by one instance. */
export interface LeaseView {
    readonly nextOffset: number;
    /** Undefined when no valid record was read. */
    readonly last: RecordedLease | undefined;
    /** Local clock when the last valid record was read, or when reading began, in milliseconds. */
    readonly lastReadMs: number;
    /** Whether the stream was read from its first record on. */
    readonly isComplete: boolean;
}

/** Duration of a lease, in milliseconds. */
export const leaseDurationMs = 10_000;

/** Time for which an order is valid after it was sent, in milliseconds. */
export const orderValidMs = 2_000;

/** Maximum duration that a record may state, in milliseconds. */
const maxLeaseDurationMs = 60_000;

/** Upper bound on the ratio of the rates of two instances' clocks. */
const clockRateBound = 1.05;

/** Margin for the time between the check of the clock and the send, in milliseconds. */
const sendMarginMs = 500;

/**
 * Creates a view that has read nothing.
 *
 * @param nextOffset - Offset from which the stream is read.
 * @param nowMs - Instance's clock, in milliseconds.
 * @returns The empty view.
 * @example
 * startLeaseView(0, clock.now());
 */
export function startLeaseView(nextOffset: number, nowMs: number): LeaseView {
    return { nextOffset, last: undefined, lastReadMs: nowMs, isComplete: nextOffset === 0 };
}

/** A record is valid only if it directly follows the last one that its writer had read: the first writer wins. */
function applyRecord(view: LeaseView, offset: number, payload: string, nowMs: number): LeaseView {
    const advanced = { ...view, nextOffset: offset + 1 };
    const record = parseLease(payload);
    if (record === undefined || record.follows !== offset - 1) {
        return advanced;
    }
    const { holder, session, sequence, durationMs } = record;
    const fencingNumber = view.last?.session === session ? view.last.fencingNumber : offset;
    return { ...advanced, last: { holder, session, sequence, durationMs, fencingNumber }, lastReadMs: nowMs };
}

/**
 * Applies a page that was read from the view's offset. Truncated records are skipped; the view then waits as if a lease
 * had been recorded at this moment.
 *
 * @param view - The view.
 * @param page - The page.
 * @param nowMs - Instance's clock after the read, in milliseconds.
 * @returns The view after the page.
 * @example
 * applyLeasePage(view, page, clock.now());
 */
export function applyLeasePage(view: LeaseView, page: LogPage, nowMs: number): LeaseView {
    const isTruncated = page.firstKept > view.nextOffset;
    let current = isTruncated ? startLeaseView(page.firstKept, nowMs) : view;
    for (const record of page.records) {
        if (record.offset >= current.nextOffset) {
            current = applyRecord(current, record.offset, record.payload, nowMs);
        }
    }
    return current;
}

/**
 * Returns whether a holder may send an order.
 *
 * @param startedMs - Holder's clock before it sent its last valid record, in milliseconds.
 * @param durationMs - Duration of the lease, in milliseconds.
 * @param nowMs - Holder's clock, in milliseconds.
 * @returns True while the lease is held.
 * @example
 * isLeaseHeld(0, 10_000, 9_999); // true
 */
export function isLeaseHeld(startedMs: number, durationMs: number, nowMs: number): boolean {
    return nowMs < startedMs + durationMs;
}

/**
 * Returns whether the recorded lease and every order under it have expired, so that another session may acquire it.
 *
 * @param view - The view, read up to the end of the stream.
 * @param nowMs - Instance's clock, in milliseconds.
 * @returns True when the lease may be acquired.
 * @example
 * isLeaseExpired(startLeaseView(0, 0), 0); // true
 */
export function isLeaseExpired(view: LeaseView, nowMs: number): boolean {
    if (view.last === undefined && view.isComplete) {
        return true;
    }
    const durationMs = view.last?.durationMs ?? maxLeaseDurationMs;
    return nowMs >= view.lastReadMs + (durationMs + orderValidMs) * clockRateBound + sendMarginMs;
}
