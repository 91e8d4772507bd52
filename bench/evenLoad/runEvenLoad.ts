/**
 * @module
 * Measures how evenly upstreams are loaded when many instances choose on statements that are some time old.
 */
import { policies } from "./createPolicies.js";
import { type EvenLoadPlan, type EvenLoadResult, playEvenLoad } from "./playEvenLoad.js";
import { playRelay } from "./playRelay.js";

type Shape = Pick<EvenLoadPlan, "instances" | "upstreams" | "slots">;

const shapes: readonly Shape[] = [
    { instances: 8, upstreams: 4, slots: 6 },
    { instances: 91, upstreams: 4, slots: 6 },
    { instances: 91, upstreams: 63, slots: 24 },
    { instances: 380, upstreams: 120, slots: 8 },
];
const agesMs = [100, 400, 1_000];
/** Ages with many upstreams, whose plays take long. */
const fewAgesMs = [100, 1_000];
const manyUpstreams = 10;
const utilisations = [0.6, 0.85];
const smallFleet = 15;
const seeds = [1, 2];
const paceHoldMs = 150;

/** Requests of a play, so that large shapes take no longer than small ones. */
const requests = 12_000;

function average(results: readonly EvenLoadResult[], read: (result: EvenLoadResult) => number): number {
    return results.reduce((sum, result) => sum + read(result), 0) / results.length;
}

function measure(shape: Shape, ageMs: number, utilisation: number, policy: string): readonly EvenLoadResult[] {
    const durationMs = Math.max(2_500, requests * 80 / (shape.upstreams * shape.slots * utilisation));
    return seeds.map(seed => playEvenLoad({ ...shape, policy, seed, ageMs, utilisation, paceHoldMs, durationMs }));
}

/** A small fleet relays no statements, so that their age is not a variable. */
function listAges({ instances, upstreams }: Shape): readonly number[] {
    const ages = upstreams > manyUpstreams ? fewAgesMs : agesMs;
    return instances < smallFleet ? ages.slice(0, 1) : ages;
}

const relayShapes = [
    { instances: 22, upstreams: 16, answersPerSecond: 6 },
    { instances: 91, upstreams: 67, answersPerSecond: 6 },
    { instances: 380, upstreams: 3_700, answersPerSecond: 10 },
];

function printRelays(): void {
    console.log("| instances | upstreams | known | mean age ms | nine in ten | bytes/s |");
    console.log(`|${" --- |".repeat(6)}`);
    for (const shape of relayShapes) {
        const result = playRelay({ ...shape, seed: 1, lossShare: 0.02, durationMs: 6_000 });
        const meanMs = result.agesMs.reduce((sum, age) => sum + age, 0) / result.agesMs.length;
        const row = [
            shape.instances,
            shape.upstreams,
            result.knownShare.toFixed(2),
            meanMs.toFixed(0),
            (result.agesMs[Math.floor(result.agesMs.length * 0.9)] ?? 0).toFixed(0),
            result.bytesPerSecond.toFixed(0),
        ];
        console.log(`| ${row.join(" | ")} |`);
    }
}

/** Runs the measurement and prints its table; the last line is a JSON object. */
export function runEvenLoad(args: readonly string[]): void {
    printRelays();
    const only = args.find(arg => !arg.startsWith("-"));
    console.log(
        "| instances | upstreams x slots | age ms | used | policy | busiest/mean | idle while queued | rejected |"
            + " wait p50 | wait p99 | took p50 | took p99 |",
    );
    console.log(`|${" --- |".repeat(12)}`);
    const rows: Record<string, unknown>[] = [];
    for (const shape of shapes.filter(one => only === undefined || `${one.instances}x${one.upstreams}` === only)) {
        for (const ageMs of listAges(shape)) {
            for (const utilisation of utilisations) {
                for (const policy of Object.keys(policies)) {
                    const results = measure(shape, ageMs, utilisation, policy);
                    const row = [
                        shape.instances,
                        `${shape.upstreams} x ${shape.slots}`,
                        ageMs,
                        utilisation,
                        policy,
                        average(results, one => one.busiestOverMean).toFixed(2),
                        average(results, one => one.idleWhileQueued).toFixed(3),
                        average(results, one => one.rejected).toFixed(3),
                        average(results, one => one.waitP50Ms).toFixed(0),
                        average(results, one => one.waitP99Ms).toFixed(0),
                        average(results, one => one.tookP50Ms).toFixed(0),
                        average(results, one => one.tookP99Ms).toFixed(0),
                    ];
                    console.log(`| ${row.join(" | ")} |`);
                    rows.push({ row });
                }
            }
        }
    }
    console.log(JSON.stringify({ bench: "even-load", seeds, rows: rows.length }));
}
