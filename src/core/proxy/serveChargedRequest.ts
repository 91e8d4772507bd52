/**
 * @module
 * The control flow of a request whose customer has a quota: it is charged before it is placed, and what was charged is given back once
 * if no upstream has run it.
 */
import type { Refusal } from "../errors/createRefusal.js";
import type { CustomerQuota } from "../quotas/quotaTypes.js";
import type { ProxyEffect, ProxyEffectResults } from "./proxyEffects.js";
import type { ProxyRequest } from "./proxyTypes.js";
import { type ServeProxyDependencies, serveProxyRequest } from "./serveProxyRequest.js";

/** Charges the request to its customer's quota, waiting shortly if need be; returns a {@link ChargeResult}. */
export interface ChargeEffect {
    readonly kind: "charge";
    readonly customer: string;
    readonly quota: CustomerQuota;
}

/** Result of a charge effect. `callerGone`: the caller disconnected, and nothing is charged. */
export type ChargeResult =
    | { readonly kind: "charged"; readonly giveBack: () => void; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "callerGone"; };

/** Every effect of a request that may be charged. */
export type ChargedEffect = ProxyEffect | ChargeEffect;

/** The result type of each effect kind. */
export interface ChargedEffectResults extends ProxyEffectResults {
    readonly charge: ChargeResult;
}

/**
 * Serves a request to its final answer, after it was charged where its customer has a quota.
 *
 * @param req - The request.
 * @param deps - The retry budget and the retry callback.
 * @returns Steps that end when the caller has its answer or has disconnected.
 * @example
 * runSteps(serveChargedRequest(req, deps), handlers, onDone, onError);
 */
export function* serveChargedRequest(
    req: ProxyRequest,
    deps: ServeProxyDependencies,
): Generator<ChargedEffect, void, unknown> {
    const { customer } = req;
    if (customer?.quota === undefined) {
        yield* serveProxyRequest(req, deps);
        return;
    }
    const charge: ChargeEffect = { kind: "charge", customer: customer.name, quota: customer.quota };
    const charged = (yield charge) as ChargeResult;
    switch (charged.kind) {
        case "charged":
            yield* serveProxyRequest(req, { ...deps, onNotRun: charged.giveBack });
            break;
        case "refused":
            yield { kind: "refuse", refusal: charged.refusal };
            break;
        case "callerGone":
            break;
    }
}
