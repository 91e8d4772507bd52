/**
 * @module
 * The lease as one instance has read it. No clocks are compared: a successor counts from when it read a record, which is
 * later than when the holder sent it.
 */
import type { LogPage } from "../ports/logPort.js";
import { parseLease } from "./leaseRecord.js";

/** The lease that is recorded last. */
export interface RecordedLease {
    readonly holder: string;
    readonly session: string;
    readonly sequence: number;
    readonly durationMs: number;
    /** Offset of the session's first record. */
    readonly fencingNumber: number;
}

/** What an instance has read of the `leases` stream. */
export interface LeaseView {
    readonly nextOffset: number;
    /** Undefined when no valid record was read. */
    readonly last: RecordedLease | undefined;
    /** Instance's clock when the last valid record was read, or when reading began, in milliseconds. */
    readonly lastReadMs: number;
    /** True when the stream was read from its first record on. */
    readonly isComplete: boolean;
}

/** Duration of a lease, in milliseconds. */
export const leaseDurationMs = 10_000;

/** Time that an order stays valid after it was sent, in milliseconds. */
export const orderValidMs = 2_000;

/** Longest duration that a record may name, in milliseconds. */
const maxLeaseDurationMs = 60_000;

/** Bound on how much faster one instance's clock runs than another's. */
const clockRateBound = 1.05;

/** Room for the time between a check of the clock and the sending, in milliseconds. */
const sendMarginMs = 500;

/**
 * Starts a view.
 *
 * @param nextOffset - Offset from which the stream is read.
 * @param nowMs - Instance's clock, in milliseconds.
 * @returns A view that has read nothing.
 * @example
 * startLeaseView(0, clock.now());
 */
export function startLeaseView(nextOffset: number, nowMs: number): LeaseView {
    return { nextOffset, last: undefined, lastReadMs: nowMs, isComplete: nextOffset === 0 };
}

/** A record counts only if it stands directly behind the last one that its writer had read: the first writer wins. */
function takeRecord(view: LeaseView, offset: number, payload: string, nowMs: number): LeaseView {
    const passed = { ...view, nextOffset: offset + 1 };
    const record = parseLease(payload);
    if (record === undefined || record.follows !== offset - 1) {
        return passed;
    }
    const { holder, session, sequence, durationMs } = record;
    const fencingNumber = view.last?.session === session ? view.last.fencingNumber : offset;
    return { ...passed, last: { holder, session, sequence, durationMs, fencingNumber }, lastReadMs: nowMs };
}

/**
 * Takes a page that was read from the view's offset. Truncated records are skipped; the view then waits as if a lease had
 * been recorded just now.
 *
 * @param view - The view.
 * @param page - The page.
 * @param nowMs - Instance's clock after the read, in milliseconds.
 * @returns The view after the page.
 * @example
 * takeLeasePage(view, page, clock.now());
 */
export function applyLeasePage(view: LeaseView, page: LogPage, nowMs: number): LeaseView {
    const isTruncated = page.firstKept > view.nextOffset;
    let taken = isTruncated ? startLeaseView(page.firstKept, nowMs) : view;
    for (const record of page.records) {
        if (record.offset >= taken.nextOffset) {
            taken = takeRecord(taken, record.offset, record.payload, nowMs);
        }
    }
    return taken;
}

/**
 * Decides whether a holder may send an order.
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
 * Decides whether the recorded lease and every order under it have ended, so that another session may take it.
 *
 * @param view - What was read, up to the stream's end.
 * @param nowMs - Instance's clock, in milliseconds.
 * @returns True when the lease may be taken.
 * @example
 * isLeaseOver(startLeaseView(0, 0), 0); // true
 */
export function isLeaseExpired(view: LeaseView, nowMs: number): boolean {
    if (view.last === undefined && view.isComplete) {
        return true;
    }
    const durationMs = view.last?.durationMs ?? maxLeaseDurationMs;
    return nowMs >= view.lastReadMs + (durationMs + orderValidMs) * clockRateBound + sendMarginMs;
}
