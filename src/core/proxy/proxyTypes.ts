/**
 * @module
 * A request with opaque method, path, headers and body, and the possible outcomes of sending it.
 */
import type { CandidateLoad, Prompt } from "../placement/placementTypes.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { Route, RouteCustomer } from "../routes/routingTable.js";

/** A header's name and value, as received. */
export type HeaderPair = readonly [name: string, value: string];

/** A validated request. Times are milliseconds on the instance's clock. */
export interface ProxyRequest {
    /** Id of the caller's attempt; the upstream returns it in its answer. */
    readonly id: string;
    readonly method: string;
    /** Path and query, as received. */
    readonly target: string;
    /** Headers to forward. */
    readonly headers: readonly HeaderPair[];
    readonly body: Uint8Array | undefined;
    readonly route: Route;
    readonly service: string;
    readonly customer: RouteCustomer | undefined;
    readonly prompt: Prompt | undefined;
    /** Prompt and maximum output tokens together; left out when the request states none. */
    readonly tokenCount?: number | undefined;
    /** Id of the last event that the caller has received, when it resumes a stream. */
    readonly lastEventId: string | undefined;
    readonly arrivedMs: number;
    /** Time at which the final answer is due: the caller's deadline or the route's timeout. */
    readonly deadlineMs: number;
    /** Lower values are served first, starting at 0. */
    readonly priority: number;
}

/** How an engine stands among the homes of a shared prompt. */
export interface PlacedHome {
    /** Place in the list of homes and of the engines that follow them, from 0; undefined for any other engine. */
    readonly rank: number | undefined;
    /** Number of homes. */
    readonly homes: number;
    /** Requests a second of the fleet that the prompt has at least. */
    readonly requestsPerSecond: number;
}

/** Where a request is sent. */
export interface Placement {
    readonly upstream: UpstreamRecord;
    /** Weights that the upstream must have; undefined for a plain service. */
    readonly weightsVersion: number | undefined;
    /** Partitions cached prompts by weights and isolated customers; undefined for a plain service. */
    readonly cacheSalt: string | undefined;
    /** "ip:port" from which the engine fetches prompt parts that it lacks. */
    readonly cacheSource: string | undefined;
    /** "ip:port" of the store to which the engine sends prompt parts after their prefill. */
    readonly cacheTarget: string | undefined;
    /** The engine among the homes of the shared prompt; undefined or left out where none are agreed on. */
    readonly home?: PlacedHome | undefined;
    /** Prompt tokens that the engine has in its cache, as known to this instance. */
    readonly heldTokens: number;
    /** Prompt tokens that the engine should fetch from `cacheSource`, as known to this instance. */
    readonly fetchedTokens: number;
    /** Load by which the upstream was chosen; undefined when it states none. */
    readonly load?: CandidateLoad | undefined;
}

/** An upstream's complete answer. */
export interface UpstreamAnswer {
    readonly status: number;
    readonly headers: readonly HeaderPair[];
    readonly body: Uint8Array;
}

/** Why an upstream did not run a request.
 *
 * - `busy`: it has no free capacity or is draining.
 * - `replaced`: misdirected; its address is reused by another process.
 * - `otherWeights`: it has other weights than expected. */
export type RejectionReason = "busy" | "replaced" | "otherWeights";

/** The outcome of one send.
 *
 * - `finished`: the answer was streamed to the caller to its end.
 * - `answered`: the answer is complete and not yet delivered.
 * - `notSent`: no byte of the request was written.
 * - `rejected`: the upstream reported that it did not run the request.
 * - `lost`: the request may have run; its answer did not arrive completely.
 * - `expired`: the deadline passed after the request was sent.
 * - `stopped`: the instance stopped after the request was sent and before its answer was complete.
 * - `callerGone`: the caller disconnected. */
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
    | { readonly kind: "stopped"; readonly delivered: StreamProgress | undefined; }
    | { readonly kind: "callerGone"; };

/** How much of a stream the caller has received. */
export interface StreamProgress {
    /** Whether an event was delivered in this send. */
    readonly hasEvents: boolean;
    /** Id of the last complete event that was delivered; undefined when events had no id. */
    readonly lastEventId: string | undefined;
}
