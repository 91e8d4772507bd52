/**
 * @module
 * `npm run bench -- route-cost`: measures processor time and memory of a routing decision, by number of upstreams
 * and of hinted blocks.
 */
import { mixBits } from "../../src/core/_lib/mixBits.js";
import { createCacheView } from "../../src/core/cache/createCacheView.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { blockTokens } from "../../src/core/constants.js";
import { createCostRouter } from "../../src/core/routing/createCostRouter.js";
import { createFrequencySketch } from "../../src/core/routing/createFrequencySketch.js";
import { createLoadView } from "../../src/core/routing/createLoadView.js";
import type { RouteRequest } from "../../src/core/routing/routeTypes.js";
import { routingPresets } from "../../src/core/routing/routingPresets.js";
import { measureCpuMicroseconds } from "../_lib/measureCost.js";

const upstreamCounts = [10, 100, 1_000, 3_700] as const;
const hintCounts = [1_000, 29_000, 290_000] as const;
const promptBlocks = 100;
const maxViewBytes = 12 << 20;
/** Few enough that a measurement runs without garbage collection; the maximum of several is one without it. */
const allocationRuns = 40;
const allocationRepeats = 5;

interface Row {
    readonly upstreams: number;
    readonly hints: number;
    /** Hints that the view holds after eviction: a full bucket evicts its oldest hint. */
    readonly held: number;
    readonly microseconds: number;
    readonly allocatedBytes: number;
    readonly viewBytes: number;
}

function createUpstream(index: number): Upstream {
    return {
        kind: "upstream",
        id: `engine-${index}`,
        owner: "operations",
        address: "127.0.0.1:1",
        failureDomain: "domain",
        role: "engine",
        serves: ["model"],
        fencesOrders: false,
        slots: 64,
        prefillTokensPerSecond: 8_000,
        leaving: false,
    };
}

function createRequest(number: number): RouteRequest {
    const blocks = Array.from(
        { length: promptBlocks },
        (_, index) => (BigInt(mixBits(number, index)) << 32n) | BigInt(mixBits(index, number)),
    );
    return {
        scope: { customer: "customer", model: "model", weightsVersion: "v1", adapter: undefined },
        blocks,
        promptTokens: promptBlocks * blockTokens,
        excluded: new Set(),
    };
}

function measureAllocation(action: () => void): number {
    const before = process.memoryUsage().heapUsed;
    for (let run = 0; run < allocationRuns; run += 1) {
        action();
    }
    return (process.memoryUsage().heapUsed - before) / allocationRuns;
}

function measureRow(upstreamCount: number, hints: number): Row {
    const upstreams = Array.from({ length: upstreamCount }, (_, index) => createUpstream(index));
    const cache = createCacheView({ maxBytes: maxViewBytes, sampleEvery: 1 });
    let nowMs = 0;
    const router = createCostRouter({
        listCandidates: () => upstreams,
        cache,
        load: createLoadView(),
        frequencies: createFrequencySketch({ width: 4_096, decayMs: 10_000 }),
        readSpread: () => ({ instances: 8, instancesPerCustomer: 4 }),
        onPlaced: () => undefined,
        preset: () => routingPresets.lectura,
        now: () => nowMs,
        random: () => mixBits(nowMs, 1) / 0x1_0000_0000,
    });
    const requests = Array.from(
        { length: Math.max(1, Math.round(hints / promptBlocks)) },
        (_, index) => createRequest(index),
    );
    requests.forEach((req, index) => cache.recordCached(upstreams[index % upstreamCount]!.id, req.blocks, nowMs));
    let next = 0;
    function decide(): void {
        const req = requests[next % requests.length]!;
        next += 1;
        nowMs += 1;
        const upstream = router.chooseUpstream(req).unwrapOr(undefined)!.upstream.id;
        router.reportFeedback({ upstream, req, cachedBlocks: promptBlocks, incarnation: undefined });
    }
    const microseconds = measureCpuMicroseconds(decide);
    const allocatedBytes = Math.max(...Array.from({ length: allocationRepeats }, () => measureAllocation(decide)));
    let held = 0;
    cache.visitHints(() => {
        held += 1;
    });
    return { upstreams: upstreamCount, hints, held, microseconds, allocatedBytes, viewBytes: cache.bytes };
}

function formatRow(row: Row): string {
    const cells = [row.upstreams, row.hints, row.held, row.microseconds.toFixed(1), row.allocatedBytes.toFixed(0)];
    return [...cells, row.viewBytes].map(cell => String(cell).padStart(12)).join("");
}

/** Runs the measurement. `slope` is the exponent of the growth of the time from 10 to 3,700 upstreams. */
export function runRouteCost(): void {
    const headers = ["upstreams", "hints", "held", "us/decision", "bytes/dec.", "view bytes"];
    process.stdout.write(headers.map(header => header.padStart(12)).join("") + "\n");
    const rows = hintCounts.flatMap(hints => upstreamCounts.map(upstreams => measureRow(upstreams, hints)));
    rows.forEach(row => process.stdout.write(formatRow(row) + "\n"));
    const largest = rows.filter(row => row.hints === hintCounts.at(-1));
    const [first, last] = [largest[0]!, largest.at(-1)!];
    const slope = Math.log(last.microseconds / first.microseconds) / Math.log(last.upstreams / first.upstreams);
    process.stdout.write(JSON.stringify({ rows, slope }) + "\n");
}
