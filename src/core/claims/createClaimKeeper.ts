/**
 * @module
 * Claims keys on the log before a call is sent, and repeats the ends of calls that were claimed before.
 */
import type { Result } from "true-myth/result";
import type { LogPage } from "../ports/logPort.js";
import type { PortFailure } from "../ports/portFailure.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { type ClaimRecord, parseClaimRecord } from "./claimRecord.js";
import type { ClaimConclusion, ClaimEnd, ClaimRequest, ClaimVerdict, HeldClaim } from "./claimTypes.js";
import { createClaimLedger } from "./createClaimLedger.js";
import { createRecordAppender } from "./createRecordAppender.js";

/** Claims of one instance. */
export interface ClaimKeeper {
    /** Starts to follow the claims stream. */
    readonly start: () => void;
    /** Claims a key or says what became of it; calls `decide` exactly once, at once or later. */
    readonly claim: (req: ClaimRequest, decide: (verdict: ClaimVerdict) => void) => void;
    /** Ends a claim that was won. */
    readonly conclude: (key: string, claimId: string, conclusion: ClaimConclusion) => void;
    /** Sends the ends of calls to the log at once; calls `onDone` when the log has them or can't be reached. */
    readonly flush: (onDone: () => void) => void;
    readonly stop: () => void;
}

/** What the keeper needs. */
export interface ClaimKeeperDependencies {
    readonly clock: Clock;
    /** Appends records to the claims stream; calls `onDone` exactly once. */
    readonly append: (payloads: readonly string[], onDone: (isStored: boolean) => void) => void;
    /** Reads from an offset, waiting for records up to `waitMs`; calls `onDone` exactly once. */
    readonly read: (from: number, waitMs: number, onDone: (page: Result<LogPage, PortFailure>) => void) => void;
    /** Creates an id that no other claim has. */
    readonly createClaimId: () => string;
    readonly onAppend?: (records: number) => void;
}

/** Age from which a key is refused, in milliseconds; the log must keep records for longer. */
export const keyLifetimeMs = 900_000;

/**
 * Milliseconds by which clocks may differ and by which an append may take effect after it was sent. Keys that were
 * issued this short after the first kept record are refused.
 */
export const claimMarginMs = 60_000;

/** Time to get a verdict from the log, in milliseconds. */
const claimTimeoutMs = 2_000;

const readWaitMs = 1_000;
const readRetryMs = 100;
const maxLoggedAnswerBytes = 8 << 10;
const ledgerOptions = { maxClaims: 50_000, maxAnswerBytes: 8 << 20 } as const;

interface WaitingClaim {
    readonly req: ClaimRequest;
    /** Undefined for a repeat that waits for the end of another holder's call. */
    readonly claimId: string | undefined;
    readonly decide: (verdict: ClaimVerdict) => void;
    readonly cancelTimer: CancelTimer;
}

interface EarlyClaim {
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
 * Creates the keeper. A claim is won only when the stream was read up to the
 * claim's own record without a gap and no earlier claim on the key stands there; the answer of the append is not
 * trusted, so that losing it does no harm.
 *
 * @param dependencies - The log, the clock and an id source.
 * @returns The keeper.
 * @example
 * const keeper = createClaimKeeper({ clock, append, read, createClaimId: randomUUID });
 */
export function createClaimKeeper(dependencies: ClaimKeeperDependencies): ClaimKeeper {
    const { clock } = dependencies;
    const ledger = createClaimLedger(ledgerOptions);
    const appender = createRecordAppender(dependencies);
    const waiting = new Map<string, Set<WaitingClaim>>();
    const early = new Set<EarlyClaim>();
    /** Claim ids that were given up, with the time until which their records may show up. */
    const abandoned = new Map<string, number>();
    let isFollowing = false;
    let isStopped = false;

    const isComplete = (issuedMs: number) =>
        issuedMs >= ledger.completeSinceMs() + claimMarginMs && issuedMs >= clock.wallNow() - keyLifetimeMs;

    function judgeHeld(req: ClaimRequest, held: HeldClaim, claimId: string | undefined): ClaimVerdict | undefined {
        if (held.claimId === claimId) {
            return isComplete(req.issuedMs) ? { kind: "won", claimId } : { kind: "keyExpired" };
        }
        if (held.fingerprint !== req.fingerprint) {
            return { kind: "keyReused" };
        }
        return held.end === undefined ? undefined : { kind: "ended", end: held.end };
    }

    /** Takes a claim out of the waiting ones. */
    function remove(one: WaitingClaim): void {
        const group = waiting.get(one.req.key);
        group?.delete(one);
        if (group?.size === 0) {
            waiting.delete(one.req.key);
        }
        one.cancelTimer();
    }

    function settle(one: WaitingClaim, verdict: ClaimVerdict): void {
        remove(one);
        if (one.claimId !== undefined && verdict.kind !== "won") {
            abandon(one.req.key, one.claimId);
        }
        one.decide(verdict);
    }

    /** A claim that was given up is released, also when its record shows up only later. */
    function abandon(key: string, claimId: string): void {
        if (appender.withdraw(claimId)) {
            return;
        }
        forgetAbandoned();
        abandoned.set(claimId, clock.now() + claimMarginMs);
        releaseAbandoned(key, claimId);
    }

    /** Forgets claims whose records can't show up any more. */
    function forgetAbandoned(): void {
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

    /** Waits for the end of another holder's call in place of its own claim, which has lost. */
    function joinHolder(one: WaitingClaim): void {
        if (one.claimId !== undefined) {
            remove(one);
            abandon(one.req.key, one.claimId);
            wait(one.req, undefined, one.decide);
        }
    }

    /** A repeat that waited for a holder claims the key itself once the holder has released it. */
    function claimAgain(one: WaitingClaim): void {
        if (one.claimId === undefined) {
            remove(one);
            claim(one.req, one.decide);
        }
    }

    function wake(key: string): void {
        const held = ledger.find(key);
        for (const one of [...waiting.get(key) ?? []]) {
            if (held === undefined) {
                claimAgain(one);
                continue;
            }
            const verdict = judgeHeld(one.req, held, one.claimId);
            if (verdict === undefined) {
                joinHolder(one);
            }
            else {
                settle(one, verdict);
            }
        }
    }

    function takePage(page: LogPage): void {
        if (page.firstKept > ledger.nextOffset()) {
            const first = page.records[0] === undefined ? undefined : parseClaimRecord(page.records[0].payload);
            ledger.skipTo(page.firstKept, first?.atMs ?? clock.wallNow());
        }
        for (const record of page.records) {
            ledger.take(record.offset, record.payload);
            const parsed = parseClaimRecord(record.payload);
            if (parsed !== undefined) {
                wake(parsed.key);
                if (abandoned.has(parsed.claimId)) {
                    releaseAbandoned(parsed.key, parsed.claimId);
                }
            }
        }
        if (!isFollowing) {
            isFollowing = true;
            early.forEach(one => one.retry());
        }
    }

    /** Holds a claim back until the stream was read for the first time. */
    function waitForLog(req: ClaimRequest, decide: WaitingClaim["decide"]): void {
        const limitMs = Math.min(Math.max(0, req.deadlineMs - clock.now()), claimTimeoutMs);
        const cancelTimer = clock.after(limitMs, () => {
            early.delete(one);
            decide({ kind: "unavailable", detail: "the claims were not read yet" });
        });
        const one: EarlyClaim = {
            retry: () => {
                cancelTimer();
                early.delete(one);
                claim(req, decide);
            },
        };
        early.add(one);
    }

    function follow(): void {
        if (isStopped) {
            return;
        }
        dependencies.read(ledger.nextOffset(), isFollowing ? readWaitMs : 0, page => {
            if (page.isOk) {
                takePage(page.value);
                follow();
                return;
            }
            clock.after(readRetryMs, follow);
        });
    }

    function giveUp(one: WaitingClaim): void {
        const held = ledger.find(one.req.key);
        const isHeldByOther = held !== undefined && held.claimId !== one.claimId;
        settle(
            one,
            isHeldByOther ? { kind: "running" } : { kind: "unavailable", detail: "the log did not show it in time" },
        );
    }

    function wait(req: ClaimRequest, claimId: string | undefined, decide: WaitingClaim["decide"]): void {
        const remainingMs = Math.max(0, req.deadlineMs - clock.now());
        const limitMs = claimId === undefined ? remainingMs : Math.min(remainingMs, claimTimeoutMs);
        const one: WaitingClaim = { req, claimId, decide, cancelTimer: clock.after(limitMs, () => giveUp(one)) };
        const group = waiting.get(req.key) ?? new Set();
        waiting.set(req.key, group.add(one));
    }

    function claim(req: ClaimRequest, decide: (verdict: ClaimVerdict) => void): void {
        const held = ledger.find(req.key);
        if (held !== undefined) {
            const verdict = judgeHeld(req, held, undefined);
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
        ledger.noteEnd(key, claimId, conclusion);
        appender.add(createEndRecord(key, claimId, conclusion, clock.wallNow()));
        wake(key);
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
