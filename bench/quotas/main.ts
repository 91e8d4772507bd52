/**
 * @module
 * Plays histories by hand: `node dist/bench/quotas/main.js INSTANCES HISTORIES FIRST_SEED [large]`.
 */
import { runQuotaHistories } from "./runQuotaHistories.js";

const [instances = 24, histories = 10, firstSeed = 1] = process.argv.slice(2, 5).map(Number);
const areLarge = process.argv[5] === "large";
for (let seed = firstSeed; seed < firstSeed + histories; seed += 1) {
    const { overruns, fullest, runs, messagesPerSecond } = runQuotaHistories({
        instances,
        histories: 1,
        firstSeed: seed,
        areLarge,
    });
    console.log(JSON.stringify({ seed, instances, overruns, fullest, runs, messagesPerSecond }));
}
