/**
 * @module
 * `npm run histories -- --seed N --runs N`: checks histories of concurrent requests under faults.
 */
import { parseArgs } from "node:util";
import { runHistories } from "./runHistories.js";

const { values } = parseArgs({
    options: { seed: { type: "string", default: "1" }, runs: { type: "string", default: "2000" } },
});
const startMs = performance.now();
const result = runHistories({ seed: Number(values.seed), runs: Number(values.runs) });
const seconds = (performance.now() - startMs) / 1000;
for (const [end, count] of [...result.ends].sort((left, right) => right[1] - left[1])) {
    process.stdout.write(`${end.padEnd(24)}${count}\n`);
}
if (result.failure !== undefined) {
    process.stdout.write(`FAILED:\n${result.failure}\n`);
    process.exitCode = 1;
}
const { histories, requests } = result;
process.stdout.write(`${JSON.stringify({ histories, requests, seconds, failed: result.failure !== undefined })}\n`);
