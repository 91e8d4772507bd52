/**
 * @module
 * Steps on one real process of an instance: addresses that are in use, and signals while it starts.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { createSocket } from "node:dgram";
import {
    closeSync,
    constants,
    copyFileSync,
    mkdtempSync,
    openSync,
    readFileSync,
    rmSync,
    writeFileSync,
    writeSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import {
    createInstanceProcess,
    type InstanceProcess,
    receivesHangup,
} from "../../bench/faults/platform/createInstanceProcess.js";
import { readDeployArguments } from "../../bench/faults/platform/readDeployArguments.js";
import { graceSeconds, portOffsets } from "../../bench/support/platformSettings.js";
import { startFakeServer } from "../../fakes/startFakeServer.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import { millisecondsPerSecond } from "../../src/core/constants.js";
import { configuration, plainCall, streamHeaders, waitUntil } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface ProcessFixture {
    readonly instance: InstanceProcess;
    readonly settingsPath: string;
    /** Text of the complete settings file. */
    readonly settingsText: string;
    /** Path of the log; undefined if it is not kept. */
    readonly logPath: string | undefined;
    release: () => Promise<void>;
}

const fixtures = new WeakMap<SiteWorld, ProcessFixture>();
const firstPort = 25_000;

/** Time in which a process that could become ready does so, in milliseconds. */
const startMs = 1_500;

const pollMs = 2;

/** Time for which a process meets its incomplete settings file, in milliseconds. */
const settingsDelayMs = 1_500;

const requestsAtOnce = 50;

/** Size of the writes that fill a pipe: the smallest that a pipe takes as a whole, in bytes. */
const pipeBlockBytes = 4_096;

const deployFolder = "dist/deploy";

const entryPoint = "reedward.cjs";

/** The module of the bundle that the entry point loads. */
const loadedModule = "startInstance.mjs";

function getFixture(world: SiteWorld): ProcessFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

function holdStream(port: number, host: string): Promise<() => Promise<void>> {
    const server = createServer(socket => socket.destroy());
    return new Promise(resolve => {
        server.listen(port, host, () => resolve(() => new Promise(closed => server.close(() => closed()))));
    });
}

function holdDatagrams(port: number, host: string): Promise<() => Promise<void>> {
    const socket = createSocket("udp4");
    return new Promise(resolve => {
        socket.bind(port, host, () => resolve(() => new Promise(closed => socket.close(() => closed()))));
    });
}

/** Creates a pipe whose reader does not read. */
function createUnreadPipe(world: SiteWorld): { readonly path: string; readonly reader: number; } {
    const folder = mkdtempSync(join(tmpdir(), "reedward-log-"));
    const path = join(folder, "pipe");
    assert.equal(spawnSync("mkfifo", [path]).status, 0);
    const reader = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
    world.cleanups.push(() => rmSync(folder, { recursive: true }));
    return { path, reader };
}

function fillPipe(writer: number): void {
    try {
        for (;;) {
            writeSync(writer, Buffer.alloc(pipeBlockBytes));
        }
    }
    catch (error) {
        assert.equal((error as NodeJS.ErrnoException).code, "EAGAIN");
    }
}

async function createPlatform(
    world: SiteWorld,
    listener: keyof typeof portOffsets | undefined,
    logPath?: string,
    programFolder = deployFolder,
): Promise<void> {
    const store = await startFakeStore();
    const servers = [await startFakeServer("i-1", "adapt"), await startFakeServer("i-2", "portal")];
    store.put("keyed.op", "config", configuration);
    servers.forEach(server => store.put("keyed.servers", server.id, server.entry()));
    // An address of this test process alone, so that runs beside each other do not meet.
    const ip = `127.${10 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}.9`;
    const folder = mkdtempSync(join(tmpdir(), "reedward-process-"));
    const place = { name: "entry-1", failureDomain: "north", ip, firstPort, seeds: [], storeAddress: store.address };
    const settingsPath = join(folder, "settings.json");
    const command = [...readDeployArguments(), join(programFolder, entryPoint)];
    const instance = createInstanceProcess(place, settingsPath, command, { logPath });
    const settingsText = readFileSync(settingsPath, "utf8");
    const port = listener === undefined ? 0 : firstPort + portOffsets[listener];
    const hold = listener === "heartbeat" ? holdDatagrams : holdStream;
    const release = listener === undefined ? () => Promise.resolve() : await hold(port, ip);
    const fixture: ProcessFixture = { instance, settingsPath, settingsText, logPath, release };
    fixtures.set(world, fixture);
    world.cleanups.push(
        () => instance.stop(),
        () => fixture.release(),
        () => store.stop(),
        ...servers.map(server => () => server.stop()),
        () => Promise.resolve(rmSync(folder, { recursive: true, force: true })),
    );
}

Given("a platform", function(this: SiteWorld) {
    return createPlatform(this, undefined);
});

Given("a platform whose log of an instance goes to a full device", function(this: SiteWorld) {
    return createPlatform(this, undefined, "/dev/full");
});

Given(
    /^a platform whose log of an instance (nobody reads|is full from the start|has been closed by a reader)$/,
    async function(this: SiteWorld, state: string) {
        const { path, reader } = createUnreadPipe(this);
        if (state === "is full from the start") {
            fillPipe(reader);
        }
        await createPlatform(this, undefined, path);
        if (state === "has been closed by a reader") {
            closeSync(reader);
            return;
        }
        this.cleanups.push(() => closeSync(reader));
    },
);

Given(
    "a platform, and a process that holds the {word} address of an instance",
    function(this: SiteWorld, listener: string) {
        return createPlatform(this, listener as keyof typeof portOffsets);
    },
);

When("the instance is started", function(this: SiteWorld) {
    getFixture(this).instance.start();
});

async function listEntries(instance: InstanceProcess): Promise<readonly string[]> {
    try {
        const url = `http://${instance.directoryAddress}/reedward/resolve?name=letters.example&zone=north`;
        const res = await request(url, { reset: true });
        const body = await res.body.json() as { readonly addrs?: readonly string[]; };
        return body.addrs ?? [];
    }
    catch {
        return [];
    }
}

async function callOnce(instance: InstanceProcess, path = plainCall.path): Promise<number> {
    try {
        const res = await request(`http://${instance.callerAddress}${path}`, {
            method: "POST",
            headers: { ...streamHeaders, ...plainCall.headers },
            body: "letter",
            reset: true,
        });
        await res.body.dump();
        return res.statusCode;
    }
    catch {
        return 0;
    }
}

Then("it is neither ready nor on its entry list", async function(this: SiteWorld) {
    const { instance } = getFixture(this);
    const untilMs = performance.now() + startMs;
    while (performance.now() < untilMs) {
        assert.equal(await instance.isReady(), false);
        assert.deepEqual(await listEntries(instance), []);
        await delay(50);
    }
});

function createFolder(world: SiteWorld): string {
    const folder = mkdtempSync(join(tmpdir(), "reedward-process-"));
    world.cleanups.push(() => Promise.resolve(rmSync(folder, { recursive: true, force: true })));
    return folder;
}

const programFolders = new WeakMap<SiteWorld, string>();

Given("a platform, and a program of which a part is missing", function(this: SiteWorld) {
    const folder = createFolder(this);
    programFolders.set(this, folder);
    copyFileSync(join(deployFolder, entryPoint), join(folder, entryPoint));
    return createPlatform(this, undefined, undefined, folder);
});

When("the part is put back after it receives signals", async function(this: SiteWorld) {
    const { instance } = getFixture(this);
    await waitUntil("the process receives signals", () => Promise.resolve(receivesHangup(instance.pid()!)));
    await delay(settingsDelayMs);
    copyFileSync(join(deployFolder, loadedModule), join(programFolders.get(this)!, loadedModule));
});

Given(/^a platform, and a settings file that is (missing|empty|partly written)$/, async function(
    this: SiteWorld,
    state: string,
) {
    await createPlatform(this, undefined, join(createFolder(this), "log"));
    const { settingsPath, settingsText } = getFixture(this);
    if (state === "missing") {
        rmSync(settingsPath);
        return;
    }
    writeFileSync(settingsPath, state === "empty" ? "" : settingsText.slice(0, settingsText.length / 2));
});

When("the settings file is completed after it receives signals", async function(this: SiteWorld) {
    const { instance, settingsPath, settingsText } = getFixture(this);
    await waitUntil("the process receives signals", () => Promise.resolve(receivesHangup(instance.pid()!)));
    await delay(settingsDelayMs);
    writeFileSync(settingsPath, settingsText);
});

When("the settings file is completed after its log says {word}", async function(this: SiteWorld, code: string) {
    const { logPath, settingsPath, settingsText } = getFixture(this);
    await waitUntil(
        "the log says so",
        () => Promise.resolve(readFileSync(logPath!, "utf8").includes(`"code":"${code}"`)),
    );
    writeFileSync(settingsPath, settingsText);
});

When("the address is free again", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    await fixture.release();
    fixture.release = () => Promise.resolve();
});

Then("it is ready, on its entry list, and answers a caller", async function(this: SiteWorld) {
    const { instance } = getFixture(this);
    await waitUntil("the instance is ready", () => instance.isReady());
    assert.deepEqual(await listEntries(instance), [instance.callerAddress]);
    assert.equal(await callOnce(instance), 200);
    assert.equal(instance.lives.length, 1);
    assert.equal(instance.lives[0]?.end, undefined);
});

When(
    /^the instance is started and gets (SIGHUP|SIGTERM) as soon as it receives signals$/,
    async function(this: SiteWorld, name: string) {
        const { instance } = getFixture(this);
        instance.start();
        const pid = instance.pid();
        assert.ok(pid !== undefined);
        while (!receivesHangup(pid)) {
            await delay(pollMs);
        }
        assert.equal(await callOnce(instance), 0, "the instance receives signals only after it has begun to serve");
        instance.signal(name as "SIGHUP" | "SIGTERM");
    },
);

Then("it ends with code 0", async function(this: SiteWorld) {
    const { instance } = getFixture(this);
    await instance.ended();
    assert.equal(instance.lives[0]?.end, "code 0");
});

When("it refuses {int} requests", async function(this: SiteWorld, count: number) {
    const { instance } = getFixture(this);
    for (let done = 0; done < count; done += requestsAtOnce) {
        const calls = Array.from({ length: requestsAtOnce }, () => callOnce(instance, "/unknown"));
        assert.deepEqual(new Set(await Promise.all(calls)), new Set([404]));
    }
});

When("its process is told to stop", function(this: SiteWorld) {
    getFixture(this).instance.signal("SIGTERM");
});

Then("it has ended before it would be killed", async function(this: SiteWorld) {
    const { instance } = getFixture(this);
    await instance.ended();
    const { termMs, endedMs } = instance.lives[0]!;
    assert.ok(endedMs! - termMs! < graceSeconds * millisecondsPerSecond);
});
