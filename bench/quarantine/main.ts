/**
 * @module
 * Plays histories by hand: `node dist/bench/quarantine/main.js FIRST_SEED HISTORIES harmful|other`.
 */
import { runQuarantineHistories } from "./runQuarantineHistories.js";

const [firstSeed = "1", histories = "100", kind = "harmful"] = process.argv.slice(2);
const result = runQuarantineHistories({
    firstSeed: Number(firstSeed),
    histories: Number(histories),
    hasHarmfulParts: kind === "harmful",
});
const sorted = [...result.endsPerPart].sort((left, right) => left - right);
const quantile = (fraction: number) => sorted[Math.floor((sorted.length - 1) * fraction)];
process.stdout.write([
    ...result.violations,
    `${histories} histories: ${result.violations.length} violations, ${result.endedEngines} engines ended, `
    + `${result.heldParts} parts held back`,
    `engines ended for each harmful part: median ${quantile(0.5)}, nine tenths ${quantile(0.9)}, most ${quantile(1)}`,
    "",
].join("\n"));
