/**
 * @module
 * Steps that judge answers of the store by their era.
 */
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    createStoreEra,
    type StatedEra,
    type StoreEra,
    type StoreEraEvent,
} from "../../src/core/store/createStoreEra.js";
import type { SiteWorld } from "../support/siteWorld.js";

interface EraFixture {
    readonly era: StoreEra;
    readonly judged: readonly string[];
    readonly events: readonly StoreEraEvent[];
}

const fixtures = new WeakMap<SiteWorld, EraFixture>();

function readStated(text: string): StatedEra {
    return text === "missing" || text === "malformed" ? text : Number(text);
}

Given("answers of the store that state the eras {string}", function(this: SiteWorld, list: string) {
    const era = createStoreEra();
    const events: StoreEraEvent[] = [];
    era.subscribe(event => events.push(event));
    const judged = list.split(", ").map(text => era.accept(readStated(text)).isOk ? "accepted" : "ignored");
    fixtures.set(this, { era, judged, events });
});

Then(/^they are ((?:accepted|ignored)(?:, (?:accepted|ignored))*)$/, function(this: SiteWorld, list: string) {
    assert.equal(fixtures.get(this)?.judged.join(", "), list);
});

Then("the era is {int}", function(this: SiteWorld, expected: number) {
    assert.equal(fixtures.get(this)?.era.current(), expected);
});

Then("the events are {string}", function(this: SiteWorld, kinds: string) {
    assert.equal(fixtures.get(this)?.events.map(event => event.kind).join(" "), kinds);
});
