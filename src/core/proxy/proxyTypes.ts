/**
 * @module
 * A request with opaque method, path, headers and body, and what can become of one send of it.
 */
import type { Prompt } from "../placement/placementTypes.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { Route, RouteCustomer } from "../routes/routingTable.js";

/** A header's name and value, as received. */
export type HeaderPair = readonly [name: string, value: string];

/** A request that has been checked. Times are milliseconds on the instance's clock. */
export interface ProxyRequest {
    /** Id of the caller's attempt; the upstream repeats it in its answer. */
    readonly id: string;
    readonly method: string;
    /** Path and query, as received. */
    readonly target: string;
    /** Headers to be passed on. */
    readonly headers: readonly HeaderPair[];
    readonly body: Uint8Array | undefined;
    readonly route: Route;
    readonly service: string;
    readonly customer: RouteCustomer | undefined;
    readonly prompt: Prompt | undefined;
    /** Last event of a stream that the caller has, when it resumes one. */
    readonly lastEventId: string | undefined;
    readonly arrivedMs: number;
    /** Time at which the final answer is due: the caller's deadline or the route's timeout. */
    readonly deadlineMs: number;
    /** 0 is served first. */
    readonly priority: number;
}

/** Where a request is sent. */
export interface Placement {
    readonly upstream: UpstreamRecord;
    /** Weights that the upstream must have; undefined for a plain service. */
    readonly weightsVersion: number | undefined;
    /** Separates cached prompts by weights and isolated customers; undefined for a plain service. */
    readonly cacheSalt: string | undefined;
    /** "ip:port" from which the engine fetches prompt parts that it lacks. */
    readonly cacheSource: string | undefined;
    /** "ip:port" of the store to which the engine sends parts that it has read. */
    readonly cacheTarget: string | undefined;
    /** Tokens of the prompt that the engine keeps, and that it is to fetch, as this instance sees it. */
    readonly heldTokens: number;
    readonly fetchedTokens: number;
}

/** An upstream's whole answer. */
export interface UpstreamAnswer {
    readonly status: number;
    readonly headers: readonly HeaderPair[];
    readonly body: Uint8Array;
}

/** Why an upstream did not run a request: it has no room or leaves, another process has its address, or it has other
 * weights than expected. */
export type RejectionReason = "busy" | "replaced" | "otherWeights";

/** What became of one send.
 *
 * - `finished`: the answer was streamed to the caller to its end.
 * - `answered`: the answer is whole and not yet delivered.
 * - `notSent`: no byte of the request was written.
 * - `rejected`: the upstream says that it did not run the request.
 * - `lost`: the request may have run; its answer did not arrive whole.
 * - `expired`: the deadline passed after it was sent. */
export type SendOutcome =
    | { readonly kind: "finished"; }
    | { readonly kind: "answered"; readonly answer: UpstreamAnswer; }
    | { readonly kind: "notSent"; readonly detail: string; }
    | {
        readonly kind: "rejected";
        readonly status: number;
        readonly reason: RejectionReason;
        readonly retryAfterMs: number | undefined;
    }
    | { readonly kind: "lost"; readonly detail: string; readonly delivered: StreamProgress | undefined; }
    | { readonly kind: "expired"; readonly delivered: StreamProgress | undefined; }
    | { readonly kind: "callerGone"; };

/** How much of a stream the caller has. */
export interface StreamProgress {
    /** Id of the last whole event that was delivered; undefined when events had no id. */
    readonly lastEventId: string | undefined;
}
