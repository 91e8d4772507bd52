/**
 * @module
 * `npm run bench -- homes [--seed N]`: how often shared prompts are prefilled again, by the way in which instances that know
 * nothing of each other's requests choose an engine. A prompt gets a fifth of the requests in the second half.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { createEngineRanking } from "../../src/core/homes/createEngineRanking.js";
import { derivePromptKey } from "../../src/core/homes/createPromptHomes.js";
import type { Prompt } from "../../src/core/placement/placementTypes.js";
import { createRandom } from "../faults/platform/createRandom.js";
import { createPlacerFixture } from "../support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../support/proxyFixtures.js";
import { createCacheEngine, type EngineRun } from "./createCacheEngine.js";

const fleets = [{ instances: 8, engines: 13 }, { instances: 91, engines: 63 }, {
    instances: 380,
    engines: 260,
}] as const;
const policies = ["homes", "oneHome", "twoHomes", "costAlone"] as const;
type Policy = typeof policies[number];

const durationMs = 20_000;
const requestsPerSecondOfEngine = 8;
const promptsPerEngine = 25;
const hotShare = 0.2;
const maxTries = 3;

/** Tries to run a request at an engine; false when it was rejected. */
type TryEngine = (engine: string) => EngineRun | undefined;

/** Chooses engines for a request of an instance until one runs it. */
type Serve = (
    req: { readonly instance: number; readonly prompt: Prompt; readonly id: string; },
    attempt: TryEngine,
) => void;

interface Row {
    readonly policy: Policy;
    readonly instances: number;
    /** Share of the shared tokens that were prefilled after another request had read them. */
    readonly readAgain: number;
    /** Work of the busiest engine over the mean. */
    readonly busiest: number;
    /** Engines that read the same prompt, on average. */
    readonly enginesPerPrompt: number;
    /** Engines that read the prompt with the most requests. */
    readonly hotEngines: number;
    readonly startP99Ms: number;
    readonly rejected: number;
}

function createRanked(engines: readonly string[], homes: number, random: () => number): Serve {
    const ranking = createEngineRanking();
    return ({ prompt }, attempt) => {
        const ranked = ranking.list(derivePromptKey(prompt), engines, homes + maxTries);
        const first = Math.floor(random() * homes);
        for (let index = 0; index < maxTries; index += 1) {
            if (attempt(ranked[(first + index) % ranked.length]!) !== undefined) {
                return;
            }
        }
    };
}

function createPlacers(
    engines: readonly string[],
    instances: number,
    hasHomes: boolean,
    clock: ReturnType<typeof createVirtualClock>,
): Serve {
    const fixtures = Array.from({ length: instances }, () => createPlacerFixture(clock, engines, !hasHomes));
    return ({ instance, prompt, id }, attempt) => {
        const { placer } = fixtures[instance]!;
        const req = createProxyRequest("stream", {
            id,
            prompt,
            arrivedMs: clock.now(),
            deadlineMs: clock.now() + 3_000,
        });
        const excluded: string[] = [];
        for (let index = 0; index < maxTries; index += 1) {
            placer.place(req, { kind: "place", excluded: [...excluded] }, result => {
                if (result.kind !== "placed") {
                    return;
                }
                const { placement } = result;
                const run = attempt(placement.upstream.id);
                if (run === undefined) {
                    placer.end(req);
                    excluded.push(placement.upstream.id);
                    return;
                }
                index = maxTries;
                clock.after(run.answerStartMs - clock.now(), () => placer.recordAnswerStart(req, placement));
                clock.after(run.endMs - clock.now(), () => placer.end(req));
            })();
        }
    };
}

function drawPrompt(random: () => number, prompts: number, isHot: boolean, id: string): Prompt {
    const name = isHot && random() < hotShare ? 0 : Math.floor(random() * prompts);
    const parts = [
        { id: `first-${name % 4}`, tokens: 400 },
        { id: `case-${name}`, tokens: 600 },
        { id, tokens: 300 },
    ];
    return createPrompt({ parts, promptTokens: 1_300, outputTokens: 20 });
}

function measure(policy: Policy, fleet: typeof fleets[number], seed: number): Row {
    const random = createRandom(seed);
    const clock = createVirtualClock(seed);
    const ids = Array.from({ length: fleet.engines }, (_, index) => `u-${index + 1}`);
    const engines = new Map(ids.map(id => [id, createCacheEngine()]));
    const serve = policy === "homes" || policy === "costAlone"
        ? createPlacers(ids, fleet.instances, policy === "homes", clock)
        : createRanked(ids, policy === "oneHome" ? 1 : 2, random);
    const readers = new Map<string, Set<string>>();
    const work = new Map(ids.map(id => [id, 0]));
    const startTimes: number[] = [];
    let sharedTokens = 0;
    let againTokens = 0;
    let rejected = 0;
    const intervalMs = 1_000 / (requestsPerSecondOfEngine * fleet.engines);
    for (let nowMs = 0; nowMs < durationMs; nowMs += intervalMs) {
        clock.runUntil(nowMs);
        const id = `r-${nowMs}`;
        const prompt = drawPrompt(random, promptsPerEngine * fleet.engines, nowMs > durationMs / 2, id);
        const known = readers.get(prompt.parts[1]!.id) ?? new Set<string>();
        readers.set(prompt.parts[1]!.id, known);
        serve({ instance: Math.floor(random() * fleet.instances), prompt, id }, engine => {
            const run = engines.get(engine)!.run(prompt, nowMs);
            if (run === undefined) {
                rejected += 1;
                return undefined;
            }
            sharedTokens += 1_000;
            againTokens += known.size > 0 ? run.readTokens : 0;
            known.add(engine);
            work.set(engine, work.get(engine)! + run.workMs);
            startTimes.push(run.answerStartMs - nowMs);
            return run;
        });
    }
    const works = [...work.values()];
    const sizes = [...readers.values()].map(one => one.size);
    const sum = (list: readonly number[]) => list.reduce((total, one) => total + one, 0);
    startTimes.sort((left, right) => left - right);
    return {
        policy,
        instances: fleet.instances,
        readAgain: againTokens / sharedTokens,
        busiest: Math.max(...works) * works.length / sum(works),
        enginesPerPrompt: sum(sizes) / sizes.length,
        hotEngines: readers.get("case-0")?.size ?? 0,
        startP99Ms: startTimes[Math.floor(startTimes.length * 0.99)] ?? 0,
        rejected,
    };
}

/** Runs the measurement. */
export function runHomes(args: readonly string[]): void {
    const at = args.indexOf("--seed");
    const seed = at === -1 ? 1 : Number(args[at + 1]);
    const rows = fleets.flatMap(fleet => policies.map(policy => measure(policy, fleet, seed)));
    const columns = Object.keys(rows[0]!) as (keyof Row)[];
    const format = (value: string | number) => typeof value === "string" ? value : String(Number(value.toFixed(3)));
    process.stdout.write(columns.map(column => column.padStart(17)).join("") + "\n");
    rows.forEach(row => {
        process.stdout.write(columns.map(column => format(row[column]).padStart(17)).join("") + "\n");
    });
    process.stdout.write(JSON.stringify({ seed, rows }) + "\n");
}
