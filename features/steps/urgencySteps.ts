/**
 * @module
 * Steps that play loads of urgent and patient requests and of several customers, and check what callers get.
 */
import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createFleetRetryBudget, type FleetRetryBudget } from "../../src/core/proxy/createFleetRetryBudget.js";
import { type PriorityRank, rankPriorities } from "../../src/core/routes/rankPriorities.js";
import type { SiteWorld } from "../support/siteWorld.js";
import {
    type CallerKind,
    type CallerResult,
    createUrgencyLoad,
    playUrgencyLoad,
    type UrgencyLoad,
} from "../support/urgencyLoad.js";

const loads = new WeakMap<SiteWorld, UrgencyLoad>();
const engineSlots = 8;

function listEngines(count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => `u-${index + 1}`);
}

function toCaller(row: Readonly<Record<string, string>>): CallerKind {
    const read = (name: string) => Number(row[name]);
    return {
        kind: row["kind"]!,
        customer: row["customer"]!,
        priority: read("priority"),
        rate: read("rate"),
        peak: read("peak"),
        tokens: read("tokens"),
        holdMs: read("hold"),
        aimMs: read("aim"),
        deadlineMs: read("deadline"),
    };
}

Given("{int} instance(s) before {int} engines", function(this: SiteWorld, instances: number, engines: number) {
    loads.set(this, createUrgencyLoad({ instances, engines: listEngines(engines) }));
});

Given(
    "{int} instances before {int} engines, of which the first sees no peers",
    function(this: SiteWorld, instances: number, engines: number) {
        loads.set(this, createUrgencyLoad({ instances, engines: listEngines(engines), alone: [0] }));
    },
);

Given(
    "{int} instances before {int} engines that do not tell each other what they place",
    function(this: SiteWorld, instances: number, engines: number) {
        loads.set(this, createUrgencyLoad({ instances, engines: listEngines(engines), hasReports: false }));
    },
);

Given("one of the engines begins to leave after {int} s", function(this: SiteWorld, seconds: number) {
    const { clock, fixtures } = loads.get(this)!;
    clock.after(seconds * 1_000, () => {
        for (const { registry, placer } of fixtures) {
            const records = registry.list().map(one => one.id === "u-1" ? { ...one, isDraining: true } : one);
            registry.applyList(records, clock.now());
            placer.dispatch();
        }
    });
});

When(
    "callers come for {int} s, with a peak from second {int} to {int}:",
    function(this: SiteWorld, seconds: number, from: number, until: number, table: DataTable) {
        const times = { untilMs: seconds * 1_000, peakFromMs: from * 1_000, peakUntilMs: until * 1_000 };
        playUrgencyLoad(loads.get(this)!, table.hashes().map(toCaller), times);
    },
);

function listOf(world: SiteWorld, isMeant: (caller: CallerKind) => boolean): readonly CallerResult[] {
    const results = loads.get(world)!.results.filter(({ caller }) => isMeant(caller));
    assert.ok(results.length > 0);
    return results;
}

function shareOf(results: readonly CallerResult[], isCounted: (result: CallerResult) => boolean): number {
    return 100 * results.filter(isCounted).length / results.length;
}

const isOnTime = ({ startedMs, caller }: CallerResult) => startedMs !== undefined && startedMs <= caller.aimMs;

Then(
    "at least {int} % of the {string} requests begin within their aim",
    function(this: SiteWorld, percent: number, kind: string) {
        const share = shareOf(listOf(this, caller => caller.kind === kind), isOnTime);
        assert.ok(share >= percent, `${share} %`);
    },
);

Then("at least {int} % of the {string} requests are served", function(this: SiteWorld, percent: number, kind: string) {
    const share = shareOf(listOf(this, caller => caller.kind === kind), ({ startedMs }) => startedMs !== undefined);
    assert.ok(share >= percent, `${share} %`);
});

Then(
    "at least {int} % of the requests of {string} begin within their aim",
    function(this: SiteWorld, percent: number, customer: string) {
        const share = shareOf(listOf(this, caller => caller.customer === customer), isOnTime);
        assert.ok(share >= percent, `${share} %`);
    },
);

Then(
    "at least {int} % of the requests of {string} are served",
    function(this: SiteWorld, percent: number, customer: string) {
        const results = listOf(this, caller => caller.customer === customer);
        const share = shareOf(results, ({ startedMs }) => startedMs !== undefined);
        assert.ok(share >= percent, `${share} %`);
    },
);

Then(
    "a larger part of the {string} requests than of the {string} ones begins within its aim",
    function(this: SiteWorld, urgent: string, patient: string) {
        const [urgentShare, patientShare] = [urgent, patient]
            .map(kind => shareOf(listOf(this, caller => caller.kind === kind), isOnTime));
        assert.ok(urgentShare! > patientShare!, `${urgentShare} % and ${patientShare} %`);
    },
);

Then("all of the {string} requests begin at once", function(this: SiteWorld, kind: string) {
    assert.equal(shareOf(listOf(this, caller => caller.kind === kind), ({ startedMs }) => startedMs === 0), 100);
});

Then(
    "from second {int} to {int} at least {int} % of the engines' capacity is used",
    function(this: SiteWorld, from: number, until: number, percent: number) {
        const { results, engines } = loads.get(this)!;
        const runs = results.filter(({ startedMs }) => startedMs !== undefined).map(one => {
            const beginMs = one.arrivedMs + one.startedMs!;
            const endMs = beginMs + one.caller.holdMs;
            return Math.max(0, Math.min(endMs, until * 1_000) - Math.max(beginMs, from * 1_000));
        });
        const used = runs.reduce((sum, ms) => sum + ms, 0);
        const share = 100 * used / ((until - from) * 1_000 * engineSlots * engines.size);
        assert.ok(share >= percent, `${share} %`);
    },
);

interface RetryFixture {
    readonly budget: FleetRetryBudget;
    acquired: number;
}

const budgets = new WeakMap<SiteWorld, RetryFixture>();

Given(
    "a retry budget of a fifth of the requests of which {int} are of priority {int} and {int} of priority {int}",
    function(this: SiteWorld, count: number, priority: number, otherCount: number, otherPriority: number) {
        const options = { ratio: 0.2, slack: 0, windowMs: 10_000, countInstances: () => 1 };
        const budget = createFleetRetryBudget(options);
        for (let index = 0; index < count + otherCount; index += 1) {
            budget.recordRequest("adapt", 0, index < count ? priority : otherPriority);
        }
        budgets.set(this, { budget, acquired: 0 });
    },
);

When("{int} requests of priority {int} ask for a retry", function(this: SiteWorld, count: number, priority: number) {
    const fixture = budgets.get(this)!;
    const asked = Array.from({ length: count }, () => fixture.budget.tryAcquire("adapt", 1, priority));
    fixture.acquired = asked.filter(isAcquired => isAcquired).length;
});

Then("{int} of them get one", function(this: SiteWorld, count: number) {
    assert.equal(budgets.get(this)!.acquired, count);
});

const ranks = new WeakMap<SiteWorld, PriorityRank>();

const toCustomer = (text: string) => ({ priority: text === "none" ? undefined : Number(text) });

Given(
    "routes of priorities {string} and customers of priorities {string}",
    function(this: SiteWorld, routes: string, customers: string) {
        const list = routes.split(", ").map(text => ({ priority: Number(text) }));
        ranks.set(this, rankPriorities(list, customers.split(", ").map(toCustomer)));
    },
);

/** Each request is written as the priorities of its customer and its route. */
Then("requests rank as {string}", function(this: SiteWorld, order: string) {
    const ranked = order.split(", ").map(text => {
        const [customer = "", route = ""] = text.split("/");
        return ranks.get(this)!({ priority: Number(route) }, toCustomer(customer));
    });
    for (const [index, rank] of ranked.entries()) {
        assert.ok(index === 0 || rank > ranked[index - 1]!, `${ranked.join(", ")}`);
    }
});
