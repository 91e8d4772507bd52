/**
 * @module
 * Steps that inject violations into the history of a fault run.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { checkHistory } from "../../bench/faults/checkHistory.js";
import type { CallerAttempt, CallerRequest, FaultHistory, UpstreamRun } from "../../bench/faults/historyTypes.js";
import type { SiteWorld } from "../support/siteWorld.js";

const histories = new WeakMap<SiteWorld, FaultHistory>();

const attempt: CallerAttempt = {
    daemon: 0,
    startMs: 1_000,
    endMs: 1_200,
    end: "whole",
    errorKind: undefined,
    outcome: undefined,
    text: "w1 w2 ",
    streamIds: ["s-1"],
    isListValid: true,
};
const modelRequest: CallerRequest = {
    nonce: "nonce-1-a",
    kind: "model",
    customer: "customer-1",
    key: "k1",
    attempts: [attempt],
};
const booking: CallerRequest = {
    nonce: "nonce-2-b",
    kind: "booking",
    customer: "customer-2",
    key: "k2",
    attempts: [{ ...attempt, text: "seat nonce-2-b", streamIds: [] }],
};
const refused: CallerRequest = {
    ...booking,
    nonce: "nonce-3-c",
    key: "k3",
    attempts: [{
        ...attempt,
        end: "refused",
        errorKind: "claimUnavailable",
        outcome: "notRun",
        text: "",
        streamIds: [],
    }],
};
const modelRun: UpstreamRun = {
    upstream: "engine-1",
    atMs: 1_100,
    wasRun: true,
    body: "Case nonce-1-a: rewrite it.",
    streamId: "s-1",
    cacheSalt: "customer-1/easy-read/v1/",
    weightsVersion: "v1",
    text: "w1 w2 ",
};
const bookingRun: UpstreamRun = {
    ...modelRun,
    upstream: "booking-1",
    body: "/confirmations {\"seat\":\"nonce-2-b\"}",
    streamId: "",
    cacheSalt: "",
    weightsVersion: "",
    text: "",
};

const cleanHistory: FaultHistory = {
    requests: [modelRequest, booking, refused],
    runs: [modelRun, bookingRun],
    outages: [{ daemon: 0, kind: "plannedStop", fromMs: 1_000, untilMs: 3_000, readyAfterMs: 40 }],
    leaving: [{ upstream: "engine-1", signal: "engine", fromMs: 0, untilMs: 9_000 }],
    changes: [{ changeId: "change-1", outcome: "accepted", acceptedMs: 500, revision: 7, inForceAfterMs: [10, 3_900] }],
    readings: [{ daemon: 0, life: 1, atMs: 600, revision: 7 }, { daemon: 0, life: 1, atMs: 800, revision: 8 }],
};

function withAttempt(req: CallerRequest, change: Partial<CallerAttempt>): CallerRequest {
    return { ...req, attempts: [{ ...attempt, ...req.attempts[0], ...change }] };
}

function withRequest(position: number, req: CallerRequest): FaultHistory {
    return { ...cleanHistory, requests: cleanHistory.requests.with(position, req) };
}

function withRuns(...runs: readonly UpstreamRun[]): FaultHistory {
    return { ...cleanHistory, runs: [...cleanHistory.runs, ...runs] };
}

const outage = cleanHistory.outages[0]!;
const change = cleanHistory.changes[0]!;

const violatingHistories: Readonly<Record<string, FaultHistory>> = {
    "a run used another customer's cache scope": withRuns({ ...modelRun, cacheSalt: "customer-2/easy-read/v1/" }),
    "a run used the cache scope of older weights": withRuns({ ...modelRun, cacheSalt: "customer-1/easy-read/v0/" }),
    "a stream ended silently": withRequest(0, withAttempt(modelRequest, { end: "silentEnd" })),
    "a stream lost an event": withRequest(0, withAttempt(modelRequest, { text: "w2 " })),
    "a retry got a different booking answer": withRequest(1, {
        ...booking,
        attempts: [...booking.attempts, { ...booking.attempts[0]!, text: "another seat nonce-2-b" }],
    }),
    "a restarted daemon never became ready": { ...cleanHistory, outages: [{ ...outage, readyAfterMs: undefined }] },
    "a caller got the answer to another request": withRequest(1, withAttempt(booking, { text: "seat nonce-9-z" })),
    "a request refused as not run was run": withRuns({ ...bookingRun, body: "{\"seat\":\"nonce-3-c\"}" }),
    "a booking ran twice": withRuns(bookingRun),
    "a leaving engine got work after 4 s": withRuns({ ...modelRun, atMs: 4_000 }),
    "a planned stop reset a request": withRequest(1, withAttempt(booking, { end: "reset" })),
    "a change was in force only after 5 s": { ...cleanHistory, changes: [{ ...change, inForceAfterMs: [10, 5_000] }] },
    "a change was never in force on one daemon": {
        ...cleanHistory,
        changes: [{ ...change, inForceAfterMs: [10, undefined] }],
    },
    "a daemon went back to an older revision": {
        ...cleanHistory,
        readings: [...cleanHistory.readings, { daemon: 0, life: 1, atMs: 900, revision: 7 }],
    },
};

Given("a clean history of a fault run", function(this: SiteWorld) {
    histories.set(this, cleanHistory);
});

When(/^the history is changed so that (.+)$/, function(this: SiteWorld, violation: string) {
    const history = violatingHistories[violation];
    assert.ok(history !== undefined, `no history named "${violation}"`);
    histories.set(this, history);
});

Then("no promise is violated", function(this: SiteWorld) {
    const verdicts = checkHistory(histories.get(this)!);
    assert.deepEqual(verdicts.flatMap(verdict => verdict.violations), []);
    assert.ok(verdicts.every(verdict => verdict.checked > 0));
});

Then(/^only the promise "(.+)" is violated$/, function(this: SiteWorld, promise: string) {
    const violated = checkHistory(histories.get(this)!).filter(verdict => verdict.violations.length > 0);
    assert.deepEqual(violated.map(verdict => verdict.guarantee), [promise]);
});
