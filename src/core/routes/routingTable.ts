/**
 * @module
 * The operator's configuration of routes, services and customers, replaced as one version.
 */

import type { CustomerQuota } from "../quotas/quotaTypes.js";

/** Whether a request can be retried; a stream cannot be retried unless its route can resume it. */
export type RequestKind = "idempotent" | "nonIdempotent" | "stream";

/** A service and its weight in the traffic of a route. */
export interface ServiceShare {
    readonly service: string;
    /** Weight relative to the other shares of the route; 0 receives no traffic. */
    readonly weight: number;
}

/** One route. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Maximum time that a caller waits for the answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective: time within which an answer should begin, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Objective for the longest pause between the events of a stream, in milliseconds; undefined when not declared. */
    readonly longestPauseMs: number | undefined;
    /** Maximum number of upstreams to which one request may be sent. */
    readonly attempts: number;
    /** Priority of the route; 0 is the most urgent. */
    readonly priority: number;
    readonly shares: readonly ServiceShare[];
    /** Whether requests are accepted without a credential. */
    readonly isOpen: boolean;
    /** Whether an interrupted stream may be resumed on another upstream. */
    readonly isResumable: boolean;
}

/** Capacity and models of a service's engines. */
export interface EngineTraits {
    /** Maximum number of concurrent requests of one engine. */
    readonly slots: number;
    /** Memory of one engine for prompts and generated tokens, in tokens. */
    readonly memoryTokens: number;
    readonly models: readonly string[];
    /** Maximum number of concurrent readers of one engine's cache events. */
    readonly maxReaders: number;
}

/** A cache store, from which engines fetch cached prompt parts. */
export interface CacheStoreTraits {
    /** "ip:port". */
    readonly address: string;
    readonly failureDomain: string;
    /** Maximum number of concurrent readers of its cache events. */
    readonly maxReaders: number;
}

/** One service. */
export interface Service {
    readonly name: string;
    /** Maximum number of connections that one upstream accepts from all instances together. */
    readonly maxConnections: number;
    /** Undefined for a plain service. */
    readonly engine: EngineTraits | undefined;
    /** Undefined unless the service is a cache store. */
    readonly cacheStore: CacheStoreTraits | undefined;
}

/** One customer. */
export interface RouteCustomer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Takes precedence over a route's priority, which ranks the customer's own requests. */
    readonly priority: number | undefined;
    /** Whether the customer shares no cached prompts with other customers. */
    readonly isIsolated: boolean;
    /** What it may use over all instances together; undefined when it is not limited. */
    readonly quota: CustomerQuota | undefined;
}

/** Limits on the requests of callers. */
export interface IngressLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration; a higher version replaces a lower one completely. */
export interface RoutingTable {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly customers: readonly RouteCustomer[];
    readonly limits: IngressLimits;
}
