/**
 * @module
 * `npm run faults -- --seed N --seconds N [--preset NAME] [--fault NAME]`: runs real daemon processes under faults and
 * checks the recorded history against each guarantee. The last line is one JSON object.
 */
import { writeFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createPeerClients } from "../../src/io/peers/createPeerClient.js";
import { checkHistory, type GuaranteeResult } from "./checkHistory.js";
import type { FaultHistory, RevisionReading } from "./historyTypes.js";
import { type FaultContext, type FaultName, faultNames, injectFaults } from "./injectFaults.js";
import { startCallers } from "./startCallers.js";
import {
    type Fleet,
    fleetCustomers,
    fleetOperatorSecret,
    type FleetShape,
    fleetShapes,
    startFleet,
} from "./startFleet.js";

const warmUpMs = 2_000;
const settleMs = 1_500;
const readingIntervalMs = 250;
const operatorTimeoutMs = 8_000;
const maxPrintedViolations = 5;

interface Flags {
    readonly seed: number;
    readonly seconds: number;
    readonly preset: FleetShape["preset"];
    readonly fault: FaultName | undefined;
    readonly historyFile: string | undefined;
}

function readFlags(): Flags {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            seconds: { type: "string", default: "60" },
            preset: { type: "string" },
            fault: { type: "string" },
            history: { type: "string" },
        },
    });
    const seed = Number(values.seed);
    const preset = values.preset ?? (seed % 2 === 0 ? "compagnon" : "lectura");
    const isKnownFault = values.fault === undefined || (faultNames as readonly string[]).includes(values.fault);
    if (!Number.isInteger(seed) || !(Number(values.seconds) > 0) || !(preset in fleetShapes) || !isKnownFault) {
        process.stderr.write(
            `Usage: npm run faults -- --seed N --seconds N [--preset lectura|compagnon] [--fault NAME]\n`,
        );
        process.stderr.write(`Faults: ${faultNames.join(", ")}\n`);
        process.exit(2);
    }
    return {
        seed,
        seconds: Number(values.seconds),
        preset: preset as FleetShape["preset"],
        fault: values.fault as FaultName | undefined,
        historyFile: values.history,
    };
}

function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, 0x3fffffff) / 0x40000000;
}

/** Chooses faults at random: each one once in seeded order, then pairs. */
function* chooseFaults(flags: Flags, random: () => number): Generator<readonly FaultName[]> {
    if (flags.fault !== undefined) {
        for (;;) {
            yield [flags.fault];
        }
    }
    const singles = faultNames.map(name => ({ name, order: random() })).sort((left, right) => left.order - right.order);
    for (const { name } of singles) {
        yield [name];
    }
    for (;;) {
        const first = Math.floor(random() * faultNames.length);
        const second = (first + 1 + Math.floor(random() * (faultNames.length - 1))) % faultNames.length;
        yield [faultNames[first]!, faultNames[second]!];
    }
}

function pollRevisions(fleet: Fleet, context: FaultContext, readings: RevisionReading[]): () => void {
    let isStopped = false;
    async function readOne(index: number): Promise<void> {
        const daemon = fleet.daemons[index]!;
        const incarnation = daemon.incarnation();
        const status = await context.operators.connect(daemon.peerAddress).operator.status.query();
        if (daemon.incarnation() === incarnation) {
            readings.push({ daemon: index, life: incarnation, atMs: performance.now(), revision: status.nextOffset });
        }
    }
    async function loop(): Promise<void> {
        while (!isStopped) {
            await Promise.allSettled(fleet.daemons.map((_, index) => readOne(index)));
            await delay(readingIntervalMs);
        }
    }
    void loop();
    return () => {
        isStopped = true;
    };
}

function printResults(results: readonly GuaranteeResult[]): void {
    for (const { guarantee, checked, violations, slowestMs } of results) {
        const slowest = slowestMs === undefined ? "" : `  slowest ${slowestMs.toFixed(0)} ms`;
        process.stdout.write(
            `${guarantee.padEnd(40)} checked ${
                String(checked).padStart(6)
            }  violations ${violations.length}${slowest}\n`,
        );
        violations.slice(0, maxPrintedViolations).forEach(violation => process.stdout.write(`    ${violation}\n`));
    }
}

function printEnds(history: FaultHistory): void {
    const counts = new Map<string, number>();
    for (const req of history.requests) {
        const last = req.attempts.at(-1);
        const name = last === undefined
            ? "noEntry"
            : `${last.end}${last.errorKind === undefined ? "" : ` ${last.errorKind}`}`;
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    const parts = [...counts].sort((left, right) => right[1] - left[1]).map(([name, count]) => `${name} ${count}`);
    process.stdout.write(`requests ${history.requests.length}: ${parts.join(", ")}\n`);
}

function toJson(flags: Flags, history: FaultHistory, results: readonly GuaranteeResult[]): string {
    const promises = Object.fromEntries(results.map(result => [result.guarantee, {
        checked: result.checked,
        violations: result.violations.length,
        ...(result.slowestMs === undefined ? {} : { slowestMs: Math.round(result.slowestMs) }),
    }]));
    const answered = history.requests.filter(req => req.attempts.at(-1)?.end === "whole").length;
    return JSON.stringify({
        seed: flags.seed,
        preset: flags.preset,
        requests: history.requests.length,
        answered,
        promises,
    });
}

async function main(): Promise<void> {
    const flags = readFlags();
    const random = createRandom(flags.seed);
    const fleet = await startFleet(fleetShapes[flags.preset], text => process.stderr.write(text));
    const context: FaultContext = {
        fleet,
        operators: createPeerClients(fleetOperatorSecret, operatorTimeoutMs),
        random,
        record: { outages: [], leaving: [], changes: [] },
    };
    const readings: RevisionReading[] = [];
    try {
        await Promise.all(fleet.daemons.map(daemon => daemon.start()));
        const stopReading = pollRevisions(fleet, context, readings);
        const callers = startCallers({
            addresses: fleet.daemons.map(daemon => daemon.callerAddress),
            customers: fleetCustomers,
            workersPerCustomer: 3,
            failureDomains: fleetShapes[flags.preset].failureDomains,
            random: createRandom(flags.seed + 1),
        });
        await delay(warmUpMs);
        const endMs = performance.now() + flags.seconds * 1000;
        const faults = chooseFaults(flags, random);
        while (performance.now() < endMs) {
            const names = faults.next().value as readonly FaultName[];
            process.stdout.write(`fault: ${names.join(" + ")}\n`);
            await injectFaults(names, context);
            await delay(settleMs);
        }
        await callers.stop();
        stopReading();
        const history: FaultHistory = { requests: callers.requests, runs: fleet.runs, ...context.record, readings };
        if (flags.historyFile !== undefined) {
            writeFileSync(flags.historyFile, JSON.stringify(history));
        }
        const results = checkHistory(history);
        printEnds(history);
        printResults(results);
        process.stdout.write(`${toJson(flags, history, results)}\n`);
        process.exitCode = results.some(result => result.violations.length > 0) ? 1 : 0;
    }
    finally {
        await context.operators.close();
        await fleet.stop();
    }
}

await main();
process.exit();
