/**
 * @module
 * The configuration of a deployment whose stops are played.
 */
import { servedModel } from "./startTimedUpstream.js";
import type { CallShape, StopShape } from "./stopShapes.js";
import type { CallKind } from "./stopTypes.js";

/** Host that callers ask for. */
export const callerHost = "letters.example";

/** API key of the callers. */
export const callerKey = "key-clinic";

/** Service of the engines, which answer in streams, and of the other upstreams. */
export const serviceNames = { engines: "adapt", servers: "portal" } as const;

const maxConnections = 400;
const eventGapMs = 300;
const wireKinds = {
    idempotent: "idempotent",
    nonIdempotent: "non_idempotent",
    stream: "stream",
} as const satisfies Record<
    CallKind,
    string
>;

/** By how much each version of the configuration raises the timeouts, in milliseconds. */
const timeoutStepMs = 100;

function describeRoute(call: CallShape, version: number): unknown {
    return {
        name: call.name,
        host: callerHost,
        path_prefix: `/${call.name}/`,
        kind: wireKinds[call.kind],
        timeout_ms: call.timeoutMs + (version - 1) * timeoutStepMs,
        target_latency_ms: call.targetLatencyMs,
        gap_aim_ms: eventGapMs,
        service: call.kind === "stream" ? serviceNames.engines : serviceNames.servers,
        attempts: call.attempts,
        can_resume: call.canResume ?? false,
        priority: 0,
    };
}

function addRoutes(shape: StopShape, version: number): readonly CallShape[] {
    return Array.from({ length: version - 1 }, (_, index) => ({ ...shape.calls[0]!, name: `added-${index + 1}` }));
}

/**
 * Describes the operator's configuration.
 *
 * @param shape - The deployment.
 * @param version - Its version, from 1 on. Each one beyond the first raises the timeouts and adds a route that nobody uses.
 * @returns The record for the store, before it is encoded.
 */
export function describeConfiguration(shape: StopShape, version: number): unknown {
    const { engines, servers } = shape;
    const service = { health_path: "/health", max_conns: maxConnections };
    return {
        version,
        routes: [...shape.calls, ...addRoutes(shape, version)].map(call => describeRoute(call, version)),
        services: [
            {
                ...service,
                name: serviceNames.engines,
                engine: {
                    slots: engines.slots,
                    kv_tokens: 1_000_000,
                    max_inflight: 16,
                    models: [{ name: servedModel }],
                },
            },
            { ...service, name: serviceNames.servers, slots: servers.slots },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 20_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "clinic", api_keys: [callerKey], isolated: false }],
    };
}
