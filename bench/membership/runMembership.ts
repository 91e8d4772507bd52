/**
 * @module
 * `npm run bench -- membership [--seed N] [--sizes 8,40,120,380]`: crash detection, false suspicions,
 * traffic and convergence by fleet size on the virtual clock.
 */
import { parseArgs } from "node:util";
import { type CallOverhead, createFleet, type Fleet, type FleetEvent } from "./createFleet.js";
import { measureCallBytes } from "./measureCallBytes.js";

interface Trial {
    readonly fleet: Fleet;
    readonly events: FleetEvent[];
}

/** Figures of one fleet size; times are in seconds. */
interface SizeResult {
    readonly size: number;
    readonly bytesPerSecond: number;
    readonly messagesPerSecond: number;
    readonly firstAccusationP50: number;
    /** Time until no member lists the crashed one for callers any more. */
    readonly offListP50: number;
    readonly offListWorst: number;
    readonly deadEverywhereWorst: number;
    readonly leavingEverywhereWorst: number;
    /** Accusations of members that ran without a pause, while calls were lost and other members paused. */
    readonly falseAccusations: number;
    /** Running members that were declared dead. */
    readonly falseDeaths: number;
    /** Time from the simultaneous start of all members until every view is complete. */
    readonly joinSeconds: number;
}

const failureDomains = ["bilbao-a", "bilbao-b", "vitoria", "donostia", "rennes-a", "brest-a", "vannes-a"];
const targetBytesPerSecond = 4_000;
const targetDetectionSeconds = 10;
const settleMs = 30_000;
const steadyPeriodMs = 60_000;
const crashSpacingMs = 20_000;
const crashCount = 6;
const leaveCount = 4;
const leaveSpacingMs = 10_000;
const faultPeriodMs = 120_000;
const faultLossShare = 0.01;
const pauseMs = 3_000;
const pauseSpacingMs = 5_000;

function startTrial(size: number, seed: number, overhead: CallOverhead): Trial {
    const events: FleetEvent[] = [];
    const fleet = createFleet({ size, seed, failureDomains, overhead, onEvent: event => events.push(event) });
    return { fleet, events };
}

function percentile(values: readonly number[], fraction: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN;
}

function isConverged(fleet: Fleet, size: number): boolean {
    return fleet.processes.every(process =>
        process.membership.view().members.filter(member => member.state === "alive").length === size
    );
}

function measureJoin({ fleet }: Trial, size: number): number {
    const stepMs = 250;
    for (let elapsedMs = 0; elapsedMs < settleMs; elapsedMs += stepMs) {
        if (isConverged(fleet, size)) {
            fleet.runFor(settleMs - elapsedMs);
            return elapsedMs / 1000;
        }
        fleet.runFor(stepMs);
    }
    return NaN;
}

function measureSteady({ fleet }: Trial): { readonly bytes: number; readonly messages: number; } {
    const read = () =>
        fleet.processes.reduce((sum, { traffic }) => ({
            bytes: sum.bytes + traffic.sentBytes + traffic.receivedBytes,
            messages: sum.messages + traffic.sentMessages,
        }), { bytes: 0, messages: 0 });
    const before = read();
    fleet.runFor(steadyPeriodMs);
    const after = read();
    const memberSeconds = fleet.processes.length * steadyPeriodMs / 1000;
    return {
        bytes: (after.bytes - before.bytes) / memberSeconds,
        messages: (after.messages - before.messages) / memberSeconds,
    };
}

/** Seconds from `fromMs` until every observer has seen the subject in one of the states; NaN if some never did. */
function measureSpread(
    trial: Trial,
    subject: string,
    observers: ReadonlySet<string>,
    states: readonly string[],
    fromMs: number,
): number {
    const seen = new Map<string, number>();
    for (const { atMs, observer, event } of trial.events) {
        const isMatch = event.kind === "changed" && event.member.instance === subject
            && states.includes(event.member.state);
        if (isMatch && atMs >= fromMs && observers.has(observer) && !seen.has(observer)) {
            seen.set(observer, atMs);
        }
    }
    return seen.size < observers.size ? NaN : (Math.max(...seen.values()) - fromMs) / 1000;
}

function measureCrashes(trial: Trial, count: number) {
    const { fleet } = trial;
    const size = fleet.processes.length;
    const firstAccusations: number[] = [];
    const notListed: number[] = [];
    const dead: number[] = [];
    const alive = new Set(fleet.processes.map(process => process.instance));
    for (let crash = 0; crash < count; crash += 1) {
        const index = size - 1 - crash;
        const { instance } = fleet.processes[index]!;
        const fromMs = fleet.clock.now();
        fleet.crash(index);
        alive.delete(instance);
        fleet.runFor(crashSpacingMs);
        const accusation = trial.events.find(one =>
            one.atMs >= fromMs && one.event.kind === "accused" && one.event.member.instance === instance
        );
        firstAccusations.push(accusation === undefined ? NaN : (accusation.atMs - fromMs) / 1000);
        notListed.push(measureSpread(trial, instance, alive, ["suspect", "dead"], fromMs));
        dead.push(measureSpread(trial, instance, alive, ["dead"], fromMs));
        trial.events.length = 0;
    }
    return { firstAccusations, notListed, dead };
}

function measureLeaves(trial: Trial, count: number): readonly number[] {
    const { fleet } = trial;
    const times: number[] = [];
    for (let leave = 0; leave < count; leave += 1) {
        const subject = fleet.processes[leave]!;
        const observers = new Set(
            fleet.processes.filter(process => process !== subject).map(process => process.instance),
        );
        const fromMs = fleet.clock.now();
        subject.membership.leave();
        fleet.runFor(leaveSpacingMs);
        times.push(measureSpread(trial, subject.instance, observers, ["leaving"], fromMs));
        trial.events.length = 0;
    }
    return times;
}

/** Counts accusations and deaths while calls are lost and members pause; all are false, since no member has crashed. */
function measureFalseSuspicions(trial: Trial): { readonly accusations: number; readonly deaths: number; } {
    const { fleet, events } = trial;
    events.length = 0;
    fleet.setLossShare(faultLossShare);
    const paused = new Set<string>();
    for (let elapsedMs = 0; elapsedMs < faultPeriodMs; elapsedMs += pauseSpacingMs) {
        const process = fleet.processes[Math.floor(fleet.clock.random() * fleet.processes.length)]!;
        paused.add(process.instance);
        process.clock.pause();
        fleet.runFor(pauseMs);
        process.clock.resume();
        fleet.runFor(pauseSpacingMs - pauseMs);
    }
    fleet.setLossShare(0);
    return {
        accusations:
            events.filter(one => one.event.kind === "accused" && !paused.has(one.event.member.instance)).length,
        deaths: events.filter(one => one.event.kind === "changed" && one.event.member.state === "dead").length,
    };
}

function runSize(size: number, seed: number, overhead: CallOverhead): SizeResult {
    const trial = startTrial(size, seed, overhead);
    const joinSeconds = measureJoin(trial, size);
    const steady = measureSteady(trial);
    const falseSuspicions = measureFalseSuspicions(trial);
    const leaving = measureLeaves(startSettled(size, seed + 1, overhead), Math.min(leaveCount, size - 2));
    const crashed = measureCrashes(startSettled(size, seed + 2, overhead), Math.min(crashCount, size - 3));
    return {
        size,
        bytesPerSecond: Math.round(steady.bytes),
        messagesPerSecond: Math.round(steady.messages * 100) / 100,
        firstAccusationP50: percentile(crashed.firstAccusations, 0.5),
        offListP50: percentile(crashed.notListed, 0.5),
        offListWorst: Math.max(...crashed.notListed),
        deadEverywhereWorst: Math.max(...crashed.dead),
        leavingEverywhereWorst: Math.max(...leaving),
        falseAccusations: falseSuspicions.accusations,
        falseDeaths: falseSuspicions.deaths,
        joinSeconds,
    };
}

function startSettled(size: number, seed: number, overhead: CallOverhead): Trial {
    const trial = startTrial(size, seed, overhead);
    trial.fleet.runFor(settleMs);
    trial.events.length = 0;
    return trial;
}

function printTable(results: readonly SizeResult[]): void {
    const keys = Object.keys(results[0]!) as readonly (keyof SizeResult)[];
    for (const key of keys) {
        const cells = results.map(result => String(Math.round(result[key] * 100) / 100).padStart(9));
        process.stdout.write(`${key.padEnd(24)}${cells.join("")}\n`);
    }
}

/** Runs the measurement. */
export async function runMembership(args: readonly string[]): Promise<void> {
    const { values } = parseArgs({
        args: [...args],
        options: { seed: { type: "string", default: "1" }, sizes: { type: "string", default: "8,40,120,380" } },
    });
    const sizes = values.sizes.split(",").map(Number);
    const overhead = await measureCallBytes();
    process.stdout.write(
        `A call on a connection of its own takes ${overhead.requestBytes} + ${overhead.answerBytes} bytes besides its `
            + "JSON bodies: HTTP and tRPC as measured on loopback, TCP and IP headers by count of segments.\n",
    );
    process.stdout.write("Bytes are those sent and received by a member; times in seconds.\n\n");
    const results = sizes.map(size => runSize(size, Number(values.seed), overhead));
    printTable(results);
    const first = results[0]!;
    const last = results[results.length - 1]!;
    const isMet = results.every(result =>
        result.bytesPerSecond < targetBytesPerSecond && result.offListWorst < targetDetectionSeconds
    );
    const bytesPerSecondPerMember = (last.bytesPerSecond - first.bytesPerSecond) / (last.size - first.size);
    const slope = last.size === first.size ? 0 : bytesPerSecondPerMember;
    process.stdout.write(
        `${JSON.stringify({ bench: "membership", seed: Number(values.seed), overhead, results, slope, isMet })}\n`,
    );
}
