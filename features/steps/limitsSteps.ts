/**
 * @module
 * Steps that run the production code of limits in a simulated fleet under generated faults.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createFleet, type Fleet, type FleetFault } from "../../bench/limits/createFleet.js";
import { createLimitMeter } from "../../bench/limits/createLimitMeter.js";
import type { Customer } from "../../src/core/catalogue/catalogueEntry.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface Fault {
    readonly kind:
        | "restart"
        | "leave"
        | "pause"
        | "partition"
        | "heal"
        | "logDown"
        | "logUp"
        | "logCut"
        | "logJoined";
    readonly atMs: number;
    readonly daemon: number;
    readonly durationMs: number;
}

interface Schedule {
    readonly seed: number;
    readonly lossShare: number;
    readonly maxDelayMs: number;
    readonly faults: readonly Fault[];
}

interface Outcome {
    readonly excesses: number;
    readonly undecided: number;
}

const daemons = 4;
const faultPeriodMs = 15_000;
const phaseMs = 3_000;
const timeoutMs = 3_000;
const runs = { seed: 7, numRuns: 20 };

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
    kind: fc.constantFrom("restart", "restart", "pause", "pause", "pause", "partition", "heal", "logDown", "logUp"),
    // Half of the faults occur near a shift of demand, while borrowed quota is in use that both sides compete for.
    atMs: fc.oneof(
        fc.integer({ min: 500, max: faultPeriodMs }),
        fc.tuple(fc.constantFrom(2, 4), fc.integer({ min: -1_500, max: 500 }))
            .map(([phase, shiftMs]) => phase * phaseMs + shiftMs),
    ),
    // Faults hit the first two instances more often, because demand concentrates there.
    daemon: fc.constantFrom(0, 0, 1, 1, 2, 3),
    durationMs: fc.integer({ min: 500, max: 5_000 }),
});

const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
    seed: fc.integer({ min: 1, max: 1 << 30 }),
    lossShare: fc.constantFrom(0, 0.05, 0.3),
    maxDelayMs: fc.constantFrom(2, 50, 2_500),
    faults: fc.array(faultArbitrary, { minLength: 3, maxLength: 12 }),
});

const outageEndMs = 9_000;

/** Instances that stop, restart or crash while the log is down, in an outage that ends while demand continues. */
const outageArbitrary: fc.Arbitrary<Schedule> = fc.record({
    seed: fc.integer({ min: 1, max: 1 << 30 }),
    lossShare: fc.constantFrom(0, 0, 0.05),
    maxDelayMs: fc.constantFrom(2, 50, 2_500),
    faults: fc.array(
        fc.record({
            kind: fc.constantFrom<Fault["kind"]>(
                ...["leave", "leave", "leave", "restart", "pause"] as const,
                ...["partition", "heal", "logCut", "logCut", "logJoined"] as const,
            ),
            atMs: fc.integer({ min: 2_000, max: outageEndMs + 2_000 }),
            daemon: fc.integer({ min: 0, max: daemons - 1 }),
            durationMs: fc.integer({ min: 50, max: 3_000 }),
        }),
        { minLength: 1, maxLength: 8 },
    ).map(faults => [
        { kind: "logDown", atMs: 1_900, daemon: 0, durationMs: 0 },
        ...faults,
        { kind: "logUp", atMs: outageEndMs, daemon: 0, durationMs: 0 },
    ]),
});

const schedules = new WeakMap<SiteWorld, fc.Arbitrary<Schedule>>();

const injectedFaults = new WeakMap<SiteWorld, FleetFault>();

function createCustomer(id: string, requestsPerSecond: number): Customer {
    return {
        kind: "customer",
        id,
        owner: id,
        classOfService: "standard",
        limits: {
            requestsPerSecond,
            promptTokensPerSecond: requestsPerSecond * 100,
            outputTokensPerSecond: requestsPerSecond * 50,
            requestsInFlight: requestsPerSecond * 2,
            burstSeconds: 0.5,
        },
        credentialSha256: "0".repeat(64),
    };
}

function scheduleFault(fleet: Fleet, fault: Fault): void {
    const actions = {
        restart: () => fleet.restart(fault.daemon),
        leave: () => fleet.restartGracefully(fault.daemon, fault.durationMs),
        pause: () => fleet.pause(fault.daemon, fault.durationMs),
        partition: () => fleet.setPartition(daemon => daemon === fault.daemon ? 1 : 0),
        heal: () => fleet.setPartition(undefined),
        logDown: () => fleet.setLogDown(true),
        logUp: () => fleet.setLogDown(false),
        logCut: () => fleet.setLogPartitioned(fault.daemon, true),
        logJoined: () => fleet.setLogPartitioned(fault.daemon, false),
    };
    fleet.clock.after(fault.atMs, actions[fault.kind]);
}

/** Demand floods all instances, then concentrates on one, which has to borrow, and then floods all again. */
function chooseDaemon(fleet: Fleet): number {
    const phase = Math.floor(fleet.clock.now() / phaseMs);
    return phase % 2 === 1 ? ((phase - 1) / 2) % daemons : Math.floor(fleet.clock.random() * daemons);
}

function runSchedule(schedule: Schedule, injected: FleetFault | undefined): Outcome {
    const customers = [createCustomer("town-hall", 60), createCustomer("clinic", 30)];
    const meter = createLimitMeter(customers, () => fleet.clock.now());
    const fleet = createFleet({
        ...schedule,
        daemons,
        customers,
        policy: "reedward",
        slotsPerDaemon: 64,
        ...(injected === undefined ? {} : { injectedFault: injected }),
    }, meter);
    const undecided = new Map<number, Set<number>>();
    const restarts = new Array<number>(daemons).fill(0);
    schedule.faults.forEach(fault => scheduleFault(fleet, fault));
    schedule.faults.filter(fault => fault.kind === "restart" || fault.kind === "leave").forEach(fault => {
        fleet.clock.after(fault.kind === "leave" ? fault.atMs + fault.durationMs : fault.atMs, () => {
            restarts[fault.daemon]! += 1;
            undecided.delete(fault.daemon);
        });
    });
    let nextId = 0;
    const submitNext = () => {
        const daemon = chooseDaemon(fleet);
        const customer = customers[fleet.clock.random() < 0.7 ? 0 : 1]!;
        const cost = { promptTokens: 10 + Math.floor(fleet.clock.random() * 100), outputTokens: 30 };
        const id = nextId;
        const incarnation = restarts[daemon];
        nextId += 1;
        const pendingIds = undecided.get(daemon) ?? new Set();
        undecided.set(daemon, pendingIds.add(id));
        const request = {
            customer,
            cost,
            usedOutputTokens: 30,
            durationMs: 100 + fleet.clock.random() * 2_000,
            timeoutMs,
        };
        fleet.submit(daemon, request, () => incarnation === restarts[daemon] && undecided.get(daemon)?.delete(id));
        if (fleet.clock.now() < faultPeriodMs) {
            fleet.clock.after(fleet.clock.random() * 8, submitNext);
        }
    };
    fleet.clock.after(0, submitNext);
    fleet.clock.runUntil(faultPeriodMs + 5_000 + 2 * timeoutMs);
    const remaining = [...undecided.values()].reduce((sum, ids) => sum + ids.size, 0);
    return { excesses: meter.listExcesses().length, undecided: remaining };
}

/** An injected fault shows only under some schedules, so more of them are tried. */
const injectedFaultRuns = { numRuns: 120 } as const;

function findCounterexample(world: SiteWorld, holds: (outcome: Outcome) => boolean): string | undefined {
    const details = fc.check(
        fc.property(
            schedules.get(world) ?? scheduleArbitrary,
            schedule => holds(runSchedule(schedule, injectedFaults.get(world))),
        ),
        { ...runs, ...(injectedFaults.has(world) ? injectedFaultRuns : {}), endOnFailure: true },
    );
    return details.failed ? JSON.stringify(details.counterexample) : undefined;
}

/**
 * Runs one instance with few slots, a customer that floods it and one at a third of its limits. Returns the longest wait
 * of the second customer, or Infinity when a request of it was refused.
 */
function runFlood(seed: number, floodFactor: number, injected: FleetFault | undefined): number {
    const customers = [createCustomer("town-hall", 20), createCustomer("clinic", 20)];
    const ignore = () => undefined;
    const events = { onCharge: ignore, onComplete: ignore, onInFlightChange: ignore };
    const parts = { seed, daemons: 1, customers, policy: "reedward" as const, slotsPerDaemon: 12 };
    const fleet = createFleet({ ...parts, ...(injected === undefined ? {} : { injectedFault: injected }) }, events);
    let longestMs = 0;
    const submit = (customer: Customer, periodMs: number, record: (waitMs: number) => void) => {
        const atMs = fleet.clock.now();
        const request = {
            customer,
            cost: { promptTokens: 80, outputTokens: 40 },
            usedOutputTokens: 40,
            durationMs: 150,
            timeoutMs: 10_000,
        };
        fleet.submit(0, request, verdict => record(verdict.kind === "admitted" ? fleet.clock.now() - atMs : Infinity));
        if (atMs < 8_000) {
            fleet.clock.after(periodMs, () => submit(customer, periodMs, record));
        }
    };
    fleet.clock.after(0, () => submit(customers[0]!, 1_000 / (20 * floodFactor), ignore));
    fleet.clock.after(0, () =>
        submit(customers[1]!, 1_000 / (20 / 3), waitMs => {
            longestMs = Math.max(longestMs, waitMs);
        }));
    fleet.clock.runUntil(20_000);
    return longestMs;
}

function findStarvation(world: SiteWorld): string | undefined {
    const isServed = (seed: number, floodFactor: number) =>
        runFlood(seed, floodFactor, injectedFaults.get(world)) <= 2_000;
    const property = fc.property(fc.integer({ min: 1, max: 1 << 30 }), fc.integer({ min: 2, max: 20 }), isServed);
    const details = fc.check(property, { ...runs, numRuns: 10, endOnFailure: true });
    return details.failed ? JSON.stringify(details.counterexample) : undefined;
}

Given("any schedule of restarts, pauses, partitions, log outages, losses and delays", () => undefined);

Given("any schedule of instances that stop and restart while the log is down", function(this: SiteWorld) {
    schedules.set(this, outageArbitrary);
});

Given("any size of flood", () => undefined);

Given("the injected fault {string}", function(this: SiteWorld, fault: FleetFault) {
    injectedFaults.set(this, fault);
});

Then("no customer of the fleet exceeds a limit in any run", function(this: SiteWorld) {
    assert.equal(findCounterexample(this, outcome => outcome.excesses === 0), undefined);
});

Then("a customer of the fleet exceeds a limit in some run", function(this: SiteWorld) {
    assert.notEqual(findCounterexample(this, outcome => outcome.excesses === 0), undefined);
});

Then("every request at an instance that keeps running is decided by its deadline", function(this: SiteWorld) {
    assert.equal(findCounterexample(this, outcome => outcome.undecided === 0), undefined);
});

Then("some request stays undecided in some run", function(this: SiteWorld) {
    assert.notEqual(findCounterexample(this, outcome => outcome.undecided === 0), undefined);
});

Then("a customer under its limit has all requests admitted within 2 seconds", function(this: SiteWorld) {
    assert.equal(findStarvation(this), undefined);
});

Then("a customer under its limit is starved in some run", function(this: SiteWorld) {
    assert.notEqual(findStarvation(this), undefined);
});

const outages = new WeakMap<SiteWorld, Fleet>();

function submitAtAll(fleet: Fleet, onAdmitted: (daemon: number) => void): void {
    const customer = createCustomer("town-hall", 60);
    for (let daemon = 0; daemon < daemons; daemon += 1) {
        const cost = { promptTokens: 10, outputTokens: 30 };
        const request = { customer, cost, usedOutputTokens: 30, durationMs: 100, timeoutMs };
        fleet.submit(daemon, request, verdict => verdict.kind === "admitted" && onAdmitted(daemon));
    }
}

Given("a fleet whose log goes down after every instance has served", function(this: SiteWorld) {
    const ignore = () => undefined;
    const fleet = createFleet({
        seed: 7,
        daemons,
        customers: [createCustomer("town-hall", 60)],
        policy: "reedward",
        slotsPerDaemon: 64,
    }, { onCharge: ignore, onComplete: ignore, onInFlightChange: ignore });
    submitAtAll(fleet, ignore);
    fleet.clock.after(3_000, () => submitAtAll(fleet, ignore));
    fleet.clock.runUntil(6_000);
    fleet.setLogDown(true);
    outages.set(this, fleet);
});

When("all instances stop and restart one after the other", function(this: SiteWorld) {
    const fleet = outages.get(this)!;
    for (let daemon = 0; daemon < daemons; daemon += 1) {
        fleet.restartGracefully(daemon, 1_000);
        fleet.clock.runUntil(fleet.clock.now() + 3_000);
    }
});

When("the standby of instance 1 stops while instance 1 is down", function(this: SiteWorld) {
    const fleet = outages.get(this)!;
    fleet.restartGracefully(0, 6_000);
    fleet.clock.runUntil(fleet.clock.now() + 1_000);
    fleet.restartGracefully(1, 1_000);
    fleet.clock.runUntil(fleet.clock.now() + 10_000);
});

Then("no quota shard is lost when both are back", function(this: SiteWorld) {
    const fraction = outages.get(this)!.sumFractions("town-hall");
    assert.ok(fraction > 0.99, `${fraction} of the limits is usable`);
});

Then("every instance admits its own requests again", function(this: SiteWorld) {
    const fleet = outages.get(this)!;
    const admitted = new Set<number>();
    submitAtAll(fleet, daemon => admitted.add(daemon));
    fleet.clock.runUntil(fleet.clock.now() + timeoutMs);
    assert.equal(admitted.size, daemons);
});
