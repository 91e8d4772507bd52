/**
 * @module
 * `npm run bench -- orders`: measures what a rollout appends to the log, with and without a change of the
 * lease holder.
 */
import { parseArgs } from "node:util";
import {
    createFixtureChange,
    createFixtureModel,
    findNewestCatalogue,
    type OrderFixture,
    startOrderFixture,
} from "../support/orderFixture.js";

interface RolloutCost {
    readonly engines: number;
    readonly maxConcurrentLoads: number;
    readonly holderChanges: number;
    readonly isDone: boolean;
    readonly seconds: number;
    /** Appends of order announcements and ends. */
    readonly progressAppends: number;
    readonly leaseAppends: number;
    readonly appendsPerSecond: number;
    readonly ordersSent: number;
    /** Maximum number of engines that loaded weights at the same time. */
    readonly mostLoading: number;
}

interface RolloutShape {
    readonly engines: number;
    readonly maxConcurrentLoads: number;
    readonly holderChanges: number;
}

/** Appends per second that the log has for all uses, of which a rollout takes a share. */
const logAppendsPerSecond = 300;

const maxSeconds = 3_000;
const holderStopSeconds = 20;

function stopHolder(fixture: OrderFixture): void {
    const last = fixture.log.listRecords("leases").at(-1);
    const { holder } = JSON.parse(last?.payload ?? "{\"holder\":\"entry-1\"}") as { holder: string; };
    fixture.instances[Number(holder.at(-1)) - 1]!.stop();
}

async function measure(seed: number, shape: RolloutShape): Promise<RolloutCost> {
    const fixture = await startOrderFixture({
        seed,
        engines: shape.engines,
        maxConcurrentLoads: shape.maxConcurrentLoads,
    });
    const revision = findNewestCatalogue(fixture).entries.get("model/easy-read")!.revision;
    const before = fixture.log.countAppends("catalogue") + 1;
    void fixture.log.append("catalogue", [
        createFixtureChange("change-forward", [createFixtureModel("v2")], () => revision),
    ]);
    const isDone = () => findNewestCatalogue(fixture).entries.get("model/easy-read")?.rollout === undefined;
    let seconds = 0;
    do {
        await fixture.advance(1_000);
        seconds += 1;
        if (shape.holderChanges > 0 && seconds === holderStopSeconds) {
            stopHolder(fixture);
        }
    }
    while (!isDone() && seconds < maxSeconds);
    fixture.stop();
    const progressAppends = fixture.log.countAppends("catalogue") - before;
    const leaseAppends = fixture.log.countAppends("leases");
    return {
        ...shape,
        isDone: isDone(),
        seconds,
        progressAppends,
        leaseAppends,
        appendsPerSecond: (progressAppends + leaseAppends) / seconds,
        ordersSent: fixture.engines.effects.length,
        mostLoading: fixture.engines.maxLoading(),
    };
}

function formatCost(cost: RolloutCost): string {
    const cells = [
        cost.engines,
        cost.maxConcurrentLoads,
        cost.holderChanges,
        cost.seconds,
        cost.progressAppends,
        cost.leaseAppends,
        cost.appendsPerSecond.toFixed(2),
        (cost.progressAppends / cost.engines).toFixed(2),
        cost.ordersSent,
        cost.mostLoading,
    ];
    return `${cells.map(cell => String(cell).padStart(9)).join("")}${cost.isDone ? "" : "  not done"}`;
}

/** Runs the measurement. */
export async function runOrderCosts(args: readonly string[]): Promise<void> {
    const { values } = parseArgs({ args: [...args], options: { seed: { type: "string", default: "1" } } });
    const seed = Number(values.seed);
    const costs = [
        await measure(seed, { engines: 6, maxConcurrentLoads: 2, holderChanges: 0 }),
        await measure(seed, { engines: 6, maxConcurrentLoads: 2, holderChanges: 1 }),
        await measure(seed, { engines: 13, maxConcurrentLoads: 3, holderChanges: 1 }),
        await measure(seed, { engines: 176, maxConcurrentLoads: 3, holderChanges: 0 }),
    ];
    const head = ["engines", "loads", "changes", "s", "progress", "leases", "per s", "per eng", "orders", "together"];
    process.stdout.write(`${head.map(cell => cell.padStart(9)).join("")}\n`);
    costs.forEach(cost => process.stdout.write(`${formatCost(cost)}\n`));
    const logShare = Math.max(...costs.map(cost => cost.appendsPerSecond)) / logAppendsPerSecond;
    const isBounded = costs.every(cost => cost.isDone && cost.mostLoading <= cost.maxConcurrentLoads);
    process.stdout.write(`${JSON.stringify({ seed, isBounded, logShare, costs })}\n`);
}
