/**
 * @module
 * Steps that run instances of the router with the platform's adapter against fakes on loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { request } from "undici";
import { startFakeServer } from "../../fakes/startFakeServer.js";
import { startFakeStore } from "../../fakes/startFakeStore.js";
import {
    call,
    configuration,
    fixtures,
    getFixture,
    isReady,
    listEntries,
    plainCall,
    type PlatformFixture,
    startInstance,
    streamHeaders,
    waitUntil,
} from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";

Given(
    "a store with a configuration, two engines, a plain server and two instances on them",
    async function(this: SiteWorld) {
        const store = await startFakeStore();
        const engines = [await startFakeServer("i-1", "adapt"), await startFakeServer("i-2", "adapt")];
        const plain = await startFakeServer("i-3", "portal");
        const fixture: PlatformFixture = { store, engines, plain, instances: [], logged: [], answer: undefined };
        fixtures.set(this, fixture);
        this.cleanups.push(() => store.stop(), ...[...engines, plain].map(server => () => server.stop()));
        store.put("keyed.op", "config", configuration);
        [...engines, plain].forEach(server => store.put("keyed.servers", server.id, server.entry()));
        await startInstance(this, fixture);
        await startInstance(this, fixture);
        for (const instance of fixture.instances) {
            await waitUntil(
                "both instances have discovered each other",
                async () => await isReady(instance) && (await listEntries(instance)).length === 2,
            );
        }
    },
);

const names = ["first", "second", "third"];

When("a caller requests the entry list from the first instance", () => undefined);

Then("both instances are listed", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    const expected = fixture.instances.map(instance => instance.settings.callerAddress).toSorted();
    assert.deepEqual((await listEntries(fixture.instances[0]!)).toSorted(), expected);
});

When("a caller streams a request through the {word} instance", async function(this: SiteWorld, name: string) {
    await call(getFixture(this), names.indexOf(name));
});

Then("it gets both events and the engine's seal", function(this: SiteWorld) {
    const { answer } = getFixture(this);
    assert.equal(answer?.text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert.match(String(answer?.headers["server-seal"]), /^seal-i-[12]$/);
});

Then("the engine got the customer, its own id, the version and a salt, and no key", function(this: SiteWorld) {
    const engine = getFixture(this).engines.find(one => one.runs.length > 0);
    const run = engine?.runs[0];
    assert.equal(run?.["tenant"], "clinic");
    assert.equal(run?.["expect-instance"], engine?.id);
    assert.equal(run?.["expect-version"], "1");
    assert.equal(run?.["cache-salt"], "easy-read/1/only/clinic");
    assert.equal(run?.["authorization"], undefined);
    assert.ok(Number(run?.["time-budget"]) <= 4_000);
});

When("a caller sends a plain call through the first instance", async function(this: SiteWorld) {
    await call(getFixture(this), 0, plainCall);
});

Then("it gets the plain server's answer", function(this: SiteWorld) {
    assert.equal(getFixture(this).answer?.text, "answer of i-3");
});

function sendRaw(address: string, text: string): Promise<number> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        let answer = "";
        const socket = connect(Number(port), host, () => socket.write(text));
        socket.on("data", bytes => {
            answer += bytes.toString();
        });
        socket.on("close", () => resolve(Number(/^HTTP\/1.1 (\d+)/.exec(answer)?.[1] ?? 0)));
    });
}

const attempts: ReadonlyMap<string, (fixture: PlatformFixture) => Promise<number>> = new Map<
    string,
    (fixture: PlatformFixture) => Promise<number>
>([
    [
        "a request without a key",
        async fixture => (await call(fixture, 0, { headers: { authorization: undefined } })).status,
    ],
    [
        "a request with an unknown key",
        async fixture => (await call(fixture, 0, { headers: { authorization: "Bearer other" } })).status,
    ],
    ["a request to an unknown path", async fixture => (await call(fixture, 0, { path: "/letters/" })).status],
    [
        "a request with a body that is too large",
        async fixture => (await call(fixture, 0, { body: "x".repeat(30_000) })).status,
    ],
    ["a request with a length and an encoding", fixture => {
        const lines = ["POST /adapt/7 HTTP/1.1", "Host: letters.example", "Attempt-Id: a", "Content-Length: 4"];
        const text = [...lines, "Transfer-Encoding: chunked", "", "0", "", "GET /adapt/8 HTTP/1.1", "", ""].join(
            "\r\n",
        );
        return sendRaw(fixture.instances[0]!.settings.callerAddress, text);
    }],
    ["a request that sets the system's headers", async fixture => {
        const headers = {
            tenant: "other",
            "cache-salt": "own",
            "expect-instance": "i-9",
            "hold": "h-1",
            "kv-from": "x",
        };
        const { status } = await call(fixture, 0, { headers });
        const run = fixture.engines.flatMap(engine => engine.runs).at(-1);
        assert.deepEqual([run?.["tenant"], run?.["hold"], run?.["kv-from"]], ["clinic", undefined, undefined]);
        return status;
    }],
]);

let status: number | undefined;

When(/^a caller sends (a request .*)$/, async function(this: SiteWorld, name: string) {
    const attempt = attempts.get(name);
    assert.ok(attempt !== undefined, name);
    status = await attempt(getFixture(this));
});

Then("it is answered {int}", function(expected: number) {
    assert.equal(status, expected);
});

Then(
    "the log records that the request was refused as {string}",
    function(this: SiteWorld, kind: string) {
        const refusals = getFixture(this).logged.filter(line => line.event === "requestRefused");
        assert.deepEqual(refusals.map(line => [line.fields["requestId"], line.fields["kind"]]), [[
            streamHeaders["attempt-id"],
            kind,
        ]]);
    },
);

When("the operator sets the target version to {int}", function(this: SiteWorld, version: number) {
    getFixture(this).store.put("keyed.op", "version/easy-read", { model: "easy-read", version });
});

Then(
    "both engines load version {int} on one order each from the same holder",
    async function(this: SiteWorld, version: number) {
        const { engines } = getFixture(this);
        await waitUntil("both engines have the version", () => engines.every(engine => engine.version() === version));
        const orders = engines.flatMap(engine => engine.orders);
        assert.equal(orders.length, engines.length);
        assert.equal(new Set(orders.map(order => order.holder)).size, 1);
    },
);

Then("the orders let the engines continue their running requests", function(this: SiteWorld) {
    const orders = getFixture(this).engines.flatMap(engine => engine.orders);
    assert.deepEqual(new Set(orders.map(order => order.switchMode)), new Set(["retain"]));
});

Then("the engine receives requests for version {int}", async function(this: SiteWorld, version: number) {
    const fixture = getFixture(this);
    const newest = () => fixture.engines.flatMap(engine => engine.runs).at(-1)?.["expect-version"];
    await waitUntil("requests ask for the new version", async () => {
        await call(fixture, 1);
        return newest() === String(version);
    });
});

When("both engines load version {int} on orders of another holder", async function(this: SiteWorld, version: number) {
    for (const engine of getFixture(this).engines) {
        const res = await request(`http://${engine.address}/reedward/order`, {
            method: "POST",
            body: JSON.stringify({ op: "version", model: "easy-read", version, fence: 99, holder: "other", expect: 0 }),
            reset: true,
        });
        await res.body.dump();
    }
});

Then("a caller's stream is eventually served with version {int}", async function(this: SiteWorld, version: number) {
    const fixture = getFixture(this);
    await waitUntil(
        "the instance learns the version from the engines",
        async () => (await call(fixture, 0)).status === 200,
    );
    assert.equal(fixture.engines.flatMap(engine => engine.runs).at(-1)?.["expect-version"], String(version));
});

When("the plain server reports that it is draining", function(this: SiteWorld) {
    const { store, plain } = getFixture(this);
    store.put("keyed.servers", plain.id, plain.entry("draining"));
});

Then("a plain call is refused as not run within a second", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    await waitUntil(
        "the plain server is out of service",
        async () => (await call(fixture, 0, plainCall)).status === 503,
    );
    assert.match(fixture.answer?.text ?? "", /"outcome":"notRun"/);
    assert.ok(Number(fixture.answer?.headers["retry-after"]) > 0);
});

When("the store becomes unavailable", function(this: SiteWorld) {
    getFixture(this).store.setDown(true);
});

When("a third instance starts", async function(this: SiteWorld) {
    await startInstance(this, getFixture(this));
});

Then("the third instance is ready", async function(this: SiteWorld) {
    const instance = getFixture(this).instances[2]!;
    await waitUntil("the third instance has loaded its peer's state", () => isReady(instance));
});

When(
    "a caller sends {int} requests at once on one connection, and closes it",
    async function(this: SiteWorld, count: number) {
        const [host, port] = getFixture(this).instances[0]!.settings.callerAddress.split(":");
        const head = [
            "POST /documents/1 HTTP/1.1",
            "Host: letters.example",
            "Authorization: Bearer key-clinic",
            "Content-Length: 6",
        ];
        const texts = Array.from(
            { length: count },
            (_, index) => [...head, `Attempt-Id: p-${index}`, "", "letter"].join("\r\n"),
        );
        await new Promise<void>(resolve => {
            const socket = connect(Number(port), host, () => socket.write(texts.join(""), () => socket.destroy()));
            socket.on("close", () => resolve());
        });
    },
);

Then("the first instance has no request in progress", async function(this: SiteWorld) {
    const { metricsAddress } = getFixture(this).instances[0]!.settings;
    const readActive = async () => {
        const res = await request(`http://${metricsAddress}/metrics`, { reset: true });
        return /^reedward_router_active_requests (\d+)/m.exec(await res.body.text())?.[1];
    };
    await waitUntil("requests that came last are counted out", async () => await readActive() === "0");
});

When("the first instance starts to drain", function(this: SiteWorld) {
    void getFixture(this).instances[0]!.router.drain();
});

Then("the second instance lists only itself", async function(this: SiteWorld) {
    const { instances } = getFixture(this);
    const own = instances[1]!.settings.callerAddress;
    await waitUntil("the draining instance is off the entry list", async () => {
        const entries = await listEntries(instances[1]!);
        return entries.length === 1 && entries[0] === own;
    });
});

Then("the first instance still serves and closes the connection", async function(this: SiteWorld) {
    const answer = await call(getFixture(this), 0);
    assert.equal(answer.status, 200);
    assert.equal(answer.headers["connection"], "close");
});

const leftPrefix = "left-";

When(
    "{int} callers send a plain call to the first instance and leave at once",
    async function(this: SiteWorld, callers: number) {
        const [host, port] = getFixture(this).instances[0]!.settings.callerAddress.split(":");
        const sockets = Array.from({ length: callers }, () => connect(Number(port), host));
        await Promise.all(sockets.map(socket => new Promise(resolve => socket.once("connect", resolve))));
        sockets.forEach((socket, index) => {
            socket.write(
                `POST /documents/1 HTTP/1.1\r\nhost: letters.example\r\nattempt-id: ${leftPrefix}${index}\r\n`
                    + "authorization: Bearer key-clinic\r\ntime-budget: 4000\r\ncontent-length: 6\r\n\r\nletter",
            );
            socket.destroy();
        });
    },
);

Then("no request of the callers that left is sent to an upstream", function(this: SiteWorld) {
    const sent = getFixture(this).logged.filter(({ event, fields }) =>
        event === "requestSent" && String(fields["requestId"]).startsWith(leftPrefix)
    );
    assert.deepEqual(sent, []);
});
