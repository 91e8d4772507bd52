/**
 * @module
 * A real process with a store and an upstream of its own, for crowds of clients.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { InstanceProcess } from "../../bench/faults/platform/createInstanceProcess.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { configuration } from "./platformFixture.js";
import type { SiteWorld } from "./siteWorld.js";
import { startLoneProcess } from "./startLoneProcess.js";
import { type ProcessWatch, watchProcess } from "./watchProcess.js";

/** The process and its surroundings. */
export interface CrowdedProcess {
    readonly instance: InstanceProcess;
    readonly upstream: CrowdUpstream;
    readonly watch: ProcessWatch;
}

/** First of the ports of the process. */
export const crowdFirstPort = 27_600;

/** The processes by scenario. */
export const crowdedProcesses = new WeakMap<SiteWorld, CrowdedProcess>();

/** Size of answers by the first part of their path; others are short. */
const answerBytes: Readonly<Record<string, number>> = { large: 2_000_000, medium: 200_000 };

/** Long enough that the crowd stays, whatever the machine's speed. */
const routeTimeoutMs = 60_000;

const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: routeTimeoutMs,
    idle_timeout_ms: routeTimeoutMs,
};

/** The upstream of the process. */
export interface CrowdUpstream {
    readonly address: string;
    /** Number of requests of the crowd that it has received. */
    readonly countCrowd: () => number;
}

/** Answers at once. */
async function startUpstream(world: SiteWorld): Promise<CrowdUpstream> {
    let crowdRequests = 0;
    const bodies = new Map(Object.entries(answerBytes).map(([name, bytes]) => [name, Buffer.alloc(bytes, "a")]));
    const server = createServer((req, res) => {
        const [, name = "", id = ""] = req.url?.split("/") ?? [];
        crowdRequests += id.startsWith("crowd-") ? 1 : 0;
        req.resume();
        req.on("end", () => {
            res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "server-seal": "s" });
            res.end(bodies.get(name) ?? "ordinary");
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    world.cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        countCrowd: () => crowdRequests,
    };
}

/**
 * Starts the process; it ends with the scenario.
 *
 * @param world - The scenario.
 * @param megabytes - Memory that it is allowed.
 * @param descriptors - Descriptors that it is allowed.
 */
export async function startCrowdedProcess(world: SiteWorld, megabytes: number, descriptors: number): Promise<void> {
    const store = await startFakeStore();
    const [route] = configuration.routes.filter(({ path_prefix: prefix }) => prefix === "/documents/");
    const routes = ["/documents/", ...Object.keys(answerBytes).map(name => `/${name}/`)].map((prefix, index) => ({
        ...route,
        name: `route-${index}`,
        path_prefix: prefix,
        timeout_ms: routeTimeoutMs,
    }));
    store.put("keyed.op", "config", { ...configuration, routes, limits });
    const upstream = await startUpstream(world);
    store.put("keyed.servers", "i-1", {
        service: "portal",
        address: upstream.address,
        zone: "north",
        slots: 64,
        state: "ready",
        seq_no: 0,
        born: 1,
    });
    const place = { lastOctet: 12, firstPort: crowdFirstPort, storeAddress: store.address };
    const changedSettings = { limits: { memory_mb: megabytes, max_fds: descriptors } };
    const instance = await startLoneProcess(world, place, changedSettings);
    world.cleanups.push(() => store.stop());
    const watch = watchProcess(instance.pid()!, instance.callerAddress.split(":")[0]!);
    world.cleanups.push(() => watch.stop());
    crowdedProcesses.set(world, { instance, upstream, watch });
}
