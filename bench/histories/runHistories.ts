/**
 * @module
 * Generates histories with fast-check's model-based commands, and checks each one.
 */
import fc from "fast-check";
import { claimMarginMs } from "../../src/core/claims/createClaimManager.js";
import { checkHistory } from "./checkHistory.js";
import { createFleetModel, type FleetModel, instanceCount, upstreamIds } from "./createFleetModel.js";
import type { CallFault } from "./createUpstreamModel.js";
import type { InjectedFault } from "./historyTypes.js";

/** Options of a run. */
export interface HistoryRunOptions {
    readonly seed: number;
    readonly runs: number;
    /** A fault to inject into the code under test. */
    readonly injectedFault?: InjectedFault;
}

/** Result of a run. */
export interface HistoryRunResult {
    readonly histories: number;
    readonly requests: number;
    /** Final answers by kind: "answer", "closed", or the error kind. */
    readonly ends: ReadonlyMap<string, number>;
    /** Violations of the smallest failing history, with its commands; undefined when there is none. */
    readonly failure: string | undefined;
}

/** State of the model-based commands: the idempotency keys that callers have issued. */
interface CallerModel {
    readonly serviceKeys: string[];
    readonly modelKeys: string[];
}

type HistoryCommand = fc.Command<CallerModel, FleetModel>;

const maxCommands = 40;
const maxPauseMs = 4_000;
const maxAdvanceMs = 3_000;

/** Longer than the period after a truncation in which keys are refused. */
const longAdvanceMs = claimMarginMs + 1_000;

function createCommand(
    name: string,
    run: (model: CallerModel, fleet: FleetModel) => void,
    check: (model: Readonly<CallerModel>) => boolean = () => true,
): HistoryCommand {
    return { check, run, toString: () => name };
}

const instance = fc.nat(instanceCount - 1);
const upstream = fc.constantFrom(...upstreamIds);
const fault = fc.constantFrom<CallFault>(
    "refuse",
    "refuseUnrun",
    "loseAnswer",
    "silent",
    "cut",
    "repeatEvent",
    "skipEvent",
    "crossed",
    "late",
    "otherWeights",
);

function createKey(fleet: FleetModel, number: number): string {
    return `${Math.floor(fleet.clock.wallNow())}-k${number}`;
}

const callNew = instance.map(at =>
    createCommand(`callNew(${at})`, (model, fleet) => {
        const key = createKey(fleet, model.serviceKeys.length);
        model.serviceKeys.push(key);
        fleet.callService(at, key);
    })
);
const callAgain = fc.tuple(instance, fc.nat()).map(([at, pick]) =>
    createCommand(`callAgain(${at}, ${pick})`, (model, fleet) => {
        fleet.callService(at, model.serviceKeys[pick % model.serviceKeys.length]!);
    }, model => model.serviceKeys.length > 0)
);
const streamNew = instance.map(at =>
    createCommand(`streamNew(${at})`, (model, fleet) => {
        const key = createKey(fleet, model.modelKeys.length);
        model.modelKeys.push(key);
        fleet.streamModel(at, key);
    })
);
const streamAgain = fc.tuple(instance, fc.nat()).map(([at, pick]) =>
    createCommand(`streamAgain(${at}, ${pick})`, (model, fleet) => {
        fleet.streamModel(at, model.modelKeys[pick % model.modelKeys.length]!);
    }, model => model.modelKeys.length > 0)
);
const advance = fc.integer({ min: 1, max: maxAdvanceMs }).map(durationMs =>
    createCommand(`advance(${durationMs})`, (_, fleet) => fleet.clock.runUntil(fleet.clock.now() + durationMs))
);
const advanceLong = fc.constant(
    createCommand("advanceLong", (_, fleet) => fleet.clock.runUntil(fleet.clock.now() + longAdvanceMs)),
);
const failNext = fc.tuple(upstream, fault).map(([id, kind]) =>
    createCommand(`failNext(${id}, ${kind})`, (_, fleet) => fleet.upstreams.failNext(id, kind))
);
const crashEngine = fc.constantFrom("engine-1", "engine-2").map(id =>
    createCommand(`crashEngine(${id})`, (_, fleet) => fleet.upstreams.crash(id))
);
const crash = instance.map(at => createCommand(`crash(${at})`, (_, fleet) => fleet.instances[at]!.crash()));
const crashAll = fc.constant(
    createCommand("crashAll", (_, fleet) => fleet.instances.forEach(one => one.crash())),
);
const pause = fc.tuple(instance, fc.integer({ min: 1, max: maxPauseMs })).map(([at, durationMs]) =>
    createCommand(`pause(${at}, ${durationMs})`, (_, fleet) => fleet.instances[at]!.pause(durationMs))
);
const partitionLog = fc.tuple(instance, fc.boolean()).map(([at, isPartitioned]) =>
    createCommand(`partitionLog(${at}, ${isPartitioned})`, (_, fleet) => fleet.log.setPartitioned(at, isPartitioned))
);
const cutUpstreams = fc.tuple(instance, fc.boolean()).map(([at, isPartitioned]) =>
    createCommand(
        `cutUpstreams(${at}, ${isPartitioned})`,
        (_, fleet) => fleet.instances[at]!.setUpstreamsPartitioned(isPartitioned),
    )
);
const failLog = fc.boolean().map(isDown =>
    createCommand(`failLog(${isDown})`, (_, fleet) => fleet.log.setDown(isDown))
);
const loseAppendAnswers = fc.integer({ min: 1, max: 2 }).map(count =>
    createCommand(`loseAppendAnswers(${count})`, (_, fleet) => fleet.log.loseAnswers(count))
);
const delayAppends = fc.integer({ min: 1, max: 2 }).map(count =>
    createCommand(`delayAppends(${count})`, (_, fleet) => fleet.log.delayAppends(count))
);
const truncateLog = fc.constant(createCommand("truncateLog", (_, fleet) => fleet.log.truncate()));

const commands = fc.commands([
    callNew,
    callNew,
    callNew,
    callAgain,
    callAgain,
    callAgain,
    streamNew,
    streamNew,
    streamAgain,
    advance,
    advance,
    advance,
    advanceLong,
    failNext,
    failNext,
    failNext,
    crashEngine,
    crash,
    crashAll,
    pause,
    partitionLog,
    cutUpstreams,
    failLog,
    loseAppendAnswers,
    delayAppends,
    truncateLog,
], { maxCommands, size: "max" });

function countEnds(fleet: FleetModel, ends: Map<string, number>): number {
    const { requests } = fleet.history();
    for (const req of requests) {
        const end = req.ends[0]?.end;
        const name = end?.kind === "refusal" ? end.error : end?.kind ?? "none";
        ends.set(name, (ends.get(name) ?? 0) + 1);
    }
    return requests.length;
}

/**
 * Generates and checks histories.
 *
 * @param options - Seed, number of histories, and a fault to inject.
 * @returns The counts of the run, and the smallest failing history.
 */
export function runHistories(options: HistoryRunOptions): HistoryRunResult {
    const ends = new Map<string, number>();
    let histories = 0;
    let requests = 0;
    const property = fc.property(fc.nat(), commands, (seed, plan) => {
        const fleet = createFleetModel(seed, options.injectedFault);
        fc.modelRun(() => ({ model: { serviceKeys: [], modelKeys: [] }, real: fleet }), plan);
        fleet.settle();
        histories += 1;
        requests += countEnds(fleet, ends);
        const violations = checkHistory(fleet.history());
        if (violations.length > 0) {
            throw new Error(violations.join("\n"));
        }
    });
    const checked = fc.check(property, { seed: options.seed, numRuns: options.runs });
    const failure = checked.failed ? `${String(checked.counterexample)}\n${String(checked.errorInstance)}` : undefined;
    return { histories, requests, ends, failure };
}
