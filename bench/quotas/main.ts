/**
 * @module
 * Plays histories by hand: `node dist/bench/quotas/main.js INSTANCES HISTORIES FIRST_SEED`.
 */
import { runQuotaHistories } from "./runQuotaHistories.js";

const [instances = 24, histories = 10, firstSeed = 1] = process.argv.slice(2).map(Number);
for (let seed = firstSeed; seed < firstSeed + histories; seed += 1) {
    const { overruns, fullest, messagesPerSecond } = runQuotaHistories({ instances, histories: 1, firstSeed: seed });
    console.log(JSON.stringify({ seed, instances, overruns, fullest, messagesPerSecond }));
}
