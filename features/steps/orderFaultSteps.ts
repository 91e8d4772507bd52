/**
 * @module
 * Rollouts under random faults, and injected faults that the same checks detect.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import {
    createFixtureChange,
    createFixtureModel,
    findNewestCatalogue,
    type OrderFixture,
    type OrderFixtureOptions,
    startOrderFixture,
} from "../../bench/support/orderFixture.js";
import { isLeaseExpired, isLeaseHeld } from "../../src/core/leases/leaseView.js";
import { planOrders } from "../../src/core/orders/planOrders.js";

const seed = 60_602;
const faultyMs = 60_000;
const faultFreeMs = 240_000;
const injectedFaultRuns = 8;
const pauseRuns = 80;

const faultArbitrary = fc.record({
    kind: fc.constantFrom("pause", "pause", "pauseHolder", "pauseHolder", "crash", "silence", "logDown", "loseAnswers"),
    atMs: fc.integer({ min: 1_000, max: faultyMs }),
    durationMs: fc.integer({ min: 500, max: 25_000 }),
    target: fc.nat(5),
});

type Fault = typeof faultArbitrary extends fc.Arbitrary<infer T> ? T : never;

function findHolder(fixture: OrderFixture): number {
    const last = fixture.log.listRecords("leases").at(-1);
    return last === undefined ? 0 : Number((JSON.parse(last.payload) as { holder: string; }).holder.at(-1)) - 1;
}

function injectFault(fixture: OrderFixture, fault: Fault): void {
    const address = fixture.addresses[fault.target]!;
    switch (fault.kind) {
        case "pause":
            fixture.instances[fault.target % fixture.instances.length]!.clock.pauseFor(fault.durationMs);
            break;
        case "pauseHolder":
            fixture.instances[findHolder(fixture)]!.clock.pauseFor(fault.durationMs);
            break;
        case "crash":
            fixture.engines.crash(address);
            break;
        case "silence":
            fixture.engines.setUnresponsive(address, true);
            fixture.clock.after(fault.durationMs, () => fixture.engines.setUnresponsive(address, false));
            break;
        case "logDown":
            fixture.log.setDown(true);
            fixture.clock.after(fault.durationMs, () => fixture.log.setDown(false));
            break;
        case "loseAnswers":
            fixture.log.loseAppendAnswers(1 + fault.target);
            break;
    }
}

function checkInvariants(fixture: OrderFixture, maxConcurrentLoads: number): void {
    const numbers = fixture.engines.effects.map(effect => effect.order.fencingNumber);
    const crossed = numbers.findIndex((number, index) => index > 0 && number < numbers[index - 1]!);
    assert.equal(crossed, -1, `an order under ${numbers[crossed]} took effect after one under ${numbers[crossed - 1]}`);
    assert.ok(
        fixture.engines.maxLoading() <= maxConcurrentLoads,
        `${fixture.engines.maxLoading()} loaded at the same time`,
    );
}

async function runOnce(faults: readonly Fault[], options: OrderFixtureOptions): Promise<void> {
    const fixture = await startOrderFixture(options);
    try {
        const revision = findNewestCatalogue(fixture).entries.get("model/easy-read")!.revision;
        void fixture.log.append("catalogue", [
            createFixtureChange("change-forward", [createFixtureModel("v2")], () => revision),
        ]);
        faults.forEach(fault => fixture.clock.after(fault.atMs, () => injectFault(fixture, fault)));
        const lastCrashMs = new Map<string, number>();
        faults.filter(fault => fault.kind === "crash").forEach(fault => {
            const address = fixture.addresses[fault.target]!;
            lastCrashMs.set(address, Math.max(fault.atMs, lastCrashMs.get(address) ?? 0));
        });
        const startMs = fixture.clock.now();
        let doneMs = Infinity;
        const check = () => {
            checkInvariants(fixture, options.maxConcurrentLoads ?? 2);
            const { rollout } = findNewestCatalogue(fixture).entries.get("model/easy-read")!;
            doneMs = rollout === undefined ? Math.min(doneMs, fixture.clock.now()) : Infinity;
        };
        await fixture.advance(faultyMs, check);
        const isDone = () => findNewestCatalogue(fixture).entries.get("model/easy-read")?.rollout === undefined;
        for (let passedMs = 0; passedMs < faultFreeMs && !isDone(); passedMs += 2_000) {
            await fixture.advance(2_000, check);
        }
        assert.ok(isDone(), "the rollout did not end");
        // Engines that crash shortly before or after the end of the rollout are not checked: it cannot reload them.
        const expectedLoaded = fixture.addresses.filter(address =>
            startMs + (lastCrashMs.get(address) ?? 0) < doneMs - 6_000
        );
        assert.deepEqual(expectedLoaded.filter(address => !fixture.engines.isLoaded(address, "easy-read@v2")), []);
    }
    finally {
        fixture.stop();
    }
}

function createPauseArbitrary(minMs: number, maxMs: number): fc.Arbitrary<Fault> {
    return fc.record({
        kind: fc.constant("pauseHolder" as const),
        atMs: fc.integer({ min: 1_000, max: faultyMs }),
        durationMs: fc.integer({ min: minMs, max: maxMs }),
        target: fc.nat(5),
    });
}

/** Pauses that outlast the lease. */
const longPauseArbitrary = createPauseArbitrary(15_000, 30_000);

/** Pauses that end within the lease. */
const shortPauseArbitrary = createPauseArbitrary(2_000, 9_000);

async function checkRollouts(
    runs: number,
    options: Omit<OrderFixtureOptions, "seed">,
    one: fc.Arbitrary<Fault> = faultArbitrary,
): Promise<void> {
    const faults = fc.array(one, { minLength: 2, maxLength: 8 });
    await fc.assert(
        fc.asyncProperty(
            fc.nat(1_000_000),
            faults,
            (fixtureSeed, schedule) => runOnce(schedule, { ...options, seed: fixtureSeed }),
        ),
        { seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true },
    );
}

Then(
    "{int} rollouts with random faults keep the invariants on engines of which {word} fence, with at most {int} loads",
    async (runs: number, fences: "none" | "some", maxConcurrentLoads: number) => {
        await checkRollouts(runs, { fences, maxConcurrentLoads });
    },
);

Then(
    "{int} rollouts with pauses that outlast the lease keep the invariants on engines that do not fence",
    async (runs: number) => {
        await checkRollouts(runs, { fences: "none" }, longPauseArbitrary);
    },
);

Then("a holder that does not check its clock violates the invariants", async () => {
    const rules = { isHeld: () => true, isExpired: isLeaseExpired };
    await assert.rejects(checkRollouts(pauseRuns, { fences: "none", rules }, longPauseArbitrary), /took effect after/);
});

Then("a successor that does not wait violates the invariants", async () => {
    const isExpired: typeof isLeaseExpired = (view, nowMs) =>
        isLeaseExpired({ ...view, lastReadMs: view.lastReadMs - 12_000 }, nowMs);
    const rules = { isHeld: isLeaseHeld, isExpired };
    await assert.rejects(checkRollouts(pauseRuns, { fences: "none", rules }, shortPauseArbitrary), /took effect after/);
});

Then("a plan that ignores the bound on loads violates the invariants", async () => {
    const plan: typeof planOrders = input => {
        const entries = new Map(input.catalogue.entries);
        const held = entries.get("policy/policy")!;
        if (held.entry.kind === "policy") {
            entries.set("policy/policy", { ...held, entry: { ...held.entry, maxConcurrentLoads: 3 } });
        }
        return planOrders({ ...input, catalogue: { ...input.catalogue, entries } });
    };
    await assert.rejects(checkRollouts(injectedFaultRuns, { fences: "none", plan }), /loaded at the same time/);
});
