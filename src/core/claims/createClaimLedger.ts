/**
 * @module
 * The fold of the claims stream: which claim holds each key, how its call ended, and since when the fold is complete.
 */
import { type ClaimRecord, parseClaimRecord } from "./claimRecord.js";
import type { ClaimEnd, HeldClaim } from "./claimTypes.js";

/** Claims as folded so far. */
export interface ClaimLedger {
    /** Folds the record at an offset; an offset that was folded already changes nothing. */
    readonly applyRecord: (offset: number, payload: string) => void;
    /** Skips records that the log no longer retains; `atMs` is the time of the first retained record. */
    readonly skipTo: (firstKept: number, atMs: number) => void;
    readonly find: (key: string) => HeldClaim | undefined;
    /** Records the end of a call of this instance before its record is read back. */
    readonly recordEnd: (key: string, claimId: string, end: ClaimEnd) => void;
    readonly nextOffset: () => number;
    /** Every claim on a key that was issued after this time is folded, in milliseconds since the Unix epoch. */
    readonly completeSinceMs: () => number;
}

/** Bounds of a ledger. */
export interface ClaimLedgerOptions {
    readonly maxClaims: number;
    /** Bound on the total size of stored answers, in bytes. */
    readonly maxAnswerBytes: number;
}

interface Entry {
    held: HeldClaim | undefined;
    issuedMs: number;
    released: readonly string[];
}

/** Released claim ids stored for a key; a late copy of an older one leaves the key held but never runs a call twice. */
const maxReleasedIds = 16;

function toEnd(record: Extract<ClaimRecord, { readonly type: "answered" | "unknown"; }>): ClaimEnd {
    if (record.type === "unknown") {
        return { kind: "unknown" };
    }
    const { status, contentType, body } = record;
    const answer = body === undefined ? undefined : { status, contentType, body: Buffer.from(body, "base64") };
    return { kind: "answered", answer };
}

/**
 * Creates an empty ledger. The first claim on a key in log order holds it until its holder releases it; a released
 * claim id never holds the key again, so that a late copy of its record has no effect.
 *
 * @param options - Bounds; the oldest claims and answers are dropped first.
 * @returns The ledger.
 * @example
 * const ledger = createClaimLedger({ maxClaims: 50_000, maxAnswerBytes: 8 << 20 });
 */
export function createClaimLedger(options: ClaimLedgerOptions): ClaimLedger {
    const entries = new Map<string, Entry>();
    const answerSizes = new Map<string, number>();
    let answerBytes = 0;
    let nextOffset = 0;
    let completeSinceMs = Number.NEGATIVE_INFINITY;

    function dropAnswer(key: string): void {
        answerBytes -= answerSizes.get(key) ?? 0;
        answerSizes.delete(key);
        const entry = entries.get(key);
        if (entry?.held?.end?.kind === "answered") {
            entry.held = { ...entry.held, end: { kind: "answered", answer: undefined } };
        }
    }

    function storeAnswer(key: string, end: ClaimEnd): void {
        if (end.kind !== "answered" || end.answer === undefined) {
            return;
        }
        answerSizes.set(key, end.answer.body.length);
        answerBytes += end.answer.body.length;
        for (const oldest of answerSizes.keys()) {
            if (answerBytes <= options.maxAnswerBytes) {
                break;
            }
            dropAnswer(oldest);
        }
    }

    function dropOldest(): void {
        for (const [key, entry] of entries) {
            if (entries.size <= options.maxClaims) {
                break;
            }
            dropAnswer(key);
            entries.delete(key);
            completeSinceMs = Math.max(completeSinceMs, entry.issuedMs);
        }
    }

    function applyClaim(record: Extract<ClaimRecord, { readonly type: "claim"; }>): void {
        const { claimId, fingerprint, issuedMs } = record;
        const entry = entries.get(record.key) ?? { held: undefined, issuedMs, released: [] };
        entries.set(record.key, entry);
        if (entry.held === undefined && !entry.released.includes(claimId)) {
            entry.held = { claimId, fingerprint, issuedMs, end: undefined };
        }
        dropOldest();
    }

    function applyRelease(record: Extract<ClaimRecord, { readonly type: "release"; }>): void {
        const entry = entries.get(record.key);
        if (entry === undefined) {
            return;
        }
        entry.released = [...entry.released, record.claimId].slice(-maxReleasedIds);
        if (entry.held?.claimId === record.claimId) {
            entry.held = undefined;
        }
    }

    function recordEnd(key: string, claimId: string, end: ClaimEnd): void {
        const entry = entries.get(key);
        if (entry?.held?.claimId !== claimId || entry.held.end !== undefined) {
            return;
        }
        entry.held = { ...entry.held, end };
        storeAnswer(key, end);
    }

    function applyRecord(offset: number, payload: string): void {
        if (offset < nextOffset) {
            return;
        }
        nextOffset = offset + 1;
        const record = parseClaimRecord(payload);
        switch (record?.type) {
            case undefined:
                return;
            case "claim":
                applyClaim(record);
                return;
            case "release":
                applyRelease(record);
                return;
            case "answered":
            case "unknown":
                recordEnd(record.key, record.claimId, toEnd(record));
        }
    }

    return {
        applyRecord,
        recordEnd,
        skipTo: (firstKept, atMs) => {
            nextOffset = Math.max(nextOffset, firstKept);
            completeSinceMs = Math.max(completeSinceMs, atMs);
        },
        find: key => entries.get(key)?.held,
        nextOffset: () => nextOffset,
        completeSinceMs: () => completeSinceMs,
    };
}
