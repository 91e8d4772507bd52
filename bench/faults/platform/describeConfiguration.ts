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
export const serviceNames = { engines: "adapt", servers: "portal", otherServers: "portal-next" } as const;

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

/** Added routes that are kept; older ones are removed. */
const maxAddedRoutes = 20;

const limits = { max_header_bytes: 16_384, max_body_bytes: 20_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };

/** Limits that follow one another where they change; callers stay within the smallest. */
const changingLimits = [
    { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    { max_header_bytes: 8_192, max_body_bytes: 524_288, header_timeout_ms: 1_500, idle_timeout_ms: 2_500 },
    { max_header_bytes: 32_768, max_body_bytes: 2_097_152, header_timeout_ms: 5_000, idle_timeout_ms: 6_000 },
] as const;

/** By how much each version of the configuration raises the timeouts, in milliseconds. */
const timeoutStepMs = 100;

/** The service of the plain routes. */
function nameServers(shape: StopShape, version: number): string {
    return shape.changesLimits === true && version % 2 === 0 ? serviceNames.otherServers : serviceNames.servers;
}

function describeRoute(shape: StopShape, call: CallShape, version: number): unknown {
    return {
        name: call.name,
        host: callerHost,
        path_prefix: `/${call.name}/`,
        kind: wireKinds[call.kind],
        timeout_ms: call.timeoutMs + (version - 1) * timeoutStepMs,
        target_latency_ms: call.targetLatencyMs,
        gap_aim_ms: eventGapMs,
        service: call.kind === "stream" ? serviceNames.engines : nameServers(shape, version),
        attempts: call.attempts,
        can_resume: call.canResume ?? false,
        priority: 0,
    };
}

function addRoutes(shape: StopShape, version: number): readonly CallShape[] {
    const added = version - 1;
    const first = Math.max(0, added - maxAddedRoutes);
    return Array.from({ length: added - first }, (_, index) => ({
        ...shape.calls[0]!,
        name: `added-${first + index + 1}`,
    }));
}

/**
 * Describes the operator's configuration.
 *
 * @param shape - The deployment.
 * @param version - Its version, from 1 on. Each one beyond the first raises the timeouts and adds a route
 * that nobody uses; if the shape says so, it changes the limits and moves the plain routes.
 * @returns The record for the store, before it is encoded.
 */
export function describeConfiguration(shape: StopShape, version: number): unknown {
    const { engines, servers, changesLimits = false } = shape;
    const service = { health_path: "/health", max_conns: maxConnections };
    return {
        version,
        routes: [...shape.calls, ...addRoutes(shape, version)].map(call => describeRoute(shape, call, version)),
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
            ...(changesLimits ? [{ ...service, name: serviceNames.otherServers, slots: servers.slots }] : []),
        ],
        limits: changesLimits ? changingLimits[version % changingLimits.length] : limits,
        tenants: [{ name: "clinic", api_keys: [callerKey], isolated: false }],
    };
}
