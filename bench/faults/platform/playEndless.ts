/**
 * @module
 * Plays one form of endless answers over one process of an instance: an upstream, the store or peers send it, beside a sound
 * upstream.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type IncomingMessage, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { drawPieceSize } from "../../../fakes/cutPieces.js";
import type { EndlessForm } from "../../../fakes/endlessForms.js";
import { type EndlessCut, sendEndless } from "../../../fakes/sendEndless.js";
import { startFakeStore } from "../../../fakes/startFakeStore.js";
import { portOffsets } from "../../support/platformSettings.js";
import { createInstanceProcess, type InstanceProcess } from "./createInstanceProcess.js";
import { createRandom } from "./createRandom.js";
import { readDeployArguments } from "./readDeployArguments.js";
import { readSharedClock } from "./readSharedClock.js";
import { startStandInPeers } from "./startStandInPeers.js";

/** Who answers without end: an upstream, the store in half of its calls, or stand-ins of peers. */
export type EndlessSource = "upstream" | "store" | "peers";

/** Every source. */
export const endlessSources: readonly EndlessSource[] = ["upstream", "store", "peers"];

/** Options of {@link playEndless}. */
export interface PlayEndlessOptions {
    readonly form: EndlessForm;
    readonly source: EndlessSource;
    readonly seed: number;
    readonly rounds: number;
    /** First of the ports that the instance uses. */
    readonly firstPort: number;
    /** The program, run by Node.js. */
    readonly program: string;
    /** Sizes of the pieces; drawn for each answer if undefined. */
    readonly cut: EndlessCut | undefined;
}

/** What was seen. */
export interface EndlessFindings {
    readonly form: string;
    /** How the process ended; "lives" if it did not. */
    readonly end: string;
    /** Most memory that it held, in megabytes. */
    readonly peakMb: number;
    /** Calls that were answered without end. */
    readonly sends: number;
    /** Results of requests, by how often they came: of those to the sound upstream, and of the others. */
    readonly sound: Readonly<Record<string, number>>;
    readonly endless: Readonly<Record<string, number>>;
    /** Longest time from one answer of readiness to the next, in milliseconds. */
    readonly longestPauseMs: number;
}

const host = "letters.example";
const key = "key-clinic";
const kinds = ["stream", "non_idempotent", "idempotent"] as const;
const requestsPerRound = 24;
const soundRequests = 8;
const endlessTimeoutMs = 4_000;
const soundTimeoutMs = 10_000;
const pollMs = 20;
const startTimeoutMs = 15_000;
const standIns = 6;
const endlessStoreShare = 0.5;

/** Pause after a round that waits for no answer without end, in milliseconds. */
const roundPauseMs = 2_000;
const kilobytesPerMegabyte = 1_024;
const maxBodyBytes = 4_194_304;

async function listen(listener: RequestListener): Promise<Server> {
    const server = createServer({ keepAliveTimeout: 60_000 }, listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

const answerSoundly: RequestListener = (req, res) => {
    req.resume();
    req.on("end", () => {
        res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "server-seal": "s" });
        res.end(`sound ${String(req.headers["attempt-id"])}`);
    });
};

function describeRoute(name: string, kind: string, service: string, timeoutMs: number): unknown {
    const path = { name, host, path_prefix: `/${name}/` };
    return { ...path, kind, service, timeout_ms: timeoutMs, target_latency_ms: 400, attempts: 2 };
}

const configuration = {
    version: 1,
    routes: [
        describeRoute("sound", "non_idempotent", "sound", soundTimeoutMs),
        ...kinds.map(kind => describeRoute(kind, kind, "endless", endlessTimeoutMs)),
    ],
    services: ["sound", "endless"].map(name => ({ name, health_path: "/health", max_conns: 64 })),
    tenants: [{ name: "clinic", api_keys: [key], isolated: false }],
    limits: {
        max_header_bytes: 16_384,
        max_body_bytes: maxBodyBytes,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    },
};

function addressOf(server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function describeUpstream(service: string, server: Server): unknown {
    return { service, address: addressOf(server), zone: "north", slots: 64, state: "ready", seq_no: 0, born: 1 };
}

async function post(instance: InstanceProcess, route: string, id: string): Promise<string> {
    try {
        const headers = { host, "attempt-id": id, authorization: `Bearer ${key}` };
        const url = `http://${instance.callerAddress}/${route}/${id}`;
        const res = await request(url, { method: "POST", headers, body: "letter", reset: true });
        const text = await res.body.text();
        const isOther = route === "sound" && res.statusCode === 200 && text !== `sound ${id}`;
        return isOther ? "another answer" : `${route} ${res.statusCode}`;
    }
    catch (error) {
        return `${route} ${(error as NodeJS.ErrnoException).code ?? String(error)}`;
    }
}

function count(results: readonly string[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    results.forEach(result => {
        counts[result] = (counts[result] ?? 0) + 1;
    });
    return counts;
}

/** Asks for the readiness again and again until it is stopped, and measures the longest time between two answers. */
function watchPauses(instance: InstanceProcess): () => number {
    let lastMs = readSharedClock();
    let longestMs = 0;
    let isStopped = false;
    const watch = async () => {
        while (!isStopped) {
            if (await instance.isReady()) {
                longestMs = Math.max(longestMs, readSharedClock() - lastMs);
                lastMs = readSharedClock();
            }
            await delay(pollMs);
        }
    };
    void watch();
    return () => {
        isStopped = true;
        return Math.round(Math.max(longestMs, readSharedClock() - lastMs));
    };
}

async function waitReady(instance: InstanceProcess): Promise<void> {
    const untilMs = readSharedClock() + startTimeoutMs;
    while (!await instance.isReady()) {
        if (readSharedClock() > untilMs) {
            throw new Error("the instance is not ready");
        }
        await delay(pollMs);
    }
}

/** Plays a form; what it started has ended when it returns. */
export async function playEndless(options: PlayEndlessOptions): Promise<EndlessFindings> {
    const { form, source, seed, rounds, firstPort } = options;
    const random = createRandom(seed);
    let sends = 0;
    const answer = (req: IncomingMessage, lines = "") => {
        sends += 1;
        req.resume();
        const cut = options.cut ?? { chunks: drawPieceSize(random), segments: drawPieceSize(random) };
        void sendEndless(req.socket, form, { attempt: String(req.headers["attempt-id"] ?? ""), lines }, cut, random);
    };
    const servers = [await listen(answerSoundly), await listen(req => answer(req))];
    const store = await startFakeStore();
    store.put("keyed.op", "config", configuration);
    ["sound", "endless"].forEach((service, index) =>
        store.put(
            "keyed.servers",
            `i-${index}`,
            describeUpstream(service, servers[source === "upstream" ? index : 0]!),
        )
    );
    const folder = mkdtempSync(join(tmpdir(), "reedward-endless-"));
    const ip = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}.7`;
    const place = { name: "entry-0", failureDomain: "north", ip, firstPort, seeds: [], storeAddress: store.address };
    const command = [...readDeployArguments(), options.program];
    const instance = createInstanceProcess(place, join(folder, "settings.json"), command, { watchIntervalMs: pollMs });
    let stopPeers: () => void = () => undefined;
    const sound: string[] = [];
    const endless: string[] = [];
    const send = async (results: string[], size: number, routeOf: (index: number) => string) => {
        const first = results.length;
        const sent = Array.from({ length: size }, (_, index) => {
            const route = routeOf(index);
            return post(instance, route, `${route}-${first + index}`);
        });
        results.push(...await Promise.all(sent));
    };
    try {
        instance.start();
        await waitReady(instance);
        if (source === "store") {
            store.setSubstitute((req, lines) => {
                const isEndless = random() < endlessStoreShare;
                if (isEndless) {
                    answer(req, lines);
                }
                return isEndless;
            });
        }
        if (source === "peers") {
            stopPeers = startStandInPeers({
                count: standIns,
                peerAddress: addressOf(servers[1]!),
                instanceAddress: `${ip}:${firstPort + portOffsets.heartbeat}`,
            });
        }
        const readPause = watchPauses(instance);
        for (let round = 0; round < rounds; round += 1) {
            await Promise.all([
                send(endless, requestsPerRound, index => kinds[index % kinds.length]!),
                send(sound, soundRequests, () => "sound"),
            ]);
            await send(sound, soundRequests, () => "sound");
            if (source !== "upstream") {
                await delay(roundPauseMs);
            }
        }
        const longestPauseMs = readPause();
        const life = instance.lives.at(-1)!;
        return {
            form: form.name,
            end: life.end ?? "lives",
            peakMb: Math.round((life.peakMemoryKb ?? 0) / kilobytesPerMegabyte),
            sends,
            sound: count(sound),
            endless: count(endless),
            longestPauseMs,
        };
    }
    finally {
        stopPeers();
        await instance.stop();
        servers.forEach(server => {
            server.closeAllConnections();
            server.close();
        });
        await store.stop();
        rmSync(folder, { recursive: true, force: true });
    }
}
