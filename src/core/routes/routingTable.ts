/**
 * @module
 * The operator's configuration of routes, services and customers, as one whole version.
 */

/** What a request may be repeated as: a stream counts as not repeatable unless its route can resume it. */
export type RequestKind = "idempotent" | "nonIdempotent" | "stream";

/** A service with its part of a route's traffic. */
export interface ServiceShare {
    readonly service: string;
    /** Weight among the shares of the route; 0 takes no traffic. */
    readonly weight: number;
}

/** One route. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer is on time, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Longest pause between the events of a stream that is on time, in milliseconds; undefined when not declared. */
    readonly longestPauseMs: number | undefined;
    /** Most upstreams to which one request may be sent. */
    readonly attempts: number;
    /** Rank of the route; 0 is served first. */
    readonly priority: number;
    readonly shares: readonly ServiceShare[];
    /** Whether requests need no credential. */
    readonly isOpen: boolean;
    /** Whether a broken stream may go on at another upstream. */
    readonly isResumable: boolean;
}

/** What a service's model engines can do. */
export interface EngineTraits {
    /** Requests that one engine runs at once. */
    readonly slots: number;
    /** Memory of one engine for prompts and generated tokens, in tokens. */
    readonly memoryTokens: number;
    readonly models: readonly string[];
    /** Reads of its events that one engine answers at once. */
    readonly maxReaders: number;
}

/** A store of kept cache, from which engines fetch prompt parts. */
export interface CacheStoreTraits {
    /** "ip:port". */
    readonly address: string;
    readonly failureDomain: string;
    /** Reads of its events that it answers at once. */
    readonly maxReaders: number;
}

/** One service. */
export interface Service {
    readonly name: string;
    /** Connections that one upstream accepts from all instances. */
    readonly maxConnections: number;
    /** Undefined for a plain service. */
    readonly engine: EngineTraits | undefined;
    /** Undefined unless the service is a store of kept cache. */
    readonly cacheStore: CacheStoreTraits | undefined;
}

/** One customer. */
export interface RouteCustomer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Takes precedence over a route's priority. */
    readonly priority: number | undefined;
    /** Whether the customer shares no cached prompt with another one. */
    readonly isIsolated: boolean;
}

/** Bounds on what a caller may send. */
export interface IngressLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration; a higher version replaces a lower one as a whole. */
export interface RoutingTable {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly customers: readonly RouteCustomer[];
    readonly limits: IngressLimits;
}
