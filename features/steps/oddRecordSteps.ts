/**
 * @module
 * Steps on records whose values are of the wrong size, type or depth, over loopback and in the decoders.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { startFakeServer } from "../../fakes/startFakeServer.js";
import { type FakeStore, startFakeStore } from "../../fakes/startFakeStore.js";
import { decodeOperatorRecord } from "../../platform/decodeOperatorRecord.js";
import { decodeSettings } from "../../platform/decodeSettings.js";
import { decodeUpstreamRecord } from "../../platform/decodeUpstreamRecord.js";
import { parseFleetMessage } from "../../src/core/fleet/parseFleetMessage.js";
import { parsePeerState } from "../../src/core/fleet/peerState.js";
import { decodeLeaseRecord } from "../../src/core/weights/leaseRecord.js";
import {
    call,
    type CallOptions,
    configuration,
    fixtures,
    getFixture,
    isReady,
    listEntries,
    plainCall,
    type PlatformFixture,
    startInstance,
    waitUntil,
} from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

const stores = new WeakMap<SiteWorld, FakeStore>();

/** Time in which a change of the store has reached the instances, in milliseconds. */
const spreadMs = 600;

/** Times that a refused call is sent again. */
const maxRetries = 3;

const millisecondsPerSecond = 1_000;
const nesting = 100_000;
const nestedText = "[".repeat(nesting) + "]".repeat(nesting);
const models = JSON.stringify(Array.from({ length: 5_000 }, (_, index) => ({ name: `model-${index}`, version: 1 })));

/** Mark of the value that is replaced in the text of a record. */
const mark = "\"@odd@\"";

/** Returns the JSON text of a value as a scenario names it. */
function toText(value: string): string {
    if (value.startsWith("nested")) {
        return nestedText;
    }
    return value === "5000 models" ? models : value;
}

/** Returns the JSON text of an object in which the field at a path has another value. */
function replaceField(record: unknown, path: readonly string[], text: string): string {
    const copy = structuredClone(record) as Record<string, unknown>;
    let owner = copy;
    path.slice(0, -1).forEach(name => {
        owner = owner[name] as Record<string, unknown>;
    });
    owner[path.at(-1)!] = JSON.parse(mark);
    return JSON.stringify(copy).replace(mark, () => text);
}

async function waitSpread(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, spreadMs));
}

When(/^an upstream's record has the (\w+) (.+)$/, async function(this: SiteWorld, field: string, value: string) {
    const { store, plain, engines } = getFixture(this);
    for (const like of [plain, engines[0]!]) {
        store.putText("keyed.servers", `odd-${like.id}`, replaceField(like.entry(), [field], toText(value)));
    }
    await waitSpread();
});

When(/^the configuration's (\S+) becomes (.+)$/, async function(this: SiteWorld, path: string, value: string) {
    const { store } = getFixture(this);
    const next = { ...configuration, version: configuration.version + 1 };
    store.putText("keyed.op", "config", replaceField(next, path.split("."), toText(value)));
    await waitSpread();
});

When(
    /^the topic "(lease|versions)" gets the record (.+)$/,
    async function(this: SiteWorld, topic: string, value: string) {
        const { store } = getFixture(this);
        if (topic === "lease") {
            store.putText("reedward-rollout-lease", undefined, toText(value));
        }
        else {
            store.putText("keyed.op", "version/odd", toText(value));
        }
        await waitSpread();
    },
);

/** Calls as callers do: a request that was refused as not run is sent again when the refusal says so. */
async function callPatiently(fixture: PlatformFixture, index: number, options: CallOptions): Promise<number> {
    for (let attempt = 0;; attempt += 1) {
        const answer = await call(fixture, index, options);
        if (answer.status !== 503 || attempt === maxRetries) {
            return answer.status;
        }
        const retryAfterMs = Number(answer.headers["retry-after"]) * millisecondsPerSecond;
        await new Promise(resolve => setTimeout(resolve, retryAfterMs));
    }
}

Then(
    "{int} plain calls and {int} streams are answered by the sound upstreams",
    async function(this: SiteWorld, calls: number, streams: number) {
        const fixture = getFixture(this);
        const attempts = [
            ...Array.from({ length: calls }, (_, index) => callPatiently(fixture, index % 2, plainCall)),
            ...Array.from({ length: streams }, (_, index) => callPatiently(fixture, index % 2, {})),
        ];
        const answers = await Promise.allSettled(attempts);
        const statuses = answers.map(
            answer => (answer.status === "fulfilled" ? answer.value : String(answer.reason)),
        );
        assert.deepEqual(new Set(statuses), new Set([200]), `answers: ${statuses.join(" ")}`);
    },
);

Given(/^a store whose topic of instances holds (.+)$/, async function(this: SiteWorld, value: string) {
    const store = await startFakeStore();
    stores.set(this, store);
    const text = value.startsWith("\"") ? JSON.parse(value) as string : toText(value);
    store.putText("keyed.reedward-instances", "odd", text);
});

Given(
    "a configuration, two engines, a plain server and two instances without contacts on it",
    async function(this: SiteWorld) {
        const store = stores.get(this);
        assert.ok(store !== undefined);
        const engines = [await startFakeServer("i-1", "adapt"), await startFakeServer("i-2", "adapt")];
        const plain = await startFakeServer("i-3", "portal");
        fixtures.set(this, { store, engines, plain, instances: [], logged: [], answer: undefined });
        this.cleanups.push(() => store.stop(), ...[...engines, plain].map(server => () => server.stop()));
        store.put("keyed.op", "config", configuration);
        [...engines, plain].forEach(server => store.put("keyed.servers", server.id, server.entry()));
        await startInstance(this, getFixture(this), []);
        await startInstance(this, getFixture(this), []);
        for (const instance of getFixture(this).instances) {
            await waitUntil(
                "both instances have discovered each other",
                async () => await isReady(instance) && (await listEntries(instance)).length === 2,
            );
        }
    },
);

/** Values of the wrong size, type or depth, as JSON text. */
const oddTexts = [
    "1e308",
    "-1e308",
    "1e999",
    "9007199254740991",
    "-1",
    "0.5",
    "0",
    "1".repeat(200_000),
    nestedText,
    "{\"a\":".repeat(nesting) + "0" + "}".repeat(nesting),
    "\"" + "x".repeat(200_000) + "\"",
    "\"127.0.0.1:99999\"",
    "null",
    "true",
    "[]",
    "{}",
    "[null]",
    "{\"__proto__\":{\"a\":1}}",
];

const heartbeat = {
    from: {
        name: "entry-1",
        startedAtMs: 1,
        failureDomain: "north",
        callerAddress: "127.0.0.1:1",
        peerAddress: "127.0.0.1:2",
        heartbeatAddress: "127.0.0.1:3",
        state: "serving",
    },
    tableVersion: 1,
    storeAgeMs: 1,
    named: [{ model: "m", version: 1, ageMs: 1 }],
    uses: [{ upstream: "i-1", requests: 1, memoryTokens: 1, unreadTokens: 1 }],
    loading: ["i-1"],
    loaded: [{ engine: "i-1", model: "m", version: 1 }],
    leaseOffset: 1,
    leaseEra: 1,
    known: [],
    ages: "",
};

const peerState = { upstreams: [], upstreamsAgeMs: 1, operatorAgeMs: 1, storeEra: 1, named: [] };

/** Lists the paths of all fields in a record. */
function listPaths(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
    if (typeof value !== "object" || value === undefined) {
        return [path];
    }
    const below = Object.entries(value ?? {}).flatMap(([name, field]) => listPaths(field, [...path, name]));
    return path.length === 0 ? below : [path, ...below];
}

Then("odd values in every field of records and messages make no decoder throw", function(this: SiteWorld) {
    const server = {
        service: "adapt",
        address: "127.0.0.1:1",
        zone: "north",
        version: "v1",
        slots: 8,
        state: "ready",
        cold_left_ms: 0,
        models: [{ name: "m", version: 1, adapters: [] }],
        seq_no: 1,
        born: 1,
    };
    const decoders: readonly (readonly [unknown, (text: string) => unknown])[] = [
        [server, text => decodeUpstreamRecord({ key: "u", offset: 0, value: Buffer.from(text) })],
        [configuration, text => decodeOperatorRecord({ key: "config", offset: 0, value: Buffer.from(text) })],
        [
            { model: "m", version: 2 },
            text => decodeOperatorRecord({ key: "version/m", offset: 0, value: Buffer.from(text) }),
        ],
        [{ instance: "entry-1", era: 1 }, decodeLeaseRecord],
        [heartbeat, parseFleetMessage],
        [peerState, parsePeerState],
        [{ settings: 1 }, decodeSettings],
    ];
    for (const [record, decode] of decoders) {
        oddTexts.forEach(text => assert.doesNotThrow(() => decode(text)));
        for (const path of listPaths(record)) {
            oddTexts.forEach(text =>
                assert.doesNotThrow(() => decode(replaceField(record, path, text)), path.join("."))
            );
        }
    }
});
