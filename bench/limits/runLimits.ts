/**
 * @module
 * `npm run bench -- limits [--seed N] [--scenario NAME] [--policy NAME]`: how well each policy enforces limits over
 * the fleet, at today's size without and with faults, or under one scenario ("twoYears" is the size in two years).
 */
import { parseArgs } from "node:util";
import { hashText } from "../../src/core/_lib/hashText.js";
import { scoreRendezvous } from "../../src/core/_lib/scoreRendezvous.js";
import type { Customer } from "../../src/core/catalogue/catalogueEntry.js";
import { createFleet, type Fleet, type LimitPolicy } from "./createFleet.js";
import { createLimitMeter } from "./createLimitMeter.js";
import { type CustomerLoad, type LoadRecord, startLoad } from "./startLoad.js";

/** A fleet size and fault under which every policy is measured. */
interface Scenario {
    readonly name: string;
    readonly daemons: number;
    readonly customers: number;
    readonly flooding: number;
    readonly requestsPerSecond: number;
    readonly entriesPerCustomer: number;
    readonly measureFromMs: number;
    readonly measureUntilMs: number;
    readonly injectFault: (fleet: Fleet) => void;
}

interface LimitFigures {
    readonly overrunPct: number;
    readonly utilisationPct: number;
    readonly victimP99WaitMs: number;
    readonly victimP99WaitAloneMs: number;
    readonly victimAdmittedPct: number;
    readonly controlBytesPerSecond: number;
    readonly controlMessagesPerSecond: number;
    readonly appendsPerSecond: number;
    /** Appends before the measured period. */
    readonly startAppends: number;
    readonly undecided: number;
}

const today = { daemons: 8, customers: 8, flooding: 2, requestsPerSecond: 40, entriesPerCustomer: 8 };
const warmUpMs = 10_000;
const floodFactor = 10;
const victimDemand = 0.6;

const scenarios: readonly Scenario[] = [
    { name: "today", ...today, measureFromMs: warmUpMs, measureUntilMs: 60_000, injectFault: () => undefined },
    {
        name: "partition",
        ...today,
        measureFromMs: 20_000,
        measureUntilMs: 50_000,
        injectFault: fleet => {
            fleet.clock.after(20_000, () => fleet.setPartition(daemon => daemon % 2));
            fleet.clock.after(50_000, () => fleet.setPartition(undefined));
        },
    },
    {
        name: "herdRestart",
        ...today,
        measureFromMs: 20_000,
        measureUntilMs: 50_000,
        injectFault: fleet => {
            fleet.clock.after(20_000, () => {
                for (let daemon = 0; daemon < today.daemons; daemon += 1) {
                    fleet.restart(daemon);
                }
            });
        },
    },
    {
        name: "twoYears",
        daemons: 380,
        customers: 220,
        flooding: 22,
        requestsPerSecond: 10,
        entriesPerCustomer: 8,
        measureFromMs: warmUpMs,
        measureUntilMs: 17_000,
        injectFault: () => undefined,
    },
];

const policies: readonly LimitPolicy[] = ["reedward", "staticSplit", "perDaemonLimit", "oracle"];

function createCustomer(index: number, requestsPerSecond: number): Customer {
    return {
        kind: "customer",
        id: `customer-${index}`,
        owner: "bench",
        classOfService: (["interactive", "standard", "batch"] as const)[index % 3]!,
        limits: {
            requestsPerSecond,
            promptTokensPerSecond: requestsPerSecond * 800,
            outputTokensPerSecond: requestsPerSecond * 120,
            requestsInFlight: requestsPerSecond * 4,
            burstSeconds: 4,
        },
        credentialSha256: "0".repeat(64),
    };
}

function chooseEntries(customer: string, scenario: Scenario): readonly number[] {
    const key = hashText(customer);
    return Array.from({ length: scenario.daemons }, (_, daemon) => daemon)
        .sort((left, right) => scoreRendezvous(key, `entry-${left}`) > scoreRendezvous(key, `entry-${right}`) ? -1 : 1)
        .slice(0, scenario.entriesPerCustomer);
}

function findP99(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}

function computeUtilisation(scenario: Scenario, records: ReadonlyMap<string, LoadRecord>): number {
    const seconds = (scenario.measureUntilMs - scenario.measureFromMs) / 1000;
    const shares = [...records.values()].map(record =>
        record.admitted / Math.min(record.offered, scenario.requestsPerSecond * seconds)
    );
    return 100 * Math.min(1, shares.reduce((sum, share) => sum + Math.min(1, share), 0) / shares.length);
}

function measure(scenario: Scenario, policy: LimitPolicy, seed: number, isWithoutFlood: boolean): LimitFigures {
    const customers = Array.from(
        { length: scenario.customers },
        (_, index) => createCustomer(index, scenario.requestsPerSecond),
    );
    const meter = createLimitMeter(customers, () => fleet.clock.now());
    const fleet = createFleet({ seed, daemons: scenario.daemons, customers, policy, slotsPerDaemon: 64 }, meter);
    const loads = customers.map((customer, index): CustomerLoad => ({
        customer,
        demand: index < scenario.flooding ? floodFactor : victimDemand,
        entries: chooseEntries(customer.id, scenario),
    }));
    scenario.injectFault(fleet);
    const period = { fromMs: scenario.measureFromMs, untilMs: scenario.measureUntilMs };
    const records = startLoad(fleet, isWithoutFlood ? loads.slice(scenario.flooding) : loads, period);
    fleet.clock.runUntil(scenario.measureFromMs);
    const before = fleet.countControl();
    fleet.clock.runUntil(scenario.measureUntilMs);
    const after = fleet.countControl();
    fleet.clock.runUntil(scenario.measureUntilMs + 5_000);
    const victims = [...records].filter(([id]) => Number(id.slice("customer-".length)) >= scenario.flooding);
    const sum = (read: (record: LoadRecord) => number) =>
        victims.reduce((total, [, record]) => total + read(record), 0);
    const seconds = (scenario.measureUntilMs - scenario.measureFromMs) / 1000;
    const daemonSeconds = scenario.daemons * seconds;
    const percent = meter.listExcesses().reduce((most, excess) => Math.max(most, excess.percent), 0);
    return {
        overrunPct: percent,
        utilisationPct: computeUtilisation(scenario, records),
        victimP99WaitMs: findP99(victims.flatMap(([, record]) => record.waitsMs)),
        victimP99WaitAloneMs: 0,
        victimAdmittedPct: (100 * sum(record => record.admitted)) / sum(record => record.offered),
        controlBytesPerSecond: (after.bytes - before.bytes) / daemonSeconds,
        controlMessagesPerSecond: (after.messages - before.messages) / daemonSeconds,
        appendsPerSecond: (after.appends - before.appends) / seconds,
        startAppends: before.appends,
        undecided: [...records.values()].reduce((total, record) => total + record.undecided, 0),
    };
}

function roundFigures(figures: LimitFigures): LimitFigures {
    const entries = Object.entries(figures).map(([key, value]) => [key, Math.round(value * 100) / 100]);
    return Object.fromEntries(entries) as LimitFigures;
}

function measureWithBaseline(scenario: Scenario, policy: LimitPolicy, seed: number): LimitFigures {
    const baseline = measure(scenario, policy, seed, true);
    return roundFigures({ ...measure(scenario, policy, seed, false), victimP99WaitAloneMs: baseline.victimP99WaitMs });
}

const options = {
    seed: { type: "string", default: "1" },
    scenario: { type: "string" },
    policy: { type: "string" },
} as const;

/** Runs every policy; the last line is JSON of the first scenario's figures by policy, then of the other scenarios. */
export function runLimits(args: readonly string[]): void {
    const { values } = parseArgs({ args: [...args], options });
    const seed = Number(values.seed);
    const names = values.scenario === undefined ? ["today", "partition", "herdRestart"] : [values.scenario];
    const chosen = scenarios.filter(scenario => names.includes(scenario.name));
    const chosenPolicies = policies.filter(policy => values.policy === undefined || values.policy === policy);
    const byScenario: Record<string, Record<string, LimitFigures>> = {};
    for (const scenario of chosen) {
        const byPolicy: Record<string, LimitFigures> = {};
        for (const policy of chosenPolicies) {
            byPolicy[policy] = measureWithBaseline(scenario, policy, seed);
        }
        process.stdout.write(`${scenario.name}, seed ${seed}\n`);
        console.table(byPolicy);
        byScenario[scenario.name] = byPolicy;
    }
    const [first, ...others] = chosen.map(scenario => scenario.name);
    const otherScenarios = Object.fromEntries(others.map(name => [name, byScenario[name]]));
    process.stdout.write(`${JSON.stringify({ ...byScenario[first ?? ""], ...otherScenarios })}\n`);
}
