/**
 * @module
 * Injects faults into a running fleet, alone or in combination, and records outages, drains and changes.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import type { CatalogueEntry } from "../../src/core/catalogue/catalogueEntry.js";
import type { PeerClients } from "../../src/io/peers/createPeerClient.js";
import type { DaemonOutage, DrainingUpstream, ObservedChange } from "./historyTypes.js";
import type { Fleet } from "./startFleet.js";

/** Names of the faults. */
export const faultNames = [
    "engineCrash",
    "eventLoss",
    "pausedDaemon",
    "killedDaemon",
    "rollingRestart",
    "herdRestart",
    "logOutage",
    "lostAppends",
    "silentConnections",
    "racingOperators",
    "leavingUpstream",
] as const;

/** Name of a fault. */
export type FaultName = (typeof faultNames)[number];

/** Effects of the injected faults that the checks need. */
export interface FaultRecord {
    readonly outages: DaemonOutage[];
    readonly leaving: DrainingUpstream[];
    readonly changes: ObservedChange[];
}

/** What injecting faults needs. */
export interface FaultContext {
    readonly fleet: Fleet;
    readonly operators: PeerClients;
    readonly random: () => number;
    readonly record: FaultRecord;
}

const pauseMs = 5_000;
const outageMs = 4_000;
const drainMs = 7_000;
const restartDelayMs = 300;
const inForcePollMs = 20;
const inForceTimeoutMs = 6_000;

function pick<T>(list: readonly T[], random: () => number): T {
    return list[Math.floor(random() * list.length)]!;
}

async function restart(context: FaultContext, index: number, kind: "killed" | "plannedStop"): Promise<void> {
    const daemon = context.fleet.daemons[index]!;
    if (!daemon.isRunning()) {
        return;
    }
    const fromMs = performance.now();
    daemon.signal(kind === "killed" ? "SIGKILL" : "SIGTERM");
    await daemon.waitForExit();
    const untilMs = performance.now();
    await delay(restartDelayMs);
    const readyAfterMs = await daemon.start();
    context.record.outages.push({ daemon: index, kind, fromMs, untilMs, readyAfterMs });
}

async function pauseDaemon(context: FaultContext): Promise<void> {
    const index = Math.floor(context.random() * context.fleet.daemons.length);
    const daemon = context.fleet.daemons[index]!;
    const fromMs = performance.now();
    daemon.signal("SIGSTOP");
    await delay(pauseMs);
    daemon.signal("SIGCONT");
    context.record.outages.push({ daemon: index, kind: "paused", fromMs, untilMs: performance.now(), readyAfterMs: 0 });
}

/** Waits until a daemon reaches a revision; resolves with the time taken, or undefined after the timeout. */
async function observeInForce(
    context: FaultContext,
    index: number,
    revision: number,
    sinceMs: number,
): Promise<number | undefined> {
    const daemon = context.fleet.daemons[index]!;
    while (performance.now() - sinceMs < inForceTimeoutMs) {
        try {
            const status = await context.operators.connect(daemon.peerAddress).operator.status.query();
            if (status.nextOffset >= revision) {
                return performance.now() - sinceMs;
            }
        }
        catch {
            // A daemon that does not answer is polled again until the timeout.
        }
        await delay(inForcePollMs);
    }
    return undefined;
}

function wasDown(context: FaultContext, index: number, fromMs: number, untilMs: number): boolean {
    return !context.fleet.daemons[index]!.isRunning()
        || context.record.outages.some(one => one.daemon === index && one.fromMs < untilMs && one.untilMs > fromMs);
}

/** Publishes one changed entry and records when it is in force at each daemon that was up throughout. */
async function publish(
    context: FaultContext,
    publisherIndex: number,
    entry: CatalogueEntry,
    basedOn: number,
): Promise<void> {
    const { fleet, operators, record } = context;
    const key = `${entry.kind}/${entry.id}`;
    const change = { kind: "change", changeId: randomUUID(), author: "run", edits: [{ key, basedOn, entry }] };
    let answer;
    try {
        const client = operators.connect(fleet.daemons[publisherIndex]!.peerAddress);
        answer = await client.operator.applyChange.mutate(JSON.stringify(change));
    }
    catch {
        return;
    }
    const acceptedMs = performance.now();
    if (answer.outcome !== "accepted") {
        record.changes.push({
            changeId: change.changeId,
            outcome: answer.outcome,
            acceptedMs,
            revision: 0,
            inForceAfterMs: [],
        });
        return;
    }
    const status = await operators.connect(fleet.daemons[publisherIndex]!.peerAddress).operator.status.query();
    const revision = status.nextOffset;
    const observations = await Promise.all(fleet.daemons.map(async (_, index) => {
        const elapsedMs = await observeInForce(context, index, revision, acceptedMs);
        return { elapsedMs, isCounted: !wasDown(context, index, acceptedMs, performance.now()) };
    }));
    const inForceAfterMs = observations.filter(one => one.isCounted).map(one => one.elapsedMs);
    record.changes.push({ changeId: change.changeId, outcome: "accepted", acceptedMs, revision, inForceAfterMs });
}

async function readEntry(
    context: FaultContext,
    key: string,
): Promise<{ entry: CatalogueEntry; revision: number; } | undefined> {
    const running = context.fleet.daemons.filter(daemon => daemon.isRunning());
    try {
        const snapshot = await context.operators.connect(pick(running, context.random).peerAddress).operator
            .readCatalogue.query();
        return snapshot.entries.find(current => `${current.entry.kind}/${current.entry.id}` === key);
    }
    catch {
        return undefined;
    }
}

/** Publishes two concurrent changes of one entry, based on the same revision, through two daemons. */
async function raceOperators(context: FaultContext): Promise<void> {
    const current = await readEntry(context, `customer/customer-${1 + Math.floor(context.random() * 8)}`);
    if (current?.entry.kind !== "customer") {
        return;
    }
    const { entry, revision } = current;
    const first = { ...entry, limits: { ...entry.limits, requestsPerSecond: 150 + Math.floor(context.random() * 50) } };
    const second = {
        ...entry,
        limits: { ...entry.limits, requestsPerSecond: 250 + Math.floor(context.random() * 50) },
    };
    await Promise.all([publish(context, 0, first, revision), publish(context, 4, second, revision)]);
}

async function setDrainingInCatalogue(context: FaultContext, id: string, leaving: boolean): Promise<boolean> {
    const current = await readEntry(context, `upstream/${id}`);
    if (current?.entry.kind !== "upstream") {
        return false;
    }
    const before = context.record.changes.length;
    await publish(context, 0, { ...current.entry, leaving }, current.revision);
    return context.record.changes.slice(before).some(change => change.outcome === "accepted");
}

async function drainUpstream(context: FaultContext): Promise<void> {
    const { fleet, record } = context;
    const engine = pick(fleet.engines, context.random);
    const signal = pick(["engine", "catalogue", "instanceList"] as const, context.random);
    const listEngineAs = (state: "live" | "leaving") =>
        fleet.platform.setInstances(fleet.engines.map(one => ({
            address: one.entry.address,
            role: "upstream",
            state: one === engine ? state : "live",
        })));
    let fromMs = performance.now();
    if (signal === "engine") {
        engine.fake.setDraining(true);
    }
    else if (signal === "instanceList") {
        listEngineAs("leaving");
    }
    else if (!await setDrainingInCatalogue(context, engine.entry.id, true)) {
        return;
    }
    else {
        fromMs = record.changes.at(-1)!.acceptedMs;
    }
    await delay(drainMs);
    record.leaving.push({ upstream: engine.entry.id, signal, fromMs, untilMs: performance.now() });
    engine.fake.setDraining(false);
    listEngineAs("live");
    if (signal === "catalogue") {
        await setDrainingInCatalogue(context, engine.entry.id, false);
    }
}

const faults: Readonly<Record<FaultName, (context: FaultContext) => Promise<void>>> = {
    engineCrash: async ({ fleet, random }) => {
        pick(fleet.engines, random).fake.crash();
        await delay(1_000);
    },
    eventLoss: async ({ fleet }) => {
        fleet.engines.forEach(engine => engine.fake.setEventLoss(true));
        await delay(2_000);
        fleet.engines.forEach(engine => engine.fake.setEventLoss(false));
    },
    pausedDaemon: pauseDaemon,
    killedDaemon: context => restart(context, Math.floor(context.random() * 8), "killed"),
    rollingRestart: async context => {
        const first = Math.floor(context.random() * 8);
        await restart(context, first, "plannedStop");
        await restart(context, (first + 1) % 8, "plannedStop");
    },
    herdRestart: async context => {
        const survivor = Math.floor(context.random() * 8);
        const others = context.fleet.daemons.map((_, index) => index).filter(index => index !== survivor);
        await Promise.all(others.map(index => restart(context, index, "killed")));
    },
    logOutage: async ({ fleet }) => {
        fleet.log.setDown(true);
        await delay(outageMs);
        fleet.log.setDown(false);
    },
    lostAppends: async ({ fleet }) => {
        fleet.log.loseAppendAnswers(5);
        await delay(1_000);
    },
    silentConnections: async ({ fleet, random }) => {
        pick(fleet.relays, random).stallOpenConnections();
        pick(fleet.relays, random).stallOpenConnections();
        await delay(2_000);
    },
    racingOperators: raceOperators,
    leavingUpstream: drainUpstream,
};

/**
 * Injects one fault, or several at once.
 *
 * @param names - The faults.
 * @param context - The fleet and the record.
 */
export async function injectFaults(names: readonly FaultName[], context: FaultContext): Promise<void> {
    await Promise.all(names.map(name => faults[name](context)));
}
