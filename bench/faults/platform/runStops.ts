/**
 * @module
 * Stops and restarts real processes of instances on loopback while callers use them:
 * `node dist/bench/faults/platform/runStops.js --plan turn|together|alone|mixed --shape NAME --seed N --instances N --gap MS
 * --seconds N [--era stated|none] [--program PATH] [--busy N] [--logs FOLDER]`. The last line is one JSON object; the exit code is
 * 1 when a promise was broken.
 */
import { parseArgs } from "node:util";
import { type StopPlan, stopPlans } from "./playPlan.js";
import { playStops } from "./playStops.js";
import { stopShapes } from "./stopShapes.js";

const { values } = parseArgs({
    options: {
        plan: { type: "string", default: "mixed" },
        shape: { type: "string", default: "small" },
        seed: { type: "string", default: "1" },
        instances: { type: "string" },
        gap: { type: "string", default: "500" },
        seconds: { type: "string", default: "30" },
        era: { type: "string", default: "stated" },
        program: { type: "string", default: "dist/platform/main.js" },
        busy: { type: "string", default: "0" },
        logs: { type: "string" },
        "max-printed": { type: "string", default: "12" },
    },
});

function fail(message: string): never {
    process.stderr.write(`${message}\n`);
    process.exit(2);
}

if (!(stopPlans as readonly string[]).includes(values.plan)) {
    fail(`unknown plan; plans: ${stopPlans.join(", ")}`);
}
if (!["stated", "none"].includes(values.era)) {
    fail("unknown era; eras: stated, none");
}
const shape = stopShapes[values.shape] ?? fail(`unknown shape; shapes: ${Object.keys(stopShapes).join(", ")}`);
const instances = values.instances === undefined ? shape.instances : Number(values.instances);
const { violations, counts } = await playStops({
    plan: values.plan as StopPlan,
    shape: { ...shape, instances },
    seed: Number(values.seed),
    gapMs: Number(values.gap),
    seconds: Number(values.seconds),
    statesEra: values.era === "stated",
    program: values.program,
    busyProcesses: Number(values.busy),
    logFolder: values.logs,
});
violations.slice(0, Number(values["max-printed"])).forEach(violation => process.stdout.write(`${violation}\n`));
process.stdout.write(`${JSON.stringify({ ...values, instances, violations: violations.length, ...counts })}\n`);
process.exit(violations.length > 0 ? 1 : 0);
