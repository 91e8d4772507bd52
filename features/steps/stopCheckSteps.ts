/**
 * @module
 * Steps that plant one event in the history of a series of stops and ask what the checker makes of it.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { checkStops } from "../../bench/faults/platform/checkStops.js";
import type { AttemptRecord, LifeRecord, RunRecord, StopHistory } from "../../bench/faults/platform/stopTypes.js";
import { defaultBounds } from "../../bench/support/platformSettings.js";
import type { SiteWorld } from "../support/siteWorld.js";

const histories = new WeakMap<SiteWorld, StopHistory>();

/** When the instance is told to stop. */
const termMs = 50_000;

/** Memory that a process may hold, in kilobytes. */
const memoryKb = 204_800;

const address = "127.0.0.2:23000";
const otherAddress = "127.0.0.3:23000";

const life: LifeRecord = {
    address,
    startedMs: 0,
    readyMs: 1_000,
    termMs,
    hangupsMs: [],
    endedMs: termMs + 7_900,
    end: "code 0",
    peakMemoryKb: undefined,
    longestPauseMs: 0,
};
const otherLife: LifeRecord = { ...life, address: otherAddress, termMs: undefined, endedMs: undefined, end: undefined };

/** A stream of 6 s that was sent 1 s after the order to stop and answered. */
const answered: AttemptRecord = {
    id: "c1.1.0",
    request: "c1.1",
    kind: "stream",
    canResume: false,
    address,
    isChunked: false,
    sentMs: termMs + 1_000,
    deadlineMs: termMs + 13_000,
    timeoutMs: termMs + 16_000,
    endMs: termMs + 7_000,
    earliestEndMs: termMs + 6_990,
    status: 200,
    isComplete: true,
    isTruncated: false,
    error: undefined,
};
const run: RunRecord = {
    attempt: answered.id,
    upstream: "adapt-1",
    version: 1,
    arrivedMs: termMs + 1_010,
    beganMs: termMs + 1_010,
    endMs: termMs + 7_000,
    isComplete: true,
    isBrokenOff: false,
    isEndless: false,
};
const cutRun: RunRecord = { ...run, isComplete: false };
const cut: AttemptRecord = { ...answered, isComplete: false, error: "ECONNRESET" };

function createHistory(attempt: AttemptRecord, runs: readonly RunRecord[]): StopHistory {
    const { kind, endMs, request: id } = attempt;
    const beganMs = attempt.sentMs ?? endMs;
    return {
        requests: [{ id, kind, workMs: 6_000, beganMs, endMs, attempts: [attempt] }],
        runs,
        lives: [life, otherLife],
        versions: [{ version: 1, namedMs: 0 }],
        refusedWhileReady: [],
        troubles: [],
    };
}

function cutAt(afterMs: number, change: Partial<AttemptRecord> = {}, runChange: Partial<RunRecord> = {}): StopHistory {
    const endMs = termMs + afterMs;
    return createHistory({ ...cut, endMs, earliestEndMs: endMs, ...change }, [{ ...cutRun, endMs, ...runChange }]);
}

function cutUnrun(afterSentMs: number, change: Partial<AttemptRecord> = {}): StopHistory {
    const sentMs = change.sentMs ?? cut.sentMs!;
    return createHistory({
        ...cut,
        status: 0,
        endMs: sentMs + afterSentMs,
        earliestEndMs: sentMs + afterSentMs,
        ...change,
    }, []);
}

/** A version is named 4 s after the start, and a stream that is sent 6 s later on the one before begins after the limit of 8 s. */
function createLateBegin(change: Partial<RunRecord>): StopHistory {
    const namedMs = 4_000;
    const arrivedMs = namedMs + 6_000;
    const late = { ...run, arrivedMs, beganMs: namedMs + defaultBounds.versionLimitMs + 1, endMs: namedMs + 12_000 };
    const attempt = { ...answered, sentMs: arrivedMs, endMs: namedMs + 12_000 };
    return {
        ...createHistory(attempt, [{ ...late, ...change }]),
        versions: [{ version: 1, namedMs: 0 }, { version: 2, namedMs }],
    };
}

const waitedAndRan: readonly RunRecord[] = [
    { ...run, beganMs: undefined, isComplete: false, endMs: termMs + 1_500 },
    { ...run, arrivedMs: termMs + 1_510, beganMs: termMs + 1_520 },
];

const plantedHistories: Readonly<Record<string, StopHistory>> = {
    "a stream sent early was cut before the last sixth of the grace period": cutAt(6_000),
    "a stream sent late was cut at the end of the grace period": cutAt(7_500, { sentMs: termMs + 3_100 }),
    "a stream sent early was cut at the end, its upstream had finished": cutAt(7_500, {}, {
        endMs: termMs + 7_000,
        isComplete: true,
    }),
    "a stream sent early was cut at the end, its upstream was left before": cutAt(7_500, {}, { endMs: termMs + 6_900 }),
    "a stream sent early was cut at the end and had never run": cutUnrun(6_500),
    "a stream was cut at an instance that was not told to stop": cutAt(7_500, { address: otherAddress }),
    "a stream was cut just before its deadline": cutAt(6_000, { deadlineMs: termMs + 6_050 }),
    "an earlier run was broken off and the last one cut": createHistory({
        ...cut,
        kind: "idempotent",
        endMs: termMs + 6_000,
    }, [
        { ...cutRun, endMs: termMs + 2_000, isBrokenOff: true },
        { ...cutRun, arrivedMs: termMs + 2_100, beganMs: termMs + 2_100, endMs: termMs + 6_000 },
    ]),
    "a run was cut after one that was broken off and is listed later": createHistory({
        ...cut,
        kind: "idempotent",
        endMs: termMs + 6_000,
    }, [
        { ...cutRun, arrivedMs: termMs + 2_100, beganMs: termMs + 2_100, endMs: termMs + 6_000 },
        { ...cutRun, endMs: termMs + 2_000, isBrokenOff: true },
    ]),
    "a request was reset unread 300 ms after its last byte": cutUnrun(300),
    "a stream looked complete without its last event": createHistory({ ...cut, isTruncated: true, error: undefined }, [
        run,
    ]),
    "a stream sent early was cut at the end while its upstream worked": cutAt(7_500),
    "a stream sent early was cut at the end, which its caller saw 80 ms late": cutAt(7_580, {
        earliestEndMs: termMs + 7_490,
    }, { endMs: termMs + 7_500 }),
    "a stream sent early was cut before the last sixth, which its caller saw within it": cutAt(6_800, {
        earliestEndMs: termMs + 6_590,
    }, { endMs: termMs + 6_600 }),
    "a stream was cut at its deadline": cutAt(6_000, { deadlineMs: termMs + 6_000 }),
    "a stream was cut at its route's timeout": cutAt(6_000, { timeoutMs: termMs + 6_000 }),
    "a stream was cut since its upstream broke off": cutAt(6_000, {}, { isBrokenOff: true }),
    "a stream whose upstream's answer never ends was cut": cutAt(6_000, {}, { isEndless: true }),
    "a request whose answer never ends was cut without a status": cutAt(6_000, { status: 0 }, { isEndless: true }),
    "a stream was cut that went on after an answer without end": createHistory({
        ...cut,
        canResume: true,
        endMs: termMs + 6_000,
        earliestEndMs: termMs + 6_000,
    }, [
        { ...cutRun, endMs: termMs + 2_000, isEndless: true },
        { ...cutRun, arrivedMs: termMs + 2_100, beganMs: termMs + 2_100, endMs: termMs + 6_000 },
    ]),
    "a request was reset unread 150 ms after its last byte": cutUnrun(150),
    "a request was reset unread, which its caller saw 400 ms late": cutUnrun(550, {
        earliestEndMs: cut.sentMs! + 150,
    }),
    "a request was refused at the door": cutUnrun(300, { error: "ECONNREFUSED" }),
    "a stream went on when its upstream before had broken off": createHistory({ ...answered, canResume: true }, [
        { ...cutRun, endMs: termMs + 2_000, isBrokenOff: true },
        { ...run, arrivedMs: termMs + 2_300, beganMs: termMs + 2_300 },
    ]),
    "a stream went on while the upstream before was at work": createHistory({ ...answered, canResume: true }, [
        { ...cutRun, endMs: termMs + 2_000 },
        { ...run, arrivedMs: termMs + 1_500, beganMs: termMs + 1_500 },
    ]),
    "a process held more memory than it may": {
        ...createHistory(answered, [run]),
        lives: [{ ...life, peakMemoryKb: memoryKb + 1 }],
    },
    "a stream arrived in time and began on old weights after the limit": createLateBegin({}),
    "a stream that waited on old weights was withdrawn before it began": createLateBegin({ beganMs: undefined }),
    "a stream that can go on waited at an upstream and ran at another": createHistory(
        { ...answered, canResume: true },
        waitedAndRan,
    ),
    "a stream that may run once waited at an upstream and ran at another": createHistory(answered, waitedAndRan),
    "a request was not sent completely": createHistory({ ...cut, sentMs: undefined, status: 0 }, []),
};

Given("a clean history of stops", function(this: SiteWorld) {
    histories.set(this, createHistory(answered, [run]));
});

When(/^in the history of stops (.+)$/, function(this: SiteWorld, event: string) {
    const history = plantedHistories[event];
    assert.ok(history !== undefined, `no history in which "${event}"`);
    histories.set(this, history);
});

function listViolations(world: SiteWorld): readonly string[] {
    return checkStops(histories.get(world)!, defaultBounds, memoryKb).violations;
}

Then("the stops break no promise", function(this: SiteWorld) {
    assert.deepEqual(listViolations(this), []);
});

Then("the stops break only the promise {string}", function(this: SiteWorld, promise: string) {
    assert.deepEqual(listViolations(this).map(violation => violation.split(" ")[0]), [promise]);
});

Then(
    "its trace names the attempt, its times and its run",
    function(this: SiteWorld) {
        const [trace] = listViolations(this);
        const parts = [
            "c1.1.0",
            "sent 1000",
            "cut 6000",
            "ended at 7900",
            "deadline 13000",
            "adapt-1 from 1010 to 6000",
        ];
        parts.forEach(part => assert.ok(trace?.includes(part), `"${part}" in ${trace}`));
    },
);
