/**
 * @module
 * `npm run bench -- engine-queues`: how long and short prompts begin at engines whose load instances hear late.
 */
import { createPromptKinds } from "./createPromptKinds.js";
import { playEngineQueues } from "./playEngineQueues.js";

const fleets = [{ instances: 17, engines: 13 }, { instances: 24, engines: 16 }, { instances: 85, engines: 30 }, {
    instances: 88,
    engines: 63,
}] as const;
/** Requests a second of each engine. */
const longRate = 4.9;
const shortRate = 1.55;
const loads = [0.7, 1, 1.5] as const;
const seeds = [1, 2, 3] as const;
const durationMs = 10_000;
const aimMs = 250;

const average = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

const countInTime = (startsMs: readonly number[]) =>
    startsMs.filter(startMs => startMs <= aimMs).length / startsMs.length;

/** Runs the measurement and prints its table; the last line is a JSON object. */
export function runEngineQueues(): void {
    console.log("| instances | engines | load | long in time | short in time | busiest/mean |");
    console.log(`|${" --- |".repeat(6)}`);
    const rows = fleets.flatMap(({ instances, engines }) =>
        loads.map(load => {
            const rates = { longRate: longRate * engines * load, shortRate: shortRate * engines * load };
            const kinds = createPromptKinds({ engines, ...rates });
            const results = seeds.map(seed => playEngineQueues({ instances, engines, seed }, kinds, durationMs));
            const inTime = kinds.map(({ kind }) =>
                average(results.map(one => countInTime(one.startsMs.get(kind) ?? [])))
            );
            const busiest = average(results.map(({ arrivals }) => {
                const counts = [...arrivals.values()];
                return Math.max(...counts) / average(counts);
            }));
            const row = [instances, engines, load, ...inTime.map(share => share.toFixed(3)), busiest.toFixed(2)];
            console.log(`| ${row.join(" | ")} |`);
            return row;
        })
    );
    console.log(JSON.stringify({ bench: "engine-queues", seeds, rows: rows.length }));
}
