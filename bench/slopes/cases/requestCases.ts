/**
 * @module
 * Costs of the request path.
 */
import { hashBlocks } from "../../../src/core/cache/hashBlocks.js";
import { blockCharacters } from "../../../src/core/constants.js";
import { rankEntries } from "../../../src/core/entries/rankEntries.js";
import type { Member, MembershipView } from "../../../src/core/membership/memberTypes.js";
import { createEventScanner } from "../../../src/core/stream/createEventScanner.js";
import { measureCpuMicroseconds } from "../../_lib/measureCost.js";
import { eventsPerDaemon, requestsPerDaemon, type SlopeCase, twoYears } from "../slopeCase.js";

const scope = { customer: "customer-1", model: "model-1", weightsVersion: "v1", adapter: undefined };

/** Blocks of a prompt of 4,096 tokens. */
const averagePromptBlocks = 64;

/** Events that one measured scan checks. */
const eventsPerScan = 1_000;

function createView(count: number): MembershipView {
    const members = Array.from({ length: count }, (_, index): Member => ({
        instance: `entry-${index}`,
        incarnation: 1,
        state: "alive",
        failureDomain: `domain-${index % 7}`,
        callerAddress: `10.0.${index >> 8}.${index & 255}:8080`,
        peerAddress: `10.0.${index >> 8}.${index & 255}:8081`,
    }));
    return { self: members[0]!, members, isDegraded: false };
}

function measureRanking(count: number): number {
    const view = createView(count);
    return measureCpuMicroseconds(() => {
        rankEntries(view, "customer-1", { failureDomain: "domain-3", limit: 4, lifetimeMs: 10_000 });
    });
}

function measureScan(events: number): number {
    const text = Array.from(
        { length: events },
        (_, index) => `id: ${index}\ndata: {"id":"s-1","choices":[{"index":0,"delta":{"content":"word "}}]}\n\n`,
    ).join("");
    const bytes = Buffer.from(text);
    return measureCpuMicroseconds(() => {
        createEventScanner().scan(bytes);
    });
}

/** Costs of the request path. */
export const requestCases: readonly SlopeCase[] = [
    {
        role: "entry",
        subject: "ranking an entry list",
        quantity: "cpuMicroseconds",
        sizeName: "member",
        sizes: [8, 40, 120, 380],
        measure: measureRanking,
        twoYearSize: twoYears.daemons,
        // Callers cache a list for 10 s, so one list is ranked for every ten requests.
        twoYearRate: requestsPerDaemon / 10,
        isControl: false,
        mechanism: "callers cache a list for its lifetime",
    },
    {
        role: "router",
        subject: "hashing a prompt",
        quantity: "cpuMicroseconds",
        sizeName: "block",
        sizes: [8, 64, 256],
        measure: blocks => {
            const prompt = "x".repeat(blocks * blockCharacters);
            return measureCpuMicroseconds(() => {
                hashBlocks(scope, prompt);
            });
        },
        twoYearSize: averagePromptBlocks,
        twoYearRate: requestsPerDaemon,
        isControl: false,
        mechanism: "one pass over the prompt for each request",
    },
    {
        role: "entry",
        subject: "checking order and end of stream events",
        quantity: "cpuMicroseconds",
        sizeName: "event",
        sizes: [10, 100, eventsPerScan],
        measure: measureScan,
        twoYearSize: eventsPerScan,
        twoYearRate: eventsPerDaemon / eventsPerScan,
        isControl: false,
        mechanism: "events that arrive together are checked in one pass, without parsing their payload",
    },
];
