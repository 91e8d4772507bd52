/**
 * @module
 * A small site on loopback in one process: a log, engines and a plain service, shared by several daemons.
 */
import { createHash, randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { type FakeEngine, startFakeEngine } from "../fakes/startFakeEngine.js";
import { type FakeLog, startFakeLog } from "../fakes/startFakeLog.js";
import { type FakeService, startFakeService } from "../fakes/startFakeService.js";
import type { CatalogueEntry } from "../src/core/catalogue/catalogueEntry.js";
import { readSettings } from "../src/settings/readSettings.js";
import { createDaemon, type Daemon } from "../src/wire.js";

/** A running site. */
export interface Site {
    readonly log: FakeLog;
    readonly engines: readonly FakeEngine[];
    readonly service: FakeService;
    readonly daemons: readonly Daemon[];
    /** Publishes entries as one change; `basedOn` holds the revisions of those that exist. */
    readonly publish: (entries: readonly CatalogueEntry[], basedOn?: Readonly<Record<string, number>>) => Promise<void>;
    /** Stops daemons at the same time and starts them again on their addresses. */
    readonly restart: (indices: readonly number[], options?: RestartOptions) => Promise<void>;
    readonly stop: () => Promise<void>;
}

/** How daemons of a site are restarted. */
export interface RestartOptions {
    /** Whether to wait until the daemons are ready; true when absent. */
    readonly isAwaited?: boolean;
}

/** Size and settings of a site. */
export interface SiteOptions {
    readonly daemons: number;
    readonly engines: number;
    /** Flags for every daemon in addition to those that the site sets. */
    readonly flags?: readonly string[];
    readonly tokenIntervalMs?: number;
}

/** Customers of a site; the secret of each is "secret-" followed by its id. */
export const siteCustomers = ["town-hall", "housing", "clinic"] as const;

/** Secret with which reedwardctl authenticates to a site's daemons. */
export const siteOperatorSecret = "operator-secret-of-the-site";

const sitePeerSecret = "peer-secret-of-the-site";
const failureDomains = ["bilbao-a", "bilbao-b", "vitoria", "donostia"] as const;
const readyTimeoutMs = 10_000;
const readyPollMs = 20;

function createCustomer(id: string): CatalogueEntry {
    return {
        kind: "customer",
        id,
        owner: id,
        classOfService: "standard",
        limits: {
            requestsPerSecond: 1000,
            promptTokensPerSecond: 1_000_000,
            outputTokensPerSecond: 100_000,
            requestsInFlight: 200,
            burstSeconds: 2,
        },
        credentialSha256: createHash("sha256").update(`secret-${id}`).digest("hex"),
    };
}

/** Creates the site's catalogue entries for the given upstream addresses. */
export function createSiteEntries(engines: readonly string[], service: string): readonly CatalogueEntry[] {
    const upstreams = engines.map((address, index): CatalogueEntry => ({
        kind: "upstream",
        id: `engine-${index + 1}`,
        owner: "operations",
        address,
        failureDomain: failureDomains[index % failureDomains.length]!,
        role: "engine",
        serves: ["easy-read"],
        fencesOrders: index % 2 === 0,
        slots: 16,
        prefillTokensPerSecond: 20_000,
        leaving: false,
    }));
    return [
        ...siteCustomers.map(createCustomer),
        { kind: "model", id: "easy-read", owner: "operations", weightsVersion: "v1", minimumServingShare: 0.5 },
        { kind: "service", id: "booking", owner: "operations", unrepeatableCalls: ["POST /confirmations"] },
        { kind: "policy", id: "policy", owner: "operations", preset: "lectura", maxConcurrentLoads: 2 },
        ...upstreams,
        {
            kind: "upstream",
            id: "booking-1",
            owner: "operations",
            address: service,
            failureDomain: "bilbao-a",
            role: "service",
            serves: ["booking"],
            fencesOrders: false,
            slots: 16,
            prefillTokensPerSecond: 1,
            leaving: false,
        },
    ];
}

async function startDaemon(
    index: number,
    logAddress: string,
    seeds: readonly string[],
    flags: readonly string[],
): Promise<Daemon> {
    const read = readSettings([
        ...["--instance", `entry-${index + 1}`, "--failure-domain", failureDomains[index % failureDomains.length]!],
        ...["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--seeds", seeds.join(",")],
        ...["--log-url", `http://${logAddress}`, "--log-level", "error", ...flags],
    ], { REEDWARD_PEER_SECRET: sitePeerSecret, REEDWARD_OPERATOR_SECRET: siteOperatorSecret });
    if (read.isErr) {
        throw new Error(JSON.stringify(read.error));
    }
    const daemon = createDaemon(read.value.settings);
    await daemon.start();
    return daemon;
}

async function waitUntilReady(daemon: Daemon): Promise<void> {
    const endMs = performance.now() + readyTimeoutMs;
    while (performance.now() < endMs) {
        const res = await fetch(`http://${daemon.callerAddress()}/readyz`);
        await res.arrayBuffer();
        if (res.status === 200) {
            return;
        }
        await delay(readyPollMs);
    }
    throw new Error("a daemon of the site did not become ready in time");
}

/** Starts a site and waits until every daemon is ready. */
export async function startSite(options: SiteOptions): Promise<Site> {
    const log = await startFakeLog();
    const service = await startFakeService();
    const engineOptions = {
        model: "easy-read",
        weightsVersion: "v1",
        cacheBlocks: 400,
        prefillTokensPerSecond: 20_000,
        tokenIntervalMs: options.tokenIntervalMs ?? 2,
    };
    const engines = await Promise.all(
        Array.from(
            { length: options.engines },
            (_, index) => startFakeEngine({ ...engineOptions, fencesOrders: index % 2 === 0 }),
        ),
    );

    async function publish(
        entries: readonly CatalogueEntry[],
        basedOn: Readonly<Record<string, number>> = {},
    ): Promise<void> {
        const edits = entries.map(entry => {
            const key = `${entry.kind}/${entry.id}`;
            return { key, basedOn: basedOn[key] ?? 0, entry };
        });
        const change = { kind: "change", changeId: randomUUID(), author: "site", edits };
        const body = JSON.stringify({ payloads: [JSON.stringify(change)] });
        await fetch(`http://${log.address}/streams/catalogue/records`, { method: "POST", body });
    }

    await publish(createSiteEntries(engines.map(engine => engine.address), service.address));
    const daemons: Daemon[] = [];
    for (let index = 0; index < options.daemons; index += 1) {
        const seeds = daemons.map(daemon => daemon.peerAddress());
        daemons.push(await startDaemon(index, log.address, seeds, options.flags ?? []));
    }
    await Promise.all(daemons.map(waitUntilReady));

    async function restartDaemon(index: number): Promise<void> {
        const previous = daemons[index]!;
        const seeds = daemons.filter(other => other !== previous).map(other => other.peerAddress());
        const addresses = ["--listen", previous.callerAddress(), "--peer-listen", previous.peerAddress()];
        daemons[index] = await startDaemon(index, log.address, seeds, [...options.flags ?? [], ...addresses]);
    }

    async function restart(indices: readonly number[], restartOptions: RestartOptions = {}): Promise<void> {
        await Promise.all(indices.map(index => daemons[index]!.stop()));
        await Promise.all(indices.map(restartDaemon));
        if (restartOptions.isAwaited ?? true) {
            await Promise.all(indices.map(index => waitUntilReady(daemons[index]!)));
        }
    }

    async function stop(): Promise<void> {
        await Promise.all(daemons.map(daemon => daemon.stop()));
        await Promise.all([...engines, service, log].map(fake => fake.close()));
    }
    return { log, engines, service, daemons, publish, restart, stop };
}
