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

function describeRoute(call: CallShape): unknown {
    return {
        name: call.name,
        host: callerHost,
        path_prefix: `/${call.name}/`,
        kind: wireKinds[call.kind],
        timeout_ms: call.timeoutMs,
        target_latency_ms: call.targetLatencyMs,
        gap_aim_ms: eventGapMs,
        service: call.kind === "stream" ? serviceNames.engines : serviceNames.servers,
        attempts: call.attempts,
        priority: 0,
    };
}

/**
 * Describes the operator's configuration.
 *
 * @param shape - The deployment.
 * @returns The record for the store, before it is encoded.
 */
export function describeConfiguration(shape: StopShape): unknown {
    const { engines, servers } = shape;
    const service = { health_path: "/health", max_conns: maxConnections };
    return {
        version: 1,
        routes: shape.calls.map(describeRoute),
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
