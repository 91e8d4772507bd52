/**
 * @module
 * Plays histories by hand: `node dist/bench/rateLimits/main.js FIRST_SEED HISTORIES [INSTANCES]`.
 */
import { runRateLimitHistories } from "./runRateLimitHistories.js";

const [firstSeed = "1", histories = "100", instances] = process.argv.slice(2);
const result = runRateLimitHistories({
    firstSeed: Number(firstSeed),
    histories: Number(histories),
    instances: instances === undefined ? undefined : Number(instances),
});
const shares = result.usedShares.toSorted((left, right) => left - right);
console.log(result.violations.join("\n"));
console.log(
    `${histories} histories, ${result.arrivals} requests at upstreams, ${result.violations.length} violations; `
        + `used of the limits where callers ask for more: ${shares.map(share => share.toFixed(2)).join(" ")}; `
        + `at most ${Math.round(result.maxBytesPerSecond)} bytes/s of messages an instance`,
);
