/**
 * @module
 * Attempts of a service call at successive upstreams, as long as a retry is safe.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { CompleteAnswer, Steps } from "../effects/effectTypes.js";
import { perform } from "../effects/perform.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ExecutionOutcome } from "../errors/errorTable.js";
import { alignRefusal } from "./alignRefusal.js";
import { combineOutcomes } from "./combineOutcomes.js";
import { computeRetryDelay } from "./computeRetryDelay.js";
import type { ServiceRequest } from "./requestTypes.js";
import type { RetryDependencies } from "./retryTypes.js";
import { runServiceCall, type ServiceCallEnd } from "./runServiceCall.js";

/** What the attempts need from the instance. */
export interface ServiceAttemptDependencies extends RetryDependencies {
    /** Returns the upstreams of a service in the order in which they are tried. */
    readonly rankUpstreams: (service: string) => readonly Upstream[];
}

/** How the attempts ended. */
export interface ServiceAttemptsEnd {
    /** Undefined when the call was refused. */
    readonly answer: CompleteAnswer | undefined;
    /** Undefined when there is an answer; consistent with the outcome of all attempts. */
    readonly refusal: Refusal | undefined;
    readonly outcome: ExecutionOutcome;
    readonly upstream: string | undefined;
}

const maxAttempts = 4;

/** Divisor of an idempotent call's remaining time that gives its head timeout, so that it can be retried in time. */
const headAttemptsPerDeadline = 3;

/** Checks that another attempt cannot run a non-idempotent call twice. */
function isSafeToRetry(req: ServiceRequest, outcome: ExecutionOutcome): boolean {
    return !req.isNonIdempotent || outcome === "notRun";
}

function* mayRetry(
    req: ServiceRequest,
    attempt: number,
    outcome: ExecutionOutcome,
    dependencies: RetryDependencies,
): Steps<boolean> {
    if (!isSafeToRetry(req, outcome)) {
        return false;
    }
    if (attempt + 1 >= maxAttempts) {
        dependencies.countDenial("attempts");
        return false;
    }
    if (!dependencies.retryBudget.tryAcquire()) {
        dependencies.countDenial("budget");
        return false;
    }
    const delayMs = computeRetryDelay(attempt, dependencies.random);
    if (dependencies.now() + delayMs >= req.deadlineMs) {
        dependencies.countDenial("deadline");
        return false;
    }
    const waited = yield* perform({ kind: "wait", delayMs, outlivesCaller: req.isNonIdempotent });
    return waited === "elapsed";
}

function runOnce(req: ServiceRequest, upstream: Upstream, attempt: number, nowMs: number): Steps<ServiceCallEnd> {
    const remainingMs = req.deadlineMs - nowMs;
    const timeoutMs = req.isNonIdempotent ? remainingMs : remainingMs / headAttemptsPerDeadline;
    return runServiceCall(req, { upstream, attempt, timeoutMs, remainingMs });
}

/**
 * Runs the attempts. A non-idempotent call is retried at the next upstream only while no attempt can have run.
 *
 * @param req - The call.
 * @param dependencies - Upstreams, retries and counters.
 * @returns Steps that return the answer, or a refusal that is consistent with the outcome of all attempts.
 * @example
 * const end = yield* runServiceAttempts(req, dependencies);
 */
export function* runServiceAttempts(
    req: ServiceRequest,
    dependencies: ServiceAttemptDependencies,
): Steps<ServiceAttemptsEnd> {
    const ranked = dependencies.rankUpstreams(req.service.id);
    let refusal = createRefusal("noUpstream", `service "${req.service.id}"`);
    let outcome: ExecutionOutcome = "notRun";
    let last: string | undefined;
    dependencies.retryBudget.recordRequest();
    for (let attempt = 0; ranked.length > 0; attempt += 1) {
        if (dependencies.now() >= req.deadlineMs) {
            refusal = createRefusal(outcome === "notRun" ? "deadlineBeforeSend" : "deadlineExceeded", "");
            break;
        }
        const upstream = ranked[attempt % ranked.length]!;
        last = upstream.id;
        const end = yield* runOnce(req, upstream, attempt, dependencies.now());
        if (end.kind === "answered") {
            return { answer: end.answer, refusal: undefined, outcome: "run", upstream: last };
        }
        if (end.kind === "callerGone") {
            refusal = createRefusal("cancelled", "");
            break;
        }
        refusal = end.refusal;
        outcome = combineOutcomes(outcome, end.outcome);
        if (!(yield* mayRetry(req, attempt, outcome, dependencies))) {
            break;
        }
        dependencies.countRetry(end.reason);
    }
    return { answer: undefined, refusal: alignRefusal(refusal, outcome), outcome, upstream: last };
}
