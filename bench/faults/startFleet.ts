/**
 * @module
 * The fleet of a fault run: daemons as separate processes, and fakes of everything else in this process.
 */
import { createHash, randomUUID } from "node:crypto";
import { type AddressInfo, createServer } from "node:net";
import { type FakeEngine, startFakeEngine } from "../../fakes/startFakeEngine.js";
import { type FakeLog, startFakeLog } from "../../fakes/startFakeLog.js";
import { type FakePlatform, startFakePlatform } from "../../fakes/startFakePlatform.js";
import { type FakeService, startFakeService } from "../../fakes/startFakeService.js";
import type { CatalogueEntry, Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { createDaemonProcess, type DaemonProcess } from "./createDaemonProcess.js";
import type { UpstreamRun } from "./historyTypes.js";
import { type Relay, startRelay } from "./startRelay.js";

/** A fake engine behind its relay, with its catalogue entry. */
export interface FleetEngine {
    readonly entry: Upstream;
    readonly fake: FakeEngine;
    readonly relay: Relay;
}

/** The running fleet. */
export interface Fleet {
    readonly log: FakeLog;
    readonly platform: FakePlatform;
    readonly engines: readonly FleetEngine[];
    readonly services: readonly FakeService[];
    readonly relays: readonly Relay[];
    readonly daemons: readonly DaemonProcess[];
    readonly runs: readonly UpstreamRun[];
    readonly stop: () => Promise<void>;
}

/** Size of one user's site. */
export interface FleetShape {
    readonly preset: "lectura" | "compagnon";
    readonly engines: number;
    readonly services: number;
    readonly maxConcurrentLoads: number;
    readonly failureDomains: readonly string[];
}

/** Today's sites of the two users. */
export const fleetShapes: Readonly<Record<FleetShape["preset"], FleetShape>> = {
    lectura: {
        preset: "lectura",
        engines: 6,
        services: 4,
        maxConcurrentLoads: 2,
        failureDomains: ["bilbao-a", "bilbao-b", "vitoria", "donostia"],
    },
    compagnon: {
        preset: "compagnon",
        engines: 13,
        services: 4,
        maxConcurrentLoads: 3,
        failureDomains: ["rennes-a", "rennes-b", "brest-a", "vannes-a"],
    },
};

/** Customers of a fault run; each one's secret is "secret-" and its id. */
export const fleetCustomers = Array.from({ length: 8 }, (_, index) => `customer-${index + 1}`);

/** Secret that authenticates the run's operators to the daemons. */
export const fleetOperatorSecret = "operator-secret-of-the-run";

const daemonCount = 8;
const upstreamDefaults = { owner: "operations", slots: 16, leaving: false, prefillTokensPerSecond: 20_000 } as const;

async function reservePorts(count: number): Promise<readonly string[]> {
    const servers = await Promise.all(Array.from({ length: count }, () => {
        const server = createServer();
        return new Promise<typeof server>(resolve => server.listen(0, "127.0.0.1", () => resolve(server)));
    }));
    const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return addresses;
}

function createCustomer(id: string): CatalogueEntry {
    const limits = {
        requestsPerSecond: 200,
        promptTokensPerSecond: 400_000,
        outputTokensPerSecond: 40_000,
        requestsInFlight: 64,
        burstSeconds: 2,
    };
    const credentialSha256 = createHash("sha256").update(`secret-${id}`).digest("hex");
    return { kind: "customer", id, owner: id, classOfService: "standard", limits, credentialSha256 };
}

/** Starts the fakes of one user's site, publishes its catalogue and creates its daemons, which are not started yet. */
export async function startFleet(shape: FleetShape, writeError: (text: string) => void): Promise<Fleet> {
    const runs: UpstreamRun[] = [];
    const recordRun = (run: Omit<UpstreamRun, "atMs">) => runs.push({ ...run, atMs: performance.now() });
    const log = await startFakeLog();
    const platform = await startFakePlatform();
    platform.setWeights("easy-read", ["v1", "v2"]);
    const relays: Relay[] = [];

    async function startEngine(index: number): Promise<FleetEngine> {
        const id = `engine-${index + 1}`;
        const fake = await startFakeEngine({
            model: "easy-read",
            weightsVersion: "v1",
            cacheBlocks: 600,
            prefillTokensPerSecond: upstreamDefaults.prefillTokensPerSecond,
            tokenIntervalMs: 8,
            fencesOrders: index % 2 === 0,
            onAttempt: attempt =>
                recordRun({ ...attempt, upstream: id, wasRun: attempt.text !== undefined, text: attempt.text ?? "" }),
        });
        const relay = await startRelay(fake.address);
        relays.push(relay);
        const failureDomain = shape.failureDomains[index % shape.failureDomains.length]!;
        const entry: Upstream = {
            ...upstreamDefaults,
            kind: "upstream",
            id,
            address: relay.address,
            failureDomain,
            role: "engine",
            serves: ["easy-read"],
            fencesOrders: index % 2 === 0,
        };
        return { entry, fake, relay };
    }

    const engines = await Promise.all(Array.from({ length: shape.engines }, (_, index) => startEngine(index)));
    const serviceEntries: Upstream[] = [];
    const services = await Promise.all(Array.from({ length: shape.services }, async (_, index) => {
        const id = `booking-${index + 1}`;
        const fields = { upstream: id, streamId: "", cacheSalt: "", weightsVersion: "", text: "", wasRun: true };
        const fake = await startFakeService(0, (path, body) => recordRun({ ...fields, body: `${path} ${body}` }));
        const relay = await startRelay(fake.address);
        relays.push(relay);
        const failureDomain = shape.failureDomains[index % shape.failureDomains.length]!;
        serviceEntries.push({
            ...upstreamDefaults,
            kind: "upstream",
            id,
            address: relay.address,
            failureDomain,
            role: "service",
            serves: ["booking"],
            fencesOrders: false,
        });
        return fake;
    }));
    platform.setInstances([...engines.map(engine => engine.entry), ...serviceEntries]
        .map(entry => ({ address: entry.address, role: "upstream", state: "live" })));

    const entries: readonly CatalogueEntry[] = [
        ...fleetCustomers.map(createCustomer),
        { kind: "model", id: "easy-read", owner: "operations", weightsVersion: "v1", minimumServingShare: 0.5 },
        { kind: "service", id: "booking", owner: "operations", unrepeatableCalls: ["POST /confirmations"] },
        {
            kind: "policy",
            id: "policy",
            owner: "operations",
            preset: shape.preset,
            maxConcurrentLoads: shape.maxConcurrentLoads,
        },
        ...engines.map(engine => engine.entry),
        ...serviceEntries,
    ];
    const edits = entries.map(entry => ({ key: `${entry.kind}/${entry.id}`, basedOn: 0, entry }));
    const change = JSON.stringify({ kind: "change", changeId: randomUUID(), author: "run", edits });
    const body = JSON.stringify({ payloads: [change] });
    await fetch(`http://${log.address}/streams/catalogue/records`, { method: "POST", body });

    const addresses = await reservePorts(2 * daemonCount);
    const peerAddresses = addresses.slice(daemonCount);
    const daemons = Array.from({ length: daemonCount }, (_, index) => {
        const failureDomain = shape.failureDomains[index % shape.failureDomains.length]!;
        const flags = [
            ...["--instance", `entry-${index + 1}`, "--failure-domain", failureDomain],
            ...[
                "--listen",
                addresses[index]!,
                "--peer-listen",
                peerAddresses[index]!,
                "--seeds",
                peerAddresses.join(","),
            ],
            ...["--log-url", `http://${log.address}`, "--instance-list-url", `http://${platform.address}/instances`],
            ...["--weight-store-url", `http://${platform.address}`, "--kv-store-url", `http://${platform.address}`],
            ...["--log-level", "error", "--entry-lifetime-ms", "1500", "--silence-timeout-ms", "1000"],
            ...["--default-deadline-ms", "15000", "--stop-bound-ms", "20000"],
        ];
        const environment = {
            REEDWARD_PEER_SECRET: "peer-secret-of-the-run",
            REEDWARD_OPERATOR_SECRET: fleetOperatorSecret,
        };
        const own = { callerAddress: addresses[index]!, peerAddress: peerAddresses[index]! };
        return createDaemonProcess(flags, environment, own, text => writeError(`daemon ${index}: ${text}`));
    });

    async function stop(): Promise<void> {
        for (const daemon of daemons) {
            daemon.signal("SIGCONT");
            daemon.signal("SIGKILL");
        }
        await Promise.all(daemons.map(daemon => daemon.waitForExit()));
        relays.forEach(relay => relay.close());
        await Promise.all(
            [...engines.map(engine => engine.fake), ...services, log, platform].map(fake => fake.close()),
        );
    }

    return { log, platform, engines, services, relays, daemons, runs, stop };
}
