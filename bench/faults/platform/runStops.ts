/**
 * @module
 * Stops and restarts real processes of instances on loopback while callers use them:
 * `node dist/bench/faults/platform/runStops.js --plan turn|together|alone|mixed|load|reloads|configurations|changes --shape NAME --seed N --instances N --gap MS
 * --seconds N [--era stated|none] [--callers N] [--processor-share SHARE] [--troubles KIND,KIND [--trouble-after MS]
 * [--trouble-lasts MS] [--trouble-share SHARE]] [--program PATH] [--busy N] [--logs FOLDER]
 * [--log-readers file,nobody,late]`. The program is the bundle of the build, unless another one is named, and the processes'
 * logs have these readers in turn. Callers are counted for each
 * instance. Each order to stop or reload is followed by one of the troubles. With the trouble `endless`, some callers upload in
 * pieces, read late, or send many requests on a connection without waiting for answers; its share is that of all upstreams, and
 * one is met if it is not chosen. With a folder for logs, the lines that name their
 * attempts follow the violations. The last line is one JSON object; the exit code is 1 when a promise was broken.
 */
import { parseArgs } from "node:util";
import { type LogReader, logReaders } from "./createLogPipes.js";
import { findLogLines } from "./findLogLines.js";
import { type StopPlan, stopPlans } from "./playPlan.js";
import { playStops } from "./playStops.js";
import { bundledProgram, readDeployArguments } from "./readDeployArguments.js";
import { stopShapes } from "./stopShapes.js";
import { type TroubleKind, troubleKinds } from "./troubleTypes.js";

const { values } = parseArgs({
    options: {
        plan: { type: "string", default: "mixed" },
        shape: { type: "string", default: "small" },
        seed: { type: "string", default: "1" },
        instances: { type: "string" },
        gap: { type: "string", default: "500" },
        seconds: { type: "string", default: "30" },
        era: { type: "string" },
        "processor-share": { type: "string" },
        callers: { type: "string" },
        troubles: { type: "string", default: "" },
        "trouble-after": { type: "string" },
        "trouble-lasts": { type: "string" },
        "trouble-share": { type: "string" },
        program: { type: "string", default: bundledProgram },
        busy: { type: "string", default: "0" },
        logs: { type: "string" },
        "log-readers": { type: "string", default: logReaders.join(",") },
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
if (values.era !== undefined && !["stated", "none"].includes(values.era)) {
    fail("unknown era; eras: stated, none");
}
const shape = stopShapes[values.shape] ?? fail(`unknown shape; shapes: ${Object.keys(stopShapes).join(", ")}`);
const instances = values.instances === undefined ? shape.instances : Number(values.instances);
const troubles = values.troubles.split(",").filter(kind => kind !== "");
if (!troubles.every(kind => (troubleKinds as readonly string[]).includes(kind))) {
    fail(`unknown trouble; troubles: ${troubleKinds.join(", ")}`);
}
const chosenReaders = values["log-readers"].split(",");
if (!chosenReaders.every(reader => (logReaders as readonly string[]).includes(reader))) {
    fail(`unknown reader of logs; readers: ${logReaders.join(", ")}`);
}
const toNumber = (text: string | undefined) => text === undefined ? undefined : Number(text);
const processorShare = toNumber(values["processor-share"]);
const unlimited = { nodeArguments: readDeployArguments(), memoryKb: Infinity, processorShare: 1 };
const limits = { ...unlimited, ...shape.limits, ...(processorShare === undefined ? {} : { processorShare }) };
const { violations, counts, ends } = await playStops({
    plan: values.plan as StopPlan,
    shape: { ...shape, instances, limits, callersPerInstance: toNumber(values.callers) ?? shape.callersPerInstance },
    seed: Number(values.seed),
    gapMs: Number(values.gap),
    seconds: Number(values.seconds),
    statesEra: values.era === undefined ? shape.statesEra ?? true : values.era === "stated",
    troubles: {
        kinds: troubles as TroubleKind[],
        afterMs: toNumber(values["trouble-after"]),
        lastsMs: toNumber(values["trouble-lasts"]),
        share: toNumber(values["trouble-share"]),
    },
    program: values.program,
    busyProcesses: Number(values.busy),
    logFolder: values.logs,
    logReaders: chosenReaders as LogReader[],
});
violations.slice(0, Number(values["max-printed"])).forEach(violation => process.stdout.write(`${violation}\n`));
if (values.logs !== undefined) {
    findLogLines(values.logs, violations.map(violation => violation.split(" ")[1]!)).forEach(line =>
        process.stdout.write(`${line}\n`)
    );
}
process.stdout.write(`${JSON.stringify({ ...values, instances, violations: violations.length, ...counts, ends })}\n`);
process.exit(violations.length > 0 ? 1 : 0);
