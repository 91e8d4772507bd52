/**
 * @module
 * Steps on a real process beside a crowd of clients that nobody controls.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { portOffsets } from "../../bench/support/platformSettings.js";
import { allForms, type CrowdFormName, crowdForms } from "../support/crowdForms.js";
import { streamHeaders } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { type Crowd, startCrowd } from "../support/startCrowd.js";
import { crowdedProcesses, crowdFirstPort, startCrowdedProcess } from "../support/startCrowdedProcess.js";

/** The crowd of a scenario. */
interface CrowdRecord {
    readonly crowd: Crowd;
    /** Its requests that the upstream had received when it left. */
    requestsAtLeave: number;
}

const records = new WeakMap<SiteWorld, CrowdRecord>();
const bytesPerMegabyte = 1_048_576;

/** How long an ordinary caller waits for an answer, how often it tries, and how long it waits in between, in milliseconds. */
const answerTimeoutMs = 20_000;
const maxTries = 4;
const retryDelayMs = 250;

/** Time for which the crowd stays at least, in milliseconds. */
const stayMs = 3_000;

Given(
    "a process of an instance that is allowed {int} MB and {int} descriptors",
    function(this: SiteWorld, megabytes: number, descriptors: number) {
        return startCrowdedProcess(this, megabytes, descriptors);
    },
);

/** Ports that callers do not use, with a question that each answers. */
const otherPorts = {
    readiness: { offset: portOffsets.readiness, path: "/reedward/readiness" },
    peers: { offset: portOffsets.peer, path: "/peer/state" },
    entries: { offset: portOffsets.directory, path: "/reedward/resolve" },
} as const;

type OtherPort = keyof typeof otherPorts;

function findOtherAddress(world: SiteWorld, port: OtherPort): string {
    const { callerAddress } = crowdedProcesses.get(world)!.instance;
    return `${callerAddress.split(":")[0]}:${crowdFirstPort + otherPorts[port].offset}`;
}

/** Forms of crowds that send in different ways, by their name in scenarios. */
const formGroups: Readonly<Record<string, readonly string[]>> = {
    "in all ways by turns": Object.keys(crowdForms),
    "in all ways and floods by turns": Object.keys(allForms),
};

/** Starts the crowd, and waits until it stays: all is sent, or what is left is not read. */
async function gatherCrowd(
    world: SiteWorld,
    address: string,
    clients: number,
    names: readonly CrowdFormName[],
): Promise<void> {
    const crowd = startCrowd(address, clients, names.map(name => allForms[name]));
    records.set(world, { crowd, requestsAtLeave: 0 });
    world.cleanups.unshift(() => crowd.leave());
    await Promise.race([crowd.settled(), delay(stayMs)]);
}

When(
    /^(\d+) clients send (.+?)(?: to the port of (readiness|peers|entries))?, stay, and come back when they are closed$/,
    function(this: SiteWorld, clients: string, form: string, port?: OtherPort) {
        const names = formGroups[form] ?? [form];
        const { callerAddress } = crowdedProcesses.get(this)!.instance;
        const address = port ? findOtherAddress(this, port) : callerAddress;
        return gatherCrowd(this, address, Number(clients), names as readonly CrowdFormName[]);
    },
);

When("a client sends {}", function(this: SiteWorld, form: CrowdFormName) {
    const { callerAddress } = crowdedProcesses.get(this)!.instance;
    const crowd = startCrowd(callerAddress, 1, [allForms[form]]);
    records.set(this, { crowd, requestsAtLeave: 0 });
    this.cleanups.unshift(() => crowd.leave());
});

Then("its connection is closed", async function(this: SiteWorld) {
    // An endless form settles only when its connection is closed.
    await records.get(this)!.crowd.settled();
});

/** Sends a request on a connection of its own, and returns how it ended. */
async function callOnce(callerAddress: string, id: string): Promise<string> {
    try {
        const { host, authorization } = streamHeaders;
        const res = await request(`http://${callerAddress}/documents/${id}`, {
            method: "POST",
            headers: { host, authorization, "attempt-id": id },
            body: "letter",
            reset: true,
            headersTimeout: answerTimeoutMs,
            bodyTimeout: answerTimeoutMs,
        });
        return `${res.statusCode} ${await res.body.text()}`;
    }
    catch (error) {
        return `closed: ${String(error)}`;
    }
}

Then(
    /^the process answers an ordinary request(?: while they stay)?$/,
    async function(this: SiteWorld) {
        const { callerAddress } = crowdedProcesses.get(this)!.instance;
        const ends: string[] = [];
        while (ends.length < maxTries && !ends.includes("200 ordinary")) {
            ends.push(await callOnce(callerAddress, `ordinary-${randomUUID()}`));
            await delay(retryDelayMs);
        }
        assert.equal(ends.at(-1), "200 ordinary", ends.join(", "));
    },
);

/** Asks an address a question on a connection of its own; returns the status, or 0 if there was no answer. */
async function askOnce(address: string, path: string): Promise<number> {
    try {
        const res = await request(`http://${address}${path}`, { reset: true, headersTimeout: answerTimeoutMs });
        await res.body.dump();
        return res.statusCode;
    }
    catch {
        return 0;
    }
}

Then(
    /^the process has answered on the port of (readiness|peers|entries)$/,
    async function(this: SiteWorld, port: OtherPort) {
        const address = findOtherAddress(this, port);
        const statuses: number[] = [];
        while (statuses.length < maxTries && !statuses.includes(200)) {
            statuses.push(await askOnce(address, otherPorts[port].path));
            await delay(retryDelayMs);
        }
        assert.ok(statuses.includes(200), statuses.join(", "));
    },
);

When("the clients have left", function(this: SiteWorld) {
    const record = records.get(this)!;
    record.requestsAtLeave = crowdedProcesses.get(this)!.upstream.countCrowd();
    record.crowd.leave();
});

Then(
    "the process lives, and has held at most {int} MB and {int} descriptors",
    function(this: SiteWorld, megabytes: number, descriptors: number) {
        const { instance, watch } = crowdedProcesses.get(this)!;
        assert.equal(instance.lives.at(-1)?.end, undefined);
        const { heldBytes, unreadBytes, descriptors: mostDescriptors } = watch.peaks();
        const [held, unread] = [heldBytes, unreadBytes].map(bytes => Math.round(bytes / bytesPerMegabyte));
        assert.ok(heldBytes <= megabytes * bytesPerMegabyte, `${held} MB, ${unread} of them not read`);
        assert.ok(mostDescriptors <= descriptors, `${mostDescriptors} descriptors`);
    },
);

Then("at most {int} more requests of them reach the upstream", function(this: SiteWorld, most: number) {
    const { upstream } = crowdedProcesses.get(this)!;
    const more = upstream.countCrowd() - records.get(this)!.requestsAtLeave;
    assert.ok(more <= most, `${more} requests`);
});
