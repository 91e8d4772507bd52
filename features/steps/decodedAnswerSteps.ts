/**
 * @module
 * Steps on what is decoded from answers that are short and hold much.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import * as z from "zod";
import { createStoreClient } from "../../platform/createStoreClient.js";
import { parseJson } from "../../src/core/_lib/parseJson.js";
import type { NewestResult, ReadResult, RecordStore } from "../../src/core/ports/recordStore.js";
import { createStoreEra } from "../../src/core/store/createStoreEra.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface DecodedFixture {
    readonly store: RecordStore;
    countPages: () => number;
    reads: readonly ReadResult<unknown>[];
    newest: NewestResult | undefined;
}

const fixtures = new WeakMap<SiteWorld, DecodedFixture>();
const parsed = new WeakMap<SiteWorld, { readonly values: unknown; readonly expected: number; }>();

function getFixture(world: SiteWorld): DecodedFixture {
    const fixture = fixtures.get(world);
    assert.ok(fixture !== undefined);
    return fixture;
}

When(
    /^an answer of 4 MB has (\d+) values of the form (\S+)$/,
    function(this: SiteWorld, count: string, form: string) {
        const values = Array.from({ length: Number(count) }, () => form).join(",");
        const answer = parseJson(z.object({ held: z.array(z.unknown()) }), `{"held":[${values}]}`);
        parsed.set(this, { values: answer?.held, expected: Number(count) });
    },
);

Then("it is none", function(this: SiteWorld) {
    assert.equal(parsed.get(this)!.values, undefined);
});

Then("it is taken whole", function(this: SiteWorld) {
    const { values, expected } = parsed.get(this)!;
    assert.ok(Array.isArray(values));
    assert.equal(values.length, expected);
});

async function startStore(world: SiteWorld, listener: RequestListener): Promise<DecodedFixture> {
    const server = createServer((req, res) => {
        res.setHeader("store-era", "1");
        listener(req, res);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const store = createStoreClient(address, createStoreEra().accept);
    world.cleanups.push(() => {
        store.close();
        server.closeAllConnections();
        server.close();
        return Promise.resolve();
    });
    const fixture: DecodedFixture = { store, countPages: () => 0, reads: [], newest: undefined };
    fixtures.set(world, fixture);
    return fixture;
}

Given("a store whose topic has {int} empty records", async function(this: SiteWorld, count: number) {
    await startStore(this, (req, res) => {
        const from = Number(new URL(req.url ?? "", "http://store").searchParams.get("from"));
        const answer = Buffer.alloc(16 + 4 * (count - from));
        answer.writeBigUInt64BE(BigInt(count), 0);
        res.end(answer);
    });
});

When("the topic is read twice", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    const first = await fixture.store.readPlain("topic", 0);
    assert.ok(first.kind === "records");
    fixture.reads = [first, await fixture.store.readPlain("topic", first.next)];
});

Then(
    "each read has taken {int} records, the second one after those of the first",
    function(this: SiteWorld, count: number) {
        const taken = getFixture(this).reads.map(read =>
            read.kind === "records" ? { count: read.records.length, next: read.next } : undefined
        );
        assert.deepEqual(taken, [{ count, next: count }, { count, next: 2 * count }]);
    },
);

Given(
    "a store whose topic has pages without end, with {int} keys of {int} bytes each",
    async function(this: SiteWorld, keys: number, bytes: number) {
        let pages = 0;
        const value = Buffer.alloc(bytes, "a").toString("base64");
        const fixture = await startStore(this, (req, res) => {
            req.resume();
            const first = pages * keys;
            pages += 1;
            const items = Array.from({ length: keys }, (_, index) => ({
                key: `key-${first + index}`,
                value,
                offset: first + index,
            }));
            res.end(JSON.stringify({ items, more: true, end: 9 }));
        });
        fixture.countPages = () => pages;
    },
);

When("all keys of the topic are read", async function(this: SiteWorld) {
    const fixture = getFixture(this);
    fixture.newest = await fixture.store.readNewest("topic");
});

Then("the read has failed after at most {int} pages", function(this: SiteWorld, pages: number) {
    const { newest, countPages } = getFixture(this);
    assert.equal(newest?.kind, "failed");
    assert.ok(countPages() <= pages, `${countPages()} pages`);
});
