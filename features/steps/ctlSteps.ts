/**
 * @module
 * Steps that run reedwardctl in the process of the tests.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { createSiteEntries, siteOperatorSecret, startSite } from "../../demo/startSite.js";
import type { CatalogueEntry } from "../../src/core/catalogue/catalogueEntry.js";
import { commands } from "../../src/ctl/commands/index.js";
import { exitCodes } from "../../src/ctl/exitCodes.js";
import { runCommand } from "../../src/ctl/runCommand.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { writeCatalogueFile } from "../support/writeCatalogueFile.js";

interface Run {
    readonly exitCode: number;
    readonly text: string;
}

interface CtlState {
    file: string;
    requestId: string;
    runs: readonly Run[];
}

const states = new WeakMap<SiteWorld, CtlState>();
const joinPolls = 500;
const joinPollMs = 20;

function find(world: SiteWorld): CtlState {
    const state = states.get(world) ?? { file: "", requestId: "", runs: [] };
    states.set(world, state);
    return state;
}

async function run(world: SiteWorld, words: string): Promise<Run> {
    const state = find(world);
    const args = words.split(" ").map(word =>
        word === "FILE" ? state.file : word === "REQUEST" ? state.requestId : word
    );
    const address = world.site?.daemons[0]!.peerAddress();
    const environment = { REEDWARD_OPERATOR_SECRET: siteOperatorSecret, REEDWARD_ADDRESS: address };
    let text = "";
    const write = (part: string) => {
        text += part;
    };
    const exitCode = await runCommand(args, environment, { writeOut: write, writeError: write });
    return { exitCode, text };
}

function listEntries(world: SiteWorld): readonly CatalogueEntry[] {
    const addresses = world.site?.engines.map(engine => engine.address) ?? ["127.0.0.1:1"];
    return createSiteEntries(addresses, world.site?.service.address ?? "127.0.0.1:2");
}

function changeModel(world: SiteWorld, minimumServingShare: number): string {
    const entries = listEntries(world).filter(entry => entry.kind === "model")
        .map(entry => ({ ...entry, minimumServingShare }));
    return JSON.stringify(entries);
}

const faultyFiles = new Map<string, (entries: readonly CatalogueEntry[]) => string>([
    ["broken JSON", () => "["],
    ["an entry without an owner", entries => JSON.stringify(entries.map(entry => ({ ...entry, owner: undefined })))],
    ["an upstream of a missing model", entries => JSON.stringify(entries.filter(entry => entry.kind !== "model"))],
    ["two upstreams of one address", entries =>
        JSON.stringify([
            ...entries,
            ...entries.filter(one => one.id === "engine-1").map(one => ({ ...one, id: "e2" })),
        ])],
    ["an entry that appears twice", entries => JSON.stringify([...entries, entries[0]])],
]);

Given("a catalogue file with {}", function(this: SiteWorld, fault: string) {
    find(this).file = writeCatalogueFile(this, faultyFiles.get(fault)!(listEntries(this)));
});

Given("a catalogue file that changes the model", function(this: SiteWorld) {
    find(this).file = writeCatalogueFile(this, changeModel(this, 0.25));
});

Given("a catalogue file that changes the model differently", function(this: SiteWorld) {
    find(this).file = writeCatalogueFile(this, changeModel(this, 0.75));
});

Given("a catalogue file that lacks the plain service and its upstream", function(this: SiteWorld) {
    const entries = listEntries(this).filter(entry => !entry.id.startsWith("booking"));
    find(this).file = writeCatalogueFile(this, JSON.stringify(entries));
});

Given("a catalogue file that lacks the plain service", function(this: SiteWorld) {
    find(this).file = writeCatalogueFile(
        this,
        JSON.stringify(listEntries(this).filter(entry => entry.id !== "booking")),
    );
});

Given("a fleet of {int} daemons that know each other", async function(this: SiteWorld, daemons: number) {
    this.site = await startSite({ daemons, engines: 2 });
    for (let poll = 0; poll < joinPolls; poll += 1) {
        const { text } = await run(this, "--json status");
        const fleet = JSON.parse(text) as {
            readonly behind?: readonly string[];
            readonly instances?: readonly unknown[];
        };
        if (fleet.instances?.length === daemons && fleet.behind?.length === 0) {
            return;
        }
        await delay(joinPollMs);
    }
    assert.fail("the daemons did not discover each other");
});

When("reedwardctl runs {string}", async function(this: SiteWorld, words: string) {
    find(this).runs = [await run(this, words)];
});

When("two operators apply different changes of the model at once", async function(this: SiteWorld) {
    const state = find(this);
    const files = [0.25, 0.75].map(share => writeCatalogueFile(this, changeModel(this, share)));
    state.runs = await Promise.all(files.map((file, index) => run(this, `--author operator-${index} apply ${file}`)));
});

When("the platform's log goes down", function(this: SiteWorld) {
    this.site!.log.setDown(true);
});

When("a caller requests a completion from daemon {int}", async function(this: SiteWorld, daemon: number) {
    const res = await fetch(`http://${this.site!.daemons[daemon - 1]!.callerAddress()}/v1/completions`, {
        method: "POST",
        headers: { authorization: "Bearer clinic:secret-clinic", "content-type": "application/json" },
        body: JSON.stringify({ model: "easy-read", prompt: "Rewrite it.", max_tokens: 3 }),
    });
    await res.arrayBuffer();
    assert.equal(res.status, 200);
    find(this).requestId = res.headers.get("x-request-id")!;
});

Then("it exits with {int} and prints {string}", function(this: SiteWorld, exitCode: number, pattern: string) {
    const [last] = find(this).runs;
    assert.equal(last?.exitCode, exitCode, last?.text);
    assert.match(last.text, new RegExp(pattern));
});

Then("it prints {string}", function(this: SiteWorld, pattern: string) {
    assert.match(find(this).runs[0]!.text, new RegExp(pattern));
});

Then("it exits with {int} and does not print {string}", function(this: SiteWorld, exitCode: number, pattern: string) {
    const [last] = find(this).runs;
    assert.equal(last?.exitCode, exitCode, last?.text);
    assert.doesNotMatch(last.text, new RegExp(pattern));
});

Then("one exits with 0 and the other with 3 and names the winner", function(this: SiteWorld) {
    const { runs } = find(this);
    assert.deepEqual(runs.map(one => one.exitCode).sort(), [0, 3], runs.map(one => one.text).join("\n"));
    const winner = runs.findIndex(one => one.exitCode === 0);
    assert.match(runs[1 - winner]!.text, new RegExp(`by change .* of operator-${winner}`));
});

Then("docs\\/operating\\/reedwardctl.md names every command and exit code", () => {
    const page = readFileSync("docs/operating/reedwardctl.md", "utf8");
    for (const [name, { operands }] of commands) {
        assert.ok(page.includes(`\`${`${name} ${operands}`.trim()}\``), name);
    }
    for (const code of new Set(Object.values(exitCodes))) {
        assert.match(page, new RegExp(`^\\| ${code} \\|`, "m"));
    }
});
