/**
 * @module
 * A fixture of three instances that send orders to simulated model engines, with an in-memory log and a virtual clock.
 */
import { setImmediate as flush } from "node:timers/promises";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import type { Catalogue } from "../../src/core/catalogue/catalogue.js";
import type { CatalogueEntry, Model } from "../../src/core/catalogue/catalogueEntry.js";
import { hasUnfinishedWork } from "../../src/core/orders/hasUnfinishedWork.js";
import type { planOrders } from "../../src/core/orders/planOrders.js";
import { type CatalogueFollower, followCatalogue } from "../../src/io/catalogue/followCatalogue.js";
import { type LeaseRules, maintainLease } from "../../src/io/orders/maintainLease.js";
import { runOrders } from "../../src/io/orders/runOrders.js";
import { createMemoryLog, type MemoryLog } from "./createMemoryLog.js";
import { createModelEngines, type ModelEngines } from "./createModelEngines.js";
import { createPausableClock, type PausableClock } from "./createPausableClock.js";

/** One instance. */
export interface OrderInstance {
    readonly clock: PausableClock;
    readonly follower: CatalogueFollower;
    /** Stops it permanently, as a crash would. */
    readonly stop: () => void;
}

/** The running fixture with its fault switches. */
export interface OrderFixture {
    readonly clock: VirtualClock;
    readonly log: MemoryLog;
    readonly engines: ModelEngines;
    readonly addresses: readonly string[];
    readonly instances: readonly OrderInstance[];
    readonly events: readonly string[];
    /** Advances the clock in small steps and calls `check` after each. */
    readonly advance: (durationMs: number, check?: () => void) => Promise<void>;
    readonly stop: () => void;
}

/** Options of the fixture. */
export interface OrderFixtureOptions {
    readonly seed: number;
    readonly engines?: number;
    readonly maxConcurrentLoads?: number;
    readonly fences?: "all" | "none" | "some";
    readonly rules?: LeaseRules;
    readonly plan?: typeof planOrders;
    readonly hasWeights?: (weights: string) => boolean;
}

const instanceCount = 3;
const stepMs = 25;

/** Creates the catalogue entry of the fixture's model. */
export function createFixtureModel(weightsVersion: string): Model {
    return { kind: "model", id: "easy-read", owner: "operations", weightsVersion, minimumServingShare: 0.5 };
}

function createEntries(addresses: readonly string[], maxConcurrentLoads: number): readonly CatalogueEntry[] {
    return [
        { kind: "policy", id: "policy", owner: "operations", preset: "lectura", maxConcurrentLoads },
        createFixtureModel("v1"),
        ...addresses.map((address, index): CatalogueEntry => ({
            kind: "upstream",
            id: `engine-${index + 1}`,
            owner: "operations",
            address,
            failureDomain: "bilbao-a",
            role: "engine",
            serves: ["easy-read"],
            fencesOrders: false,
            slots: 16,
            prefillTokensPerSecond: 8000,
            leaving: false,
        })),
    ];
}

/** Creates the JSON text of a change to entries. */
export function createFixtureChange(
    changeId: string,
    entries: readonly CatalogueEntry[],
    basedOn: (key: string) => number,
): string {
    const edits = entries.map(entry => {
        const key = `${entry.kind}/${entry.id}`;
        return { key, basedOn: basedOn(key), entry };
    });
    return JSON.stringify({ kind: "change", changeId, author: "operator", edits });
}

/** Starts the fixture and waits until its initial catalogue is in force. */
export async function startOrderFixture(options: OrderFixtureOptions): Promise<OrderFixture> {
    const clock = createVirtualClock(options.seed);
    const log = createMemoryLog({ clock, sampleDelayMs: () => 2 + 40 * clock.random() });
    const addresses = Array.from({ length: options.engines ?? 6 }, (_, index) => `10.0.0.${index + 1}:80`);
    const fencing = options.fences ?? "some";
    const engines = createModelEngines({
        clock,
        addresses,
        loaded: ["easy-read@v1"],
        fences: address => fencing === "all" || (fencing === "some" && addresses.indexOf(address) % 2 === 0),
        sampleDelayMs: () => 2 + (clock.random() < 0.05 ? 1_800 : 20) * clock.random(),
        sampleLoadMs: () => 3_000 + 5_000 * clock.random(),
    });
    const events: string[] = [];
    const instances: OrderInstance[] = [];

    async function advance(durationMs: number, check: () => void = () => undefined): Promise<void> {
        const endMs = clock.now() + durationMs;
        await flush();
        while (clock.now() < endMs) {
            clock.runUntil(Math.min(endMs, clock.now() + stepMs));
            await flush();
            check();
        }
    }

    function startInstance(name: string): OrderInstance {
        const own = createPausableClock(clock);
        const port = { append: own.deferResponses(log.append), read: own.deferResponses(log.read) };
        const shared = { log: port, clock: own, random: clock.random, writeLog: (event: string) => events.push(event) };
        const follower = followCatalogue({ ...shared, onAdvance: () => undefined });
        let sessions = 0;
        const lease = maintainLease({
            ...shared,
            createSession: () => `${name}-${sessions += 1}`,
            instance: name,
            isWanted: () => hasUnfinishedWork(follower.current()),
            ...(options.rules === undefined ? {} : { rules: options.rules }),
        });
        const stopRunning = runOrders({
            ...shared,
            engines: {
                readState: own.deferResponses(engines.readState),
                readLoad: own.deferResponses(engines.readLoad),
                sendOrder: own.deferResponses(engines.sendOrder),
            },
            lease,
            instance: name,
            catalogue: follower.current,
            hasWeights: options.hasWeights ?? (() => true),
            ...(options.plan === undefined ? {} : { plan: options.plan }),
        });
        const stop = () => {
            stopRunning();
            lease.stop();
            follower.stop();
        };
        return { clock: own, follower, stop };
    }

    void log.append("catalogue", [
        createFixtureChange("change-first", createEntries(addresses, options.maxConcurrentLoads ?? 2), () => 0),
    ]);
    await advance(200);
    instances.push(...Array.from({ length: instanceCount }, (_, index) => startInstance(`entry-${index + 1}`)));
    await advance(500);
    return {
        clock,
        log,
        engines,
        addresses,
        instances,
        events,
        advance,
        stop: () => instances.forEach(instance => instance.stop()),
    };
}

/** Returns the catalogue of the instance that has folded the most records. */
export function findNewestCatalogue(fixture: OrderFixture): Catalogue {
    return fixture.instances.map(instance => instance.follower.current())
        .reduce((left, right) => left.nextOffset >= right.nextOffset ? left : right);
}
