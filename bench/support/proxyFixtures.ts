/**
 * @module
 * Request, route and upstream fixtures of the proxy scenarios.
 */
import type { Prompt } from "../../src/core/placement/placementTypes.js";
import type { Placement, ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import type { UpstreamRecord } from "../../src/core/registry/upstreamRecord.js";
import type { RequestKind, Route, RoutingTable } from "../../src/core/routes/routingTable.js";

/** Creates an upstream record. */
export function createRecord(changes: Partial<UpstreamRecord> = {}): UpstreamRecord {
    return {
        id: "u-1",
        service: "adapt",
        address: "127.0.0.1:1",
        failureDomain: "north",
        isDraining: false,
        slots: 8,
        startedAtMs: 1,
        weights: [{ model: "easy-read", version: 1 }],
        acceptedOrders: 0,
        ...changes,
    };
}

/** Creates a route. */
export function createRoute(changes: Partial<Route> = {}): Route {
    return {
        name: "letters",
        host: "letters.example",
        pathPrefix: "/adapt/",
        kind: "idempotent",
        timeoutMs: 4_000,
        targetLatencyMs: 300,
        longestPauseMs: 300,
        attempts: 2,
        priority: 0,
        shares: [{ service: "adapt", weight: 1 }],
        isOpen: false,
        isResumable: false,
        ...changes,
    };
}

/** Creates a routing table with one engine service. */
export function createTable(changes: Partial<RoutingTable> = {}): RoutingTable {
    return {
        version: 1,
        routes: [createRoute()],
        services: [{
            name: "adapt",
            maxConnections: 64,
            engine: { slots: 8, memoryTokens: 20_000, models: ["easy-read"], maxReaders: 8 },
            cacheStore: undefined,
        }],
        customers: [{ name: "clinic", keys: ["key-clinic"], priority: undefined, isIsolated: false, quota: undefined }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        ...changes,
    };
}

/** Creates a prompt of parts that other prompts share and a part of its own. */
export function createPrompt(changes: Partial<Prompt> = {}): Prompt {
    return {
        model: "easy-read",
        parts: [{ id: "style", tokens: 2_000 }, { id: "case", tokens: 4_000 }, { id: "own", tokens: 1_000 }],
        promptTokens: 7_000,
        outputTokens: 20,
        ...changes,
    };
}

/** Creates the placement of a request without a prompt. */
export function createPlainPlacement(upstream: UpstreamRecord): Placement {
    return {
        upstream,
        weightsVersion: undefined,
        cacheSalt: undefined,
        cacheSource: undefined,
        cacheTarget: undefined,
        heldTokens: 0,
        fetchedTokens: 0,
    };
}

/** Creates a request of a kind. */
export function createProxyRequest(
    kind: RequestKind,
    changes: Partial<ProxyRequest> = {},
    isResumable = false,
): ProxyRequest {
    return {
        id: "attempt-1",
        method: "POST",
        target: "/adapt/7",
        headers: [["host", "letters.example"], ["attempt-id", "attempt-1"]],
        body: Buffer.from("letter"),
        route: createRoute({ kind, isResumable }),
        service: "adapt",
        customer: undefined,
        prompt: undefined,
        lastEventId: undefined,
        arrivedMs: 0,
        deadlineMs: 3_000,
        priority: 0,
        ...changes,
    };
}
