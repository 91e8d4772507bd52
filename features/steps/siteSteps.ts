/**
 * @module
 * Steps that start a site and call it.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import OpenAI from "openai";
import { startSite } from "../../demo/startSite.js";
import type { EntryList } from "../../src/core/entries/rankEntries.js";
import type { SiteWorld } from "../support/siteWorld.js";

const received = new WeakMap<SiteWorld, readonly string[]>();
const cachedTokens = new WeakMap<SiteWorld, readonly number[]>();
const entryPolls = 500;
const entryPollMs = 20;

function createClient(world: SiteWorld, daemon: number): OpenAI {
    const baseURL = `http://${world.site!.daemons[daemon - 1]!.callerAddress()}/v1`;
    return new OpenAI({ baseURL, apiKey: "clinic:secret-clinic", maxRetries: 0 });
}

const longPrompt = Array.from({ length: 100 }, (_, line) => `Rule ${line}: use short words and name the date.`).join(
    "\n",
);

Given("a site with {int} daemons and {int} engines", async function(this: SiteWorld, daemons: number, engines: number) {
    const flags = ["--max-body-bytes", "65536", "--body-timeout-ms", "300"];
    this.site = await startSite({ daemons, engines, flags });
});

When(
    "an OpenAI client streams {int} tokens from daemon {int}",
    async function(this: SiteWorld, count: number, daemon: number) {
        const { data, response } = await createClient(this, daemon).chat.completions.create({
            model: "easy-read",
            messages: [{ role: "system", content: longPrompt }, { role: "user", content: "Rewrite it." }],
            max_tokens: count,
            stream: true,
        }).withResponse();
        const texts: string[] = [];
        for await (const chunk of data) {
            texts.push(chunk.choices[0]?.delta.content ?? "");
        }
        received.set(this, texts);
        cachedTokens.set(this, [...cachedTokens.get(this) ?? [], Number(response.headers.get("x-cached-tokens"))]);
    },
);

When(
    "an OpenAI client asks daemon {int} for a completion of {int} tokens",
    async function(this: SiteWorld, daemon: number, count: number) {
        const answer = await createClient(this, daemon).completions.create({
            model: "easy-read",
            prompt: longPrompt,
            max_tokens: count,
        });
        received.set(this, answer.choices[0]!.text.trim().split(" "));
    },
);

Then("the client received {int} tokens in order and the end", function(this: SiteWorld, count: number) {
    // The client throws on an interrupted stream; other scenarios compare the texts of two streams of one seed.
    assert.equal(received.get(this)?.length, count);
});

Then("the client received {int} tokens", function(this: SiteWorld, count: number) {
    assert.equal(received.get(this)?.length, count);
});

Then(
    "one engine ran {int} requests and the second one found its prefix cached",
    function(this: SiteWorld, count: number) {
        const runs = this.site!.engines.map(engine => engine.runs.size);
        assert.deepEqual([...runs].sort(), [0, count]);
        assert.ok(cachedTokens.get(this)![1]! > 0);
    },
);

async function get(world: SiteWorld, path: string, daemon: number): Promise<void> {
    const address = world.site!.daemons[daemon - 1]!.callerAddress();
    const res = await fetch(`http://${address}${path}`, { headers: { authorization: "Bearer clinic:secret-clinic" } });
    world.answer = { status: res.status, text: await res.text(), headers: res.headers };
}

When("the caller gets {string} from daemon {int}", async function(this: SiteWorld, path: string, daemon: number) {
    await get(this, path, daemon);
});

When(
    "the caller gets {string} from daemon {int} until it lists {int} entries",
    async function(this: SiteWorld, path: string, daemon: number, count: number) {
        for (let poll = 0; poll < entryPolls; poll += 1) {
            await get(this, path, daemon);
            if ((JSON.parse(this.answer!.text) as EntryList).entries.length === count) {
                return;
            }
            await delay(entryPollMs);
        }
        assert.fail(`never ${count} entries: ${this.answer!.text}`);
    },
);

Then("the answer has status {int} and contains {string}", function(this: SiteWorld, status: number, part: string) {
    assert.equal(this.answer?.status, status, this.answer?.text);
    assert.ok(this.answer.text.includes(part), this.answer.text);
});
