/**
 * @module
 * Processing of a call to a plain service.
 */
import type { ClaimConclusion, ClaimEnd, ClaimRequest, ClaimVerdict } from "../claims/claimTypes.js";
import { parseKeyIssueTime } from "../claims/parseKeyIssueTime.js";
import type { Steps } from "../effects/effectTypes.js";
import { perform } from "../effects/perform.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { hashCall } from "./hashCall.js";
import type { ServiceRequest } from "./requestTypes.js";
import { runServiceAttempts, type ServiceAttemptDependencies, type ServiceAttemptsEnd } from "./runServiceAttempts.js";

/** What a service call needs from the instance. */
export interface ServiceRequestDependencies extends ServiceAttemptDependencies {
    /** Milliseconds since the Unix epoch. */
    readonly wallNow: () => number;
}

/** How a service call ended. */
export interface ServiceRequestReport {
    readonly upstream: string | undefined;
    /** Undefined when an answer was sent to the caller. */
    readonly refusal: Refusal | undefined;
}

/** Milliseconds by which a caller's clock may be ahead. */
const maxClockLeadMs = 30_000;

/** Retry delay for callers whose claim could not be recorded or has not ended. */
const claimRetryAfterMs = 1_000;

function* refuse(refusal: Refusal, upstream?: string): Steps<ServiceRequestReport> {
    yield* perform({ kind: "refuse", refusal });
    return { upstream, refusal };
}

function* report(end: ServiceAttemptsEnd): Steps<ServiceRequestReport> {
    if (end.answer === undefined) {
        return yield* refuse(end.refusal!, end.upstream);
    }
    yield* perform({ kind: "answer", answer: end.answer });
    return { upstream: end.upstream, refusal: undefined };
}

function* replayOutcome(end: ClaimEnd): Steps<ServiceRequestReport> {
    if (end.kind === "unknown") {
        return yield* refuse(createRefusal("outcomeUnknown", "the answer to an earlier call with this key was lost"));
    }
    if (end.answer === undefined) {
        return yield* refuse(createRefusal("alreadyRun", ""));
    }
    yield* perform({ kind: "answer", answer: end.answer });
    return { upstream: undefined, refusal: undefined };
}

function toConclusion(end: ServiceAttemptsEnd): ClaimConclusion {
    if (end.answer !== undefined) {
        return { kind: "answered", answer: end.answer };
    }
    return end.outcome === "notRun" ? { kind: "notRun" } : { kind: "unknown" };
}

function createClaimRequest(req: ServiceRequest, key: string, issuedMs: number): ClaimRequest {
    return {
        key: `${req.customer.id}/${req.service.id}/${key}`,
        fingerprint: hashCall(req.method, req.path, req.body),
        issuedMs,
        deadlineMs: req.deadlineMs,
    };
}

function refuseVerdict(verdict: Exclude<ClaimVerdict, { readonly kind: "won" | "ended"; }>): Refusal {
    const options = { retryAfterMs: claimRetryAfterMs };
    switch (verdict.kind) {
        case "running":
            return createRefusal("alreadyRunning", "", options);
        case "keyReused":
            return createRefusal("keyReused", "");
        case "keyExpired":
            return createRefusal("keyExpired", "");
        case "unavailable":
            return createRefusal("claimUnavailable", verdict.detail, options);
    }
}

function* serveUnderClaim(
    req: ServiceRequest,
    claim: ClaimRequest,
    dependencies: ServiceRequestDependencies,
): Steps<ServiceRequestReport> {
    const verdict = yield* perform({ kind: "claim", req: claim });
    if (verdict.kind === "ended") {
        return yield* replayOutcome(verdict.end);
    }
    if (verdict.kind !== "won") {
        return yield* refuse(refuseVerdict(verdict));
    }
    const end = yield* runServiceAttempts(req, dependencies);
    const { claimId } = verdict;
    yield* perform({ kind: "conclude", key: claim.key, claimId, conclusion: toConclusion(end) });
    return yield* report(end);
}

function* serveNonIdempotent(
    req: ServiceRequest,
    dependencies: ServiceRequestDependencies,
): Steps<ServiceRequestReport> {
    const key = req.idempotencyKey;
    if (key === undefined) {
        return yield* refuse(createRefusal("missingIdempotencyKey", `${req.method} ${req.path}`));
    }
    const issuedMs = parseKeyIssueTime(key);
    if (issuedMs === undefined) {
        const detail = "expected a UUID version 7, or 13 digits of milliseconds since 1970, \"-\" and any text";
        return yield* refuse(createRefusal("malformedIdempotencyKey", detail));
    }
    if (issuedMs > dependencies.wallNow() + maxClockLeadMs) {
        return yield* refuse(createRefusal("malformedIdempotencyKey", "its issue time is in the future"));
    }
    return yield* serveUnderClaim(req, createClaimRequest(req, key, issuedMs), dependencies);
}

/**
 * Serves a call to a plain service. An idempotent call is retried at the next upstream; a non-idempotent call is sent
 * only after its idempotency key was claimed on the log.
 *
 * @param req - The validated call.
 * @param dependencies - Upstreams, retries and counters.
 * @returns Steps that return a report of how the call ended.
 * @example
 * runSteps(serveServiceRequest(req, dependencies), handlers, onDone, onError);
 */
export function* serveServiceRequest(
    req: ServiceRequest,
    dependencies: ServiceRequestDependencies,
): Steps<ServiceRequestReport> {
    if (req.isNonIdempotent) {
        return yield* serveNonIdempotent(req, dependencies);
    }
    return yield* report(yield* runServiceAttempts(req, dependencies));
}
