/**
 * @module
 * `npm run bench -- routing`: compares the product's routing with baselines and an oracle on the same workload.
 */
import { parseArgs } from "node:util";
import { createBaseline } from "./createBaseline.js";
import { createReedwardPolicy, type ReedwardOptions } from "./createReedwardPolicy.js";
import { createWorkload } from "./createWorkload.js";
import {
    type FaultName,
    faultNames,
    type PolicyResult,
    type PresetName,
    type RunPlan,
    siteShapes,
} from "./simTypes.js";
import { simulate } from "./simulate.js";

const baselines = ["random", "roundRobin", "leastLoaded", "powerOfTwo", "rendezvous", "oracle"] as const;

/** Options with the behaviour of the daemon. */
const productOptions: ReedwardOptions = { readsEvents: true, sampleEvery: 1, exchangeIntervalMs: 250 };

function createPlan(seed: number, fault: FaultName): RunPlan {
    return {
        seed,
        fault,
        warmUpMs: 30_000,
        endMs: 180_000,
        faultMs: 90_000,
        eventLoss: fault === "eventLoss" ? 0.3 : 0,
        eventDelayMs: 500,
        loadLagMs: fault === "loadLag" ? 5_000 : 1_000,
    };
}

function formatRow(name: string, result: PolicyResult): string {
    const cells = [
        result.hitRate.toFixed(4),
        result.ttftP50Ms.toFixed(0),
        result.ttftP95Ms.toFixed(0),
        result.ttftP99Ms.toFixed(0),
        String(result.wastedTokens),
        result.loadWorstOverMean.toFixed(2),
        ...Object.values(result.hitRateAround ?? {}).map(rate => rate.toFixed(4)),
        ...(result.failed === undefined ? [] : [`${result.failed} failed`]),
    ];
    return [name.padEnd(12), ...cells.map(cell => cell.padStart(10))].join("");
}

/** Runs every policy of one preset and prints the table. */
function runPreset(preset: PresetName, plan: RunPlan): Readonly<Record<string, PolicyResult>> {
    const shape = siteShapes[preset];
    const workload = createWorkload(shape, plan);
    const results: Record<string, PolicyResult> = {
        reedward: simulate(
            shape,
            plan,
            workload,
            (context, clock) => createReedwardPolicy(context, clock, productOptions),
        ),
    };
    for (const name of baselines) {
        results[name] = simulate(shape, plan, workload, context => createBaseline(name, context));
    }
    const headers = ["hitRate", "p50 ms", "p95 ms", "p99 ms", "wasted", "worst/mean"];
    const faultHeaders = plan.fault === "none" ? [] : ["before", "first 5 s", "10 s", "30 s"];
    process.stdout.write(`${preset}, seed ${plan.seed}, fault ${plan.fault}, ${workload.length} requests\n`);
    process.stdout.write(
        ["".padEnd(12), ...[...headers, ...faultHeaders].map(header => header.padStart(10))].join("") + "\n",
    );
    for (const [name, result] of Object.entries(results)) {
        process.stdout.write(formatRow(name, result) + "\n");
    }
    return results;
}

/**
 * Runs the measurement. Flags: `--preset lectura|compagnon` (both by default; the JSON line holds the results of
 * the chosen preset, or of both by name), `--seed N`, `--fault NAME`.
 */
export function runRouting(args: readonly string[]): void {
    const { values } = parseArgs({
        args: [...args],
        options: {
            preset: { type: "string" },
            seed: { type: "string", default: "1" },
            fault: { type: "string", default: "none" },
        },
    });
    const fault = faultNames.find(name => name === values.fault);
    const presets = Object.keys(siteShapes).filter(name => values.preset === undefined || name === values.preset);
    if (fault === undefined || presets.length === 0) {
        process.stderr.write(`--preset lectura|compagnon, --fault ${faultNames.join("|")}\n`);
        process.exitCode = 2;
        return;
    }
    const plan = createPlan(Number(values.seed), fault);
    const results = presets.map(preset => [preset, runPreset(preset as PresetName, plan)] as const);
    const line = results.length === 1 ? results[0]![1] : Object.fromEntries(results);
    process.stdout.write(JSON.stringify(line) + "\n");
}
