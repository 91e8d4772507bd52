/**
 * @module
 * `npm run bench -- placement`: measures the processor time of one placement on the platform's path, by number of engines
 * and of instances that report their use.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { createUpstreamLoads } from "../../src/core/load/createUpstreamLoads.js";
import { createHealthView } from "../../src/core/placement/createHealthView.js";
import { createPartView } from "../../src/core/placement/createPartView.js";
import { createPlacer } from "../../src/core/placement/createPlacer.js";
import { createUpstreamUseTracker } from "../../src/core/placement/createUpstreamUseTracker.js";
import type { ProxyRequest } from "../../src/core/proxy/proxyTypes.js";
import { createUpstreamRegistry } from "../../src/core/registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../../src/core/registry/upstreamRecord.js";
import type { Service } from "../../src/core/routes/routingTable.js";
import { createWeightsView } from "../../src/core/weights/createWeightsView.js";
import { measureCpuMicroseconds } from "../_lib/measureCost.js";
import { noRateLimits } from "../support/noRateLimits.js";

const engineCounts = [13, 98, 3_700] as const;
const instanceCounts = [7, 90, 380] as const;

/** Distinct shared prompts, and the engines that have cached each. */
const promptCount = 200;
const holdersPerPrompt = 3;

/** Upstreams that each peer uses, at most. */
const usedPerPeer = 40;

const salt = "model/1/shared";

const service: Service = {
    name: "engines",
    maxConnections: 64,
    engine: { slots: 48, memoryTokens: 100_000, models: ["model"], maxReaders: 12 },
    cacheStore: undefined,
};

interface Row {
    readonly engines: number;
    readonly instances: number;
    readonly microseconds: number;
}

function createEngine(index: number): UpstreamRecord {
    return {
        id: `engine-${index}`,
        service: service.name,
        address: `10.0.0.1:${index}`,
        failureDomain: `domain-${index % 4}`,
        isDraining: false,
        slots: 48,
        startedAtMs: 1,
        weights: [{ model: "model", version: 1 }],
        acceptedOrders: 0,
    };
}

function createRequest(index: number): ProxyRequest {
    const id = `r-${index}`;
    const parts = [
        { id: `first-${index % 4}`, tokens: 2_500 },
        { id: `second-${index % promptCount}`, tokens: 3_800 },
        { id, tokens: 2_900 },
    ];
    return {
        id,
        method: "POST",
        target: "/",
        headers: [],
        body: undefined,
        route: {
            name: "checks",
            host: "checks.example",
            pathPrefix: "/",
            kind: "stream",
            timeoutMs: 5_000,
            targetLatencyMs: 600,
            longestPauseMs: 250,
            attempts: 2,
            priority: 0,
            shares: [{ service: service.name, weight: 1 }],
            isOpen: true,
            isResumable: true,
        },
        service: service.name,
        customer: undefined,
        prompt: { model: "model", parts, promptTokens: 9_200, outputTokens: 13 },
        lastEventId: undefined,
        arrivedMs: 0,
        deadlineMs: 5_000,
        priority: 0,
    };
}

function measureRow(engineCount: number, instanceCount: number): Row {
    const engines = Array.from({ length: engineCount }, (_, index) => createEngine(index));
    const registry = createUpstreamRegistry(() => undefined);
    registry.applyList(engines, 0);
    const parts = createPartView();
    const use = createUpstreamUseTracker();
    for (let index = 0; index < promptCount * holdersPerPrompt; index += 1) {
        const { prompt } = createRequest(index % promptCount);
        const events = prompt!.parts.slice(0, -1).map(({ id, tokens }) => ({ salt, part: id, tokens }));
        parts.applyEvents(engines[(index * 7) % engineCount]!.id, events);
    }
    for (let peer = 1; peer < instanceCount; peer += 1) {
        const used = engines.filter((_, index) => (index + peer) % Math.ceil(engineCount / usedPerPeer) === 0);
        use.updatePeer(
            `entry-${peer}`,
            used.map(({ id }) => ({ upstream: id, requests: 0.01, memoryTokens: 10, unreadTokens: 1 })),
        );
    }
    const clock = createVirtualClock(1);
    const placer = createPlacer({
        clock,
        random: clock.random,
        loads: createUpstreamLoads(registry.find),
        onPrefill: () => undefined,
        rateLimits: noRateLimits,
        signals: { findClosure: () => undefined },
        failureDomain: "domain-0",
        registry,
        weights: createWeightsView(),
        use,
        parts,
        health: createHealthView(),
        findService: () => service,
        findOutdatedLimitMs: () => 6_400,
        isFleetDirect: () => true,
        countInstances: () => instanceCount,
        listStores: () => [],
    });
    let next = 0;
    const microseconds = measureCpuMicroseconds(() => {
        const req = createRequest(next);
        next += 1;
        placer.place(req, { kind: "place", excluded: [] }, () => undefined);
        placer.end(req);
    });
    return { engines: engineCount, instances: instanceCount, microseconds };
}

function formatRow(row: Row): string {
    return [row.engines, row.instances, row.microseconds.toFixed(0)].map(cell => String(cell).padStart(14)).join("");
}

/** Runs the measurement. `slope` is the exponent of the growth of the time from the fewest to the most engines. */
export function runPlacement(): void {
    process.stdout.write(["engines", "instances", "us/placement"].map(header => header.padStart(14)).join("") + "\n");
    const rows = instanceCounts.flatMap(instances => engineCounts.map(engines => measureRow(engines, instances)));
    rows.forEach(row => process.stdout.write(formatRow(row) + "\n"));
    const fewest = rows[0]!;
    const most = rows[engineCounts.length - 1]!;
    const slope = Math.log(most.microseconds / fewest.microseconds) / Math.log(most.engines / fewest.engines);
    process.stdout.write(JSON.stringify({ rows, slope }) + "\n");
}
