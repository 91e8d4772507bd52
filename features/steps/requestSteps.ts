/**
 * @module
 * Steps that follow a request through a site on loopback.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { startSite } from "../../demo/startSite.js";
import { startFakeService } from "../../fakes/startFakeService.js";
import type { Upstream } from "../../src/core/catalogue/catalogueEntry.js";
import { createUpstreamClient } from "../../src/io/upstream/createUpstreamClient.js";
import type { SiteWorld } from "../support/siteWorld.js";

const streams = new WeakMap<SiteWorld, readonly string[]>();
const polls = 500;
const pollMs = 20;
const shortLimits = ["--silence-timeout-ms", "300", "--connect-timeout-ms", "300"];

Given(
    "a site of {int} daemons and {int} engines with short time limits",
    async function(this: SiteWorld, daemons: number, engines: number) {
        this.site = await startSite({ daemons, engines, flags: shortLimits });
    },
);

Given(
    /^the next stream of every engine is (cut|silent) after (\d+) events$/,
    function(this: SiteWorld, kind: "cut" | "silent", afterEvents: string) {
        this.site!.engines.forEach(engine => engine.failNextStream({ kind, afterEvents: Number(afterEvents) }));
    },
);

Given("every engine rejects requests as not run", function(this: SiteWorld) {
    this.site!.engines.forEach(engine => engine.setRefusing(true));
});

function send(world: SiteWorld, daemon: number, tokens: number, key: string | undefined): Promise<Response> {
    const headers: Record<string, string> = { authorization: "Bearer clinic:secret-clinic" };
    if (key !== undefined) {
        headers["idempotency-key"] = key;
    }
    const address = world.site!.daemons[daemon - 1]!.callerAddress();
    const body = JSON.stringify({ model: "easy-read", prompt: "Rewrite it.", max_tokens: tokens, stream: true });
    return fetch(`http://${address}/v1/completions`, { method: "POST", headers, body });
}

async function readStream(res: Response, onFirst: () => Promise<void> | void): Promise<string> {
    const decoder = new TextDecoder();
    let text = "";
    let isFirst = true;
    for await (const chunk of res.body!) {
        text += decoder.decode(chunk, { stream: true });
        if (isFirst && text.includes("id: 4\n")) {
            isFirst = false;
            await onFirst();
        }
    }
    return text;
}

async function stream(
    world: SiteWorld,
    tokens: number,
    daemon: number,
    key: string,
    onFirst: () => Promise<void> | void = () => undefined,
): Promise<void> {
    const res = await send(world, daemon, tokens, key);
    const text = await readStream(res, onFirst);
    world.answer = { status: res.status, text, headers: res.headers };
    streams.set(world, [...streams.get(world) ?? [], text]);
}

When(
    "the caller streams {int} tokens from daemon {int} with key {string}",
    function(this: SiteWorld, tokens: number, daemon: number, key: string) {
        return stream(this, tokens, daemon, key);
    },
);

When(
    "the caller streams {int} tokens from daemon {int} with key {string} and the engine is closed after 5 events",
    async function(this: SiteWorld, tokens: number, daemon: number, key: string) {
        await stream(this, tokens, daemon, key, async () => {
            await this.site!.engines.find(engine => engine.runs.size > 0)!.close();
        });
    },
);

Then("the caller has received the complete stream of {int} tokens", function(this: SiteWorld, tokens: number) {
    const events = this.answer!.text.split("\n\n").filter(event => event !== "");
    assert.deepEqual(
        events.map(event => event.split("\n")[0]),
        Array.from({ length: tokens + 1 }, (_, index) => `id: ${index}`),
    );
    assert.ok(events.at(-1)!.endsWith("data: [DONE]"));
});

Then("{int} generations ran over all engines", function(this: SiteWorld, count: number) {
    const runs = this.site!.engines.flatMap(engine => [...engine.runs.values()]);
    assert.equal(runs.reduce((sum, one) => sum + one, 0), count);
});

Then("both streams are equal", function(this: SiteWorld) {
    const [first, second] = streams.get(this)!;
    assert.ok(first !== undefined && first.includes("[DONE]"));
    assert.equal(second, first);
});

Then(
    "the answer is refused as {string} with outcome {string} and a retry delay",
    function(this: SiteWorld, kind: string, outcome: string) {
        const { error } = JSON.parse(this.answer!.text) as { error: { code: string; outcome: string; }; };
        assert.deepEqual([error.code, error.outcome], [kind, outcome]);
        assert.ok(Number(this.answer!.headers!.get("retry-after-ms")) > 0);
    },
);

When("a caller without a key disconnects after the first event", async function(this: SiteWorld) {
    const res = await send(this, 1, 64, undefined);
    const reader = res.body!.getReader();
    await reader.read();
    await reader.cancel();
});

Then("the engine receives a cancel", async function(this: SiteWorld) {
    const engine = this.site!.engines[0]!;
    for (let poll = 0; poll < polls && engine.cancelled.size === 0; poll += 1) {
        await delay(pollMs);
    }
    assert.deepEqual([...engine.cancelled], [...engine.runs.keys()]);
});

Then("{int} calls to a service that never answers all reach it", async function(this: SiteWorld, count: number) {
    const service = await startFakeService();
    service.setFault("hang");
    const limits = { connectTimeoutMs: 5_000, silenceTimeoutMs: 5_000 };
    const client = createUpstreamClient({ ...limits, onMismatch: () => undefined });
    this.cleanups.push(async () => {
        await client.close();
        await service.close();
    });
    for (let index = 0; index < count; index += 1) {
        void client.open({
            upstream: { id: "booking-1", address: service.address } as Upstream,
            method: "POST",
            path: `/${index}`,
            headers: {},
            body: undefined,
            correlationId: "c",
            timeoutMs: 60_000,
            needsNewConnection: false,
            outlivesCaller: false,
        }, undefined);
    }
    for (let poll = 0; poll < polls && service.runs.size < count; poll += 1) {
        await delay(pollMs);
    }
    assert.equal(service.runs.size, count);
});
