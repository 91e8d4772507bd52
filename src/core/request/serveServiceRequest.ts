/**
 * @module
 * The life of a call to a plain service.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { AnswerHead, Steps } from "../effects/effectTypes.js";
import { perform } from "../effects/perform.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { ServiceRequest } from "./requestTypes.js";
import type { RetryReason } from "./serveModelRequest.js";

/** What the life of a service call needs from the instance. */
export interface ServiceRequestDependencies {
    /** Upstreams of the service in the order in which they should be tried. */
    readonly rankUpstreams: (service: string) => readonly Upstream[];
    readonly countRetry: (reason: RetryReason) => void;
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
}

/** How a service call ended. */
export interface ServiceRequestReport {
    readonly upstream: string | undefined;
    /** Undefined when the upstream's answer was passed on. */
    readonly refusal: Refusal | undefined;
}

type CallResult =
    | { readonly kind: "done"; }
    | { readonly kind: "retry"; readonly reason: RetryReason; readonly refusal: Refusal; };

function* callOnce(req: ServiceRequest, upstream: Upstream, nowMs: number): Steps<CallResult> {
    const timeoutMs = Math.max(1, Math.floor(req.deadlineMs - nowMs));
    const headers: Record<string, string> = { "x-correlation-id": req.requestId, "x-deadline-ms": String(timeoutMs) };
    if (req.contentType !== undefined) {
        headers["content-type"] = req.contentType;
    }
    const sent = yield* perform({
        kind: "send",
        call: {
            upstream,
            method: req.method,
            path: req.path,
            headers,
            body: req.body.length === 0 ? undefined : req.body,
            correlationId: req.requestId,
            timeoutMs,
        },
    });
    if (sent.kind !== "answered") {
        const kind = sent.kind === "notSent" ? "upstreamNotReached" : "outcomeUnknown";
        return { kind: "retry", reason: sent.kind, refusal: createRefusal(kind, sent.detail) };
    }
    return yield* passOn(req, sent.head);
}

function* passOn(req: ServiceRequest, head: AnswerHead): Steps<CallResult> {
    const collected = yield* perform({ kind: "collect", deadlineMs: req.deadlineMs });
    if (collected.kind === "broken") {
        return { kind: "retry", reason: "lost", refusal: createRefusal("outcomeUnknown", collected.end) };
    }
    const { status, contentType } = head;
    yield* perform({ kind: "answer", answer: { status, contentType, body: collected.body } });
    return { kind: "done" };
}

/**
 * Serves a call to a plain service. A repeatable call is retried at the next upstream.
 *
 * @param req - The checked call.
 * @param dependencies - Upstreams and counters.
 * @returns Steps that return a report of how the call ended.
 * @example
 * runSteps(serveServiceRequest(req, dependencies), handlers, onDone, onError);
 */
export function* serveServiceRequest(
    req: ServiceRequest,
    dependencies: ServiceRequestDependencies,
): Steps<ServiceRequestReport> {
    if (req.isUnrepeatable) {
        const refusal = createRefusal("claimUnavailable", "claims are not kept by this version");
        yield* perform({ kind: "refuse", refusal });
        return { upstream: undefined, refusal };
    }
    let refusal = createRefusal("noUpstream", `service "${req.service.id}"`);
    for (const upstream of dependencies.rankUpstreams(req.service.id)) {
        if (dependencies.now() >= req.deadlineMs) {
            break;
        }
        const result = yield* callOnce(req, upstream, dependencies.now());
        if (result.kind === "done") {
            return { upstream: upstream.id, refusal: undefined };
        }
        refusal = result.refusal;
        dependencies.countRetry(result.reason);
    }
    yield* perform({ kind: "refuse", refusal });
    return { upstream: undefined, refusal };
}
