/**
 * @module
 * Claims idempotency keys on the log before a call is sent, and returns the recorded end of a call that was claimed
 * before.
 */
import type { Result } from "true-myth/result";
import type { LogPage } from "../ports/logPort.js";
import type { PortFailure } from "../ports/portFailure.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { type ClaimRecord, parseClaimRecord } from "./claimRecord.js";
import type { ClaimConclusion, ClaimEnd, ClaimRequest, ClaimVerdict, HeldClaim } from "./claimTypes.js";
import { createClaimLedger } from "./createClaimLedger.js";
import { createRecordAppender } from "./createRecordAppender.js";

/** Claim manager of one instance. */
export interface ClaimManager {
    /** Starts to follow the claims stream. */
    readonly start: () => void;
    /** Claims a key or reports how its earlier claim ended; calls `decide` exactly once, immediately or later. */
    readonly claim: (req: ClaimRequest, decide: (verdict: ClaimVerdict) => void) => void;
    /** Ends a claim that was won. */
    readonly conclude: (key: string, claimId: string, conclusion: ClaimConclusion) => void;
    /** Appends the ends of calls to the log at once; calls `onDone` when they are stored or the log is unreachable. */
    readonly flush: (onDone: () => void) => void;
    readonly stop: () => void;
}

/** Dependencies of the manager. */
export interface ClaimManagerDependencies {
    readonly clock: Clock;
    /** Appends records to the claims stream; calls `onDone` exactly once. */
    readonly append: (payloads: readonly string[], onDone: (isStored: boolean) => void) => void;
    /** Reads from an offset, waiting for records up to `waitMs`; calls `onDone` exactly once. */
    readonly read: (from: number, waitMs: number, onDone: (page: Result<LogPage, PortFailure>) => void) => void;
    /** Creates a unique claim id. */
    readonly createClaimId: () => string;
    readonly onAppend?: (records: number) => void;
}

/** Age from which a key is refused, in milliseconds; the log must retain records for longer. */
export const keyLifetimeMs = 900_000;

/**
 * Milliseconds by which clocks may differ and by which an append may take effect after it was sent. Keys that were
 * issued within this time after the first retained record are refused.
 */
export const claimMarginMs = 60_000;

/** Time to get a verdict from the log, in milliseconds. */
const claimTimeoutMs = 2_000;

const readWaitMs = 1_000;
const readRetryMs = 100;
const maxLoggedAnswerBytes = 8 << 10;
const ledgerOptions = { maxClaims: 50_000, maxAnswerBytes: 8 << 20 } as const;

interface PendingClaim {
    readonly req: ClaimRequest;
    /** Undefined for a retry that waits for the end of another claim's call. */
    readonly claimId: string | undefined;
    readonly decide: (verdict: ClaimVerdict) => void;
    readonly cancelTimer: CancelTimer;
}

interface DeferredClaim {
    readonly retry: () => void;
}

function createEndRecord(key: string, claimId: string, end: ClaimEnd, atMs: number): ClaimRecord {
    if (end.kind === "unknown") {
        return { type: "unknown", key, claimId, atMs };
    }
    const { answer } = end;
    return {
        type: "answered",
        key,
        claimId,
        atMs,
        status: answer?.status ?? 0,
        contentType: answer?.contentType ?? "",
        body: answer === undefined || answer.body.length > maxLoggedAnswerBytes
            ? undefined
            : Buffer.from(answer.body).toString("base64"),
    };
}

/**
 * Creates the manager. A claim is won only when the stream was read without a gap up to the claim's own record and has
 * no earlier claim on the key; the response to the append does not decide it, so that a lost response does no harm.
 *
 * @param dependencies - The log, the clock and an id source.
 * @returns The manager.
 * @example
 * const manager = createClaimManager({ clock, append, read, createClaimId: randomUUID });
 */
export function createClaimManager(dependencies: ClaimManagerDependencies): ClaimManager {
    const { clock } = dependencies;
    const ledger = createClaimLedger(ledgerOptions);
    const appender = createRecordAppender(dependencies);
    const pending = new Map<string, Set<PendingClaim>>();
    const deferred = new Set<DeferredClaim>();
    /** Abandoned claim ids, with the time until which their records may still appear in the stream. */
    const abandoned = new Map<string, number>();
    let isFollowing = false;
    let isStopped = false;

    const isComplete = (issuedMs: number) =>
        issuedMs >= ledger.completeSinceMs() + claimMarginMs && issuedMs >= clock.wallNow() - keyLifetimeMs;

    function classifyHeld(req: ClaimRequest, held: HeldClaim, claimId: string | undefined): ClaimVerdict | undefined {
        if (held.claimId === claimId) {
            return isComplete(req.issuedMs) ? { kind: "won", claimId } : { kind: "keyExpired" };
        }
        if (held.fingerprint !== req.fingerprint) {
            return { kind: "keyReused" };
        }
        return held.end === undefined ? undefined : { kind: "ended", end: held.end };
    }

    /** Removes a claim from the pending ones. */
    function remove(one: PendingClaim): void {
        const group = pending.get(one.req.key);
        group?.delete(one);
        if (group?.size === 0) {
            pending.delete(one.req.key);
        }
        one.cancelTimer();
    }

    function finish(one: PendingClaim, verdict: ClaimVerdict): void {
        remove(one);
        if (one.claimId !== undefined && verdict.kind !== "won") {
            abandon(one.req.key, one.claimId);
        }
        one.decide(verdict);
    }

    /** Releases an abandoned claim, now or when its record appears later. */
    function abandon(key: string, claimId: string): void {
        if (appender.withdraw(claimId)) {
            return;
        }
        dropExpiredAbandoned();
        abandoned.set(claimId, clock.now() + claimMarginMs);
        releaseAbandoned(key, claimId);
    }

    /** Forgets abandoned claims whose records can no longer appear. */
    function dropExpiredAbandoned(): void {
        for (const [claimId, untilMs] of abandoned) {
            if (untilMs > clock.now()) {
                return;
            }
            abandoned.delete(claimId);
        }
    }

    function releaseAbandoned(key: string, claimId: string): void {
        if (ledger.find(key)?.claimId === claimId) {
            abandoned.delete(claimId);
            appender.add({ type: "release", key, claimId, atMs: clock.wallNow() });
        }
    }

    /** Abandons a claim that lost and waits for the end of the holder's call instead. */
    function waitForHolder(one: PendingClaim): void {
        if (one.claimId !== undefined) {
            remove(one);
            abandon(one.req.key, one.claimId);
            wait(one.req, undefined, one.decide);
        }
    }

    /** Claims the key for a retry that waited for a holder which has released it. */
    function claimReleased(one: PendingClaim): void {
        if (one.claimId === undefined) {
            remove(one);
            claim(one.req, one.decide);
        }
    }

    function resolvePending(key: string): void {
        const held = ledger.find(key);
        for (const one of [...pending.get(key) ?? []]) {
            if (held === undefined) {
                claimReleased(one);
                continue;
            }
            const verdict = classifyHeld(one.req, held, one.claimId);
            if (verdict === undefined) {
                waitForHolder(one);
            }
            else {
                finish(one, verdict);
            }
        }
    }

    function applyPage(page: LogPage): void {
        if (page.firstKept > ledger.nextOffset()) {
            const first = page.records[0] === undefined ? undefined : parseClaimRecord(page.records[0].payload);
            ledger.skipTo(page.firstKept, first?.atMs ?? clock.wallNow());
        }
        for (const record of page.records) {
            ledger.applyRecord(record.offset, record.payload);
            const parsed = parseClaimRecord(record.payload);
            if (parsed !== undefined) {
                resolvePending(parsed.key);
                if (abandoned.has(parsed.claimId)) {
                    releaseAbandoned(parsed.key, parsed.claimId);
                }
            }
        }
        if (!isFollowing) {
            isFollowing = true;
            deferred.forEach(one => one.retry());
        }
    }

    /** Defers a claim until the stream was read for the first time. */
    function waitForLog(req: ClaimRequest, decide: PendingClaim["decide"]): void {
        const limitMs = Math.min(Math.max(0, req.deadlineMs - clock.now()), claimTimeoutMs);
        const cancelTimer = clock.after(limitMs, () => {
            deferred.delete(one);
            decide({ kind: "unavailable", detail: "the claims stream was not read yet" });
        });
        const one: DeferredClaim = {
            retry: () => {
                cancelTimer();
                deferred.delete(one);
                claim(req, decide);
            },
        };
        deferred.add(one);
    }

    function follow(): void {
        if (isStopped) {
            return;
        }
        dependencies.read(ledger.nextOffset(), isFollowing ? readWaitMs : 0, page => {
            if (page.isOk) {
                applyPage(page.value);
                follow();
                return;
            }
            clock.after(readRetryMs, follow);
        });
    }

    function expire(one: PendingClaim): void {
        const held = ledger.find(one.req.key);
        const isHeldByOther = held !== undefined && held.claimId !== one.claimId;
        finish(
            one,
            isHeldByOther
                ? { kind: "running" }
                : { kind: "unavailable", detail: "the claim's record was not read back from the log in time" },
        );
    }

    function wait(req: ClaimRequest, claimId: string | undefined, decide: PendingClaim["decide"]): void {
        const remainingMs = Math.max(0, req.deadlineMs - clock.now());
        const limitMs = claimId === undefined ? remainingMs : Math.min(remainingMs, claimTimeoutMs);
        const one: PendingClaim = { req, claimId, decide, cancelTimer: clock.after(limitMs, () => expire(one)) };
        const group = pending.get(req.key) ?? new Set();
        pending.set(req.key, group.add(one));
    }

    function claim(req: ClaimRequest, decide: (verdict: ClaimVerdict) => void): void {
        const held = ledger.find(req.key);
        if (held !== undefined) {
            const verdict = classifyHeld(req, held, undefined);
            if (verdict === undefined) {
                wait(req, undefined, decide);
            }
            else {
                decide(verdict);
            }
            return;
        }
        if (!isFollowing) {
            waitForLog(req, decide);
            return;
        }
        if (!isComplete(req.issuedMs)) {
            decide({ kind: "keyExpired" });
            return;
        }
        const { key, fingerprint, issuedMs } = req;
        const claimId = dependencies.createClaimId();
        wait(req, claimId, decide);
        appender.add({ type: "claim", key, claimId, fingerprint, issuedMs, atMs: clock.wallNow() });
    }

    function conclude(key: string, claimId: string, conclusion: ClaimConclusion): void {
        if (conclusion.kind === "notRun") {
            appender.add({ type: "release", key, claimId, atMs: clock.wallNow() });
            return;
        }
        ledger.recordEnd(key, claimId, conclusion);
        appender.add(createEndRecord(key, claimId, conclusion, clock.wallNow()));
        resolvePending(key);
    }

    return {
        start: follow,
        claim,
        conclude,
        flush: appender.flush,
        stop: () => {
            isStopped = true;
            appender.stop();
        },
    };
}
