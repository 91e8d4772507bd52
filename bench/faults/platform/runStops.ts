/**
 * @module
 * Stops and restarts real processes of instances on loopback while callers use them:
 * `node dist/bench/faults/platform/runStops.js --plan turn|together|alone|mixed --seed N --instances N --gap MS --seconds N
 * [--program PATH] [--busy N] [--logs FOLDER]`. The last line is one JSON object; the exit code is 1 when a promise was broken.
 */
import { parseArgs } from "node:util";
import { playStops, type StopPlan, stopPlans } from "./playStops.js";

const maxPrintedViolations = 12;

const { values } = parseArgs({
    options: {
        plan: { type: "string", default: "mixed" },
        seed: { type: "string", default: "1" },
        instances: { type: "string", default: "4" },
        gap: { type: "string", default: "500" },
        seconds: { type: "string", default: "30" },
        program: { type: "string", default: "dist/platform/main.js" },
        busy: { type: "string", default: "0" },
        logs: { type: "string" },
    },
});
if (!(stopPlans as readonly string[]).includes(values.plan)) {
    process.stderr.write(`unknown plan; plans: ${stopPlans.join(", ")}\n`);
    process.exit(2);
}
const { violations, counts } = await playStops({
    plan: values.plan as StopPlan,
    seed: Number(values.seed),
    instances: Number(values.instances),
    gapMs: Number(values.gap),
    seconds: Number(values.seconds),
    program: values.program,
    busyProcesses: Number(values.busy),
    logFolder: values.logs,
});
violations.slice(0, maxPrintedViolations).forEach(violation => process.stdout.write(`${violation}\n`));
process.stdout.write(`${JSON.stringify({ ...values, violations: violations.length, ...counts })}\n`);
process.exit(violations.length > 0 ? 1 : 0);
