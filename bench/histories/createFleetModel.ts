/**
 * @module
 * Several instances, a log, engines and services on one virtual clock, and the record of what callers received.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { Customer, Model, Service, Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { deriveStreamIdentity } from "../../src/core/request/deriveStreamIdentity.js";
import type { ModelRequest, RequestContext, ServiceRequest } from "../../src/core/request/requestTypes.js";
import { createInstanceModel, type InstanceModel } from "./createInstanceModel.js";
import { createLogModel, type LogModel } from "./createLogModel.js";
import { createStreamEvents, createUpstreamModel, type UpstreamModel, weightsVersion } from "./createUpstreamModel.js";
import type { History, InjectedFault, SentRequest } from "./historyTypes.js";

/** The fleet with its fault switches and its history. */
export interface FleetModel {
    readonly clock: VirtualClock;
    readonly log: LogModel;
    readonly upstreams: UpstreamModel;
    readonly instances: readonly InstanceModel[];
    /** Sends a service call that may run at most once. */
    readonly callService: (instance: number, key: string) => void;
    readonly streamModel: (instance: number, key: string) => void;
    /** Ends all lasting faults and runs until every deadline has passed. */
    readonly settle: () => void;
    readonly history: () => History;
}

/** Number of instances. */
export const instanceCount = 3;

/** Ids of the upstreams. */
export const upstreamIds = ["booking-1", "booking-2", "engine-1", "engine-2"] as const;

const startMs = 1_000_000_000_000;
/** Time in which instances complete their first read of the log. */
const warmUpMs = 100;

const settleMs = 30_000;
const minDeadlineMs = 300;
const deadlineSpreadMs = 6_000;

const customer: Customer = {
    kind: "customer",
    id: "clinic",
    owner: "clinic",
    classOfService: "standard",
    limits: {
        requestsPerSecond: 1,
        promptTokensPerSecond: 1,
        outputTokensPerSecond: 1,
        requestsInFlight: 1,
        burstSeconds: 1,
    },
    credentialSha256: "",
};
const model: Model = { kind: "model", id: "easy-read", owner: "operations", weightsVersion, minimumServingShare: 0.5 };
const service: Service = { kind: "service", id: "booking", owner: "operations", unrepeatableCalls: ["POST /"] };

function createUpstream(id: string): Upstream {
    const isEngine = id.startsWith("engine");
    return {
        kind: "upstream",
        id,
        owner: "operations",
        address: "127.0.0.1:1",
        failureDomain: "rennes-a",
        role: isEngine ? "engine" : "service",
        serves: [isEngine ? "easy-read" : "booking"],
        fencesOrders: false,
        slots: 16,
        prefillTokensPerSecond: 1,
        leaving: false,
    };
}

/**
 * Creates a fleet.
 *
 * @param seed - Seed of latencies, faults and the order of simultaneous events.
 * @param injectedFault - A fault to inject into the code under test.
 * @returns The fleet.
 */
export function createFleetModel(seed: number, injectedFault?: InjectedFault): FleetModel {
    const clock = createVirtualClock(seed);
    clock.runUntil(startMs);
    const log = createLogModel(clock);
    const upstreams = createUpstreamModel(clock);
    const all = upstreamIds.map(createUpstream);
    const instances = Array.from({ length: instanceCount }, (_, index) =>
        createInstanceModel({
            index,
            clock,
            log,
            upstreams,
            engines: all.filter(one => one.role === "engine"),
            services: all.filter(one => one.role === "service"),
            injectedFault,
        }));
    clock.runUntil(startMs + warmUpMs);
    const requests: SentRequest[] = [];
    const expectedStreams = new Map<string, string>();

    function begin(kind: SentRequest["kind"], instance: number, key: string): [RequestContext, SentRequest] {
        const requestId = `r${requests.length}`;
        const deadlineMs = clock.now() + minDeadlineMs + Math.floor(clock.random() * deadlineSpreadMs);
        const sent: SentRequest = {
            requestId,
            kind,
            key,
            instance,
            deadlineMs,
            isInstanceLost: false,
            resumedMs: 0,
            streamed: "",
            ends: [],
        };
        requests.push(sent);
        return [{ requestId, customer, idempotencyKey: key, deadlineMs }, sent];
    }

    function callService(instance: number, key: string): void {
        const [context, sent] = begin("service", instance, key);
        const body = new TextEncoder().encode(key);
        const call = { service, method: "POST", path: "/confirmations", contentType: undefined, isNonIdempotent: true };
        const req: ServiceRequest = { ...context, ...call, body };
        instances[instance]!.serveService(req, sent);
    }

    function streamModel(instance: number, key: string): void {
        const [context, sent] = begin("model", instance, key);
        const call = { model, path: "/v1/completions", prompt: "p", maxOutputTokens: 64, isStreaming: true } as const;
        const req: ModelRequest = { ...context, ...call, body: {} };
        const { seed: streamSeed } = deriveStreamIdentity(req);
        expectedStreams.set(key, createStreamEvents(String(streamSeed), weightsVersion).join(""));
        instances[instance]!.serveModel(req, sent);
    }

    function settle(): void {
        log.setDown(false);
        instances.forEach((instance, index) => {
            log.setPartitioned(index, false);
            instance.setUpstreamsPartitioned(false);
        });
        clock.runUntil(clock.now() + settleMs);
    }

    const history = (): History => ({
        requests,
        serviceRuns: upstreams.serviceRuns,
        engineRuns: upstreams.engineRuns,
        expectedStreams,
    });
    return { clock, log, upstreams, instances, callService, streamModel, settle, history };
}
