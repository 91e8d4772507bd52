/**
 * @module
 * Plays long and short prompts of many instances on shared engines whose memory holds few long ones, on a virtual clock. Instances hear
 * late what engines state.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { millisecondsPerSecond } from "../../src/core/constants.js";
import type { LoadStatement } from "../../src/core/load/loadTypes.js";
import { createPlacerFixture, engineMemoryTokens, type PlacerFixture } from "../support/placerFixtures.js";
import { createPrompt, createProxyRequest } from "../support/proxyFixtures.js";

/** Callers of one kind of request. */
export interface PromptKind {
    readonly kind: string;
    /** Requests a second of all instances. */
    readonly rate: number;
    /** Prompts that share all but their own part. */
    readonly prompts: number;
    readonly sharedTokens: number;
    readonly ownTokens: number;
    /** Time from the first piece of an answer to its end, in milliseconds. */
    readonly answerMs: number;
}

/** What became of the requests. */
export interface EngineQueuesResult {
    /** Time until each answer began, in milliseconds, by kind; infinite for those that did not begin. */
    readonly startsMs: ReadonlyMap<string, readonly number[]>;
    /** Requests at each engine. */
    readonly arrivals: ReadonlyMap<string, number>;
}

interface Run {
    readonly tokens: number;
    readonly unreadTokens: number;
    readonly answerMs: number;
    readonly onStart: () => void;
    readonly onEnd: () => void;
}

/** An engine that prefills one prompt after the other. */
interface Engine {
    /** How long work takes now: 1 is usual. */
    pace: number;
    readonly held: Set<string>;
    running: number;
    usedTokens: number;
    busyUntilMs: number;
    waiting: Run[];
    arrivals: number;
    /** Its statements, the newest last. */
    statements: LoadStatement[];
}

const slots = 8;
const prefillTokensPerMs = 24;
const paces = [0.7, 0.7, 1.7];
const disturbedShare = 0.15;
const disturbedPace = 2.5;
const disturbanceMs = 600;
const partsHeld = 15;
const relayIntervalMs = 300;
const minDelayMs = 300;
const maxDelayMs = 1_500;
const leaveMs = 2_000;
const deadlineMs = 5_000;

function state(engine: Engine, upstream: string, nowMs: number): LoadStatement {
    const { running, waiting, pace } = engine;
    const statement = { upstream, atMs: nowMs, running, waiting: waiting.length, pace, slowness: undefined };
    engine.statements = [...engine.statements.filter(one => nowMs - one.atMs < maxDelayMs * 2), statement];
    return statement;
}

function admit(engine: Engine, clock: VirtualClock): void {
    for (;;) {
        const run = engine.waiting[0];
        if (run === undefined || engine.running >= slots || engine.usedTokens + run.tokens > engineMemoryTokens) {
            return;
        }
        engine.waiting = engine.waiting.slice(1);
        engine.running += 1;
        engine.usedTokens += run.tokens;
        engine.busyUntilMs = Math.max(clock.now(), engine.busyUntilMs)
            + run.unreadTokens / prefillTokensPerMs * engine.pace;
        clock.after(engine.busyUntilMs - clock.now(), run.onStart);
        clock.after(engine.busyUntilMs + run.answerMs * engine.pace - clock.now(), () => {
            engine.running -= 1;
            engine.usedTokens -= run.tokens;
            run.onEnd();
            admit(engine, clock);
        });
    }
}

/** Reads what of the shared part the engine lacks, and keeps it. */
function readShared(engine: Engine, key: string, sharedTokens: number): number {
    const isHeld = engine.held.delete(key);
    engine.held.add(key);
    const [oldest] = engine.held;
    if (engine.held.size > partsHeld && oldest !== undefined) {
        engine.held.delete(oldest);
    }
    return isHeld ? 0 : sharedTokens;
}

/** Plays the load for a time. */
export function playEngineQueues(
    fleet: { readonly instances: number; readonly engines: number; readonly seed: number; },
    kinds: readonly PromptKind[],
    untilMs: number,
): EngineQueuesResult {
    const clock = createVirtualClock(fleet.seed);
    const { random } = clock;
    const ids = Array.from({ length: fleet.engines }, (_, index) => `u-${index + 1}`);
    const engines = new Map(ids.map((id, index): [string, Engine] => [id, {
        pace: paces[index % paces.length]!,
        held: new Set(),
        running: 0,
        usedTokens: 0,
        busyUntilMs: 0,
        waiting: [],
        arrivals: 0,
        statements: [],
    }]));
    const fixtures = Array.from({ length: fleet.instances }, () => createPlacerFixture(clock, ids, false));
    const delays = fixtures.map(() => ids.map(() => minDelayMs + (maxDelayMs - minDelayMs) * random()));
    const startsMs = new Map(kinds.map(({ kind }): [string, number[]] => [kind, []]));

    /** Other work on the machines makes some engines slower for a while. */
    function disturb(): void {
        [...engines.values()].forEach((engine, index) => {
            engine.pace = paces[index % paces.length]! * (random() < disturbedShare ? disturbedPace : 1);
        });
        if (clock.now() < untilMs) {
            clock.after(disturbanceMs, disturb);
        }
    }

    function relay(): void {
        fixtures.forEach(({ loads }, index) =>
            loads.recordRelayed(
                ids.flatMap((id, at) =>
                    engines.get(id)!.statements.findLast(one => one.atMs <= clock.now() - delays[index]![at]!) ?? []
                ),
            )
        );
        if (clock.now() < untilMs) {
            clock.after(relayIntervalMs, relay);
        }
    }

    function serve({ placer, loads }: PlacerFixture, caller: PromptKind, id: string): void {
        const { sharedTokens, ownTokens, answerMs } = caller;
        const key = `${caller.kind}-${Math.floor(random() * caller.prompts)}`;
        const parts = [{ id: key, tokens: sharedTokens }, { id: `own-${id}`, tokens: ownTokens }];
        const tokens = sharedTokens + ownTokens;
        const arrivedMs = clock.now();
        const req = createProxyRequest("stream", {
            id,
            prompt: createPrompt({ parts, promptTokens: tokens }),
            arrivedMs,
            deadlineMs: arrivedMs + deadlineMs,
        });
        const starts = startsMs.get(caller.kind)!;
        placer.place(req, { kind: "place", excluded: [] }, result => {
            if (result.kind !== "placed") {
                starts.push(Infinity);
                return;
            }
            const { placement } = result;
            const upstream = placement.upstream.id;
            const engine = engines.get(upstream)!;
            const sentMs = clock.now();
            engine.arrivals += 1;
            loads.recordBegin(upstream, sentMs, tokens);
            const unreadTokens = ownTokens + readShared(engine, key, sharedTokens);
            let hasStarted = false;
            const end = () => {
                loads.recordEnd(upstream, hasStarted ? clock.now() - sentMs : undefined, clock.now());
                placer.end(req);
            };
            const run: Run = {
                tokens,
                unreadTokens,
                answerMs,
                onStart: () => {
                    hasStarted = true;
                    starts.push(clock.now() - arrivedMs);
                    placer.recordAnswerStart(req, placement);
                    const { running, waiting, pace } = state(engine, upstream, clock.now());
                    loads.recordAnswer(upstream, { running, waiting, slots, pace }, {
                        sentMs,
                        receivedMs: clock.now(),
                        isTimed: false,
                        isRejected: false,
                    });
                },
                onEnd: end,
            };
            engine.waiting = [...engine.waiting, run];
            admit(engine, clock);
            clock.after(leaveMs, () => {
                if (engine.waiting.includes(run)) {
                    engine.waiting = engine.waiting.filter(one => one !== run);
                    starts.push(Infinity);
                    end();
                }
            });
        });
    }

    function arrive(caller: PromptKind, count: number): void {
        clock.after(-Math.log(1 - random()) * millisecondsPerSecond / caller.rate, () => {
            if (clock.now() < untilMs) {
                serve(fixtures[Math.floor(random() * fixtures.length)]!, caller, `${caller.kind}-${count}`);
                arrive(caller, count + 1);
            }
        });
    }

    relay();
    disturb();
    kinds.forEach(caller => arrive(caller, 0));
    clock.runUntil(untilMs + deadlineMs);
    return { startsMs, arrivals: new Map([...engines].map(([id, { arrivals }]) => [id, arrivals])) };
}
