/**
 * @module
 * Serves a request of a modelled instance: the placer and the retry decisions of the product, before modelled upstreams.
 */
import { runSteps } from "../../src/core/effects/runSteps.js";
import type { Refusal } from "../../src/core/errors/createRefusal.js";
import type { Placer } from "../../src/core/placement/createPlacer.js";
import type { FleetRetryBudget } from "../../src/core/proxy/createFleetRetryBudget.js";
import type { ProxyEffect, ProxyEffectResults, SendEffect } from "../../src/core/proxy/proxyEffects.js";
import type { ProxyRequest, SendOutcome } from "../../src/core/proxy/proxyTypes.js";
import { serveProxyRequest } from "../../src/core/proxy/serveProxyRequest.js";

/** What the request is served with. */
export interface ModelServing {
    readonly now: () => number;
    readonly placer: Placer;
    readonly retryBudget: FleetRetryBudget;
    readonly send: (effect: SendEffect, resume: (outcome: SendOutcome) => void) => void;
    /** Receives whether the answer was complete, and the refusal if there was one. */
    readonly onEnd: (isAnswered: boolean, refusal: Refusal | undefined) => void;
}

/** Serves a request to its end. */
export function serveOnModel(req: ProxyRequest, serving: ModelServing): void {
    const { now, placer, retryBudget } = serving;
    retryBudget.recordRequest(req.service, now());
    let isAnswered = false;
    let refused: Refusal | undefined;
    const steps = serveProxyRequest(req, {
        tryAcquireRetry: service => retryBudget.tryAcquire(service, now()),
        hasRetry: service => retryBudget.hasRetry(service, now()),
        hasAlternative: placer.hasAlternative,
        onRetry: () => undefined,
    });
    runSteps<void, ProxyEffect, ProxyEffectResults>(
        steps,
        {
            place: (effect, resume) => {
                placer.place(req, effect, resume);
            },
            send: (effect, resume) =>
                serving.send(effect, outcome => {
                    isAnswered ||= outcome.kind === "finished";
                    resume(outcome);
                }),
            answer: (_, resume) => resume(undefined),
            refuse: ({ refusal }, resume) => {
                refused = refusal;
                resume(undefined);
            },
            cut: (_, resume) => resume(undefined),
        },
        () => serving.onEnd(isAnswered, refused),
        error => {
            throw error;
        },
    );
}
