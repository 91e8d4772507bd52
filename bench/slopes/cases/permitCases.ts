/**
 * @module
 * Costs of upstreams that state rate limits, where a third of them do.
 */
import { createVirtualClock } from "../../../fakes/createVirtualClock.js";
import { createUpstreamPermits } from "../../../src/core/permits/createUpstreamPermits.js";
import type { PermitMessage } from "../../../src/core/permits/permitMessage.js";
import { createSignalView, type SignalView } from "../../../src/core/signals/createSignalView.js";
import { measureBytes, measureCpuMicroseconds } from "../../_lib/measureCost.js";
import { type SlopeCase, twoYears } from "../slopeCase.js";

const limitedCounts = [10, 100, 1_233] as const;
const limitedUpstreams = Math.round(twoYears.upstreams / 3);

/** Upstreams that an instance of a large fleet asks for in a second at most; an owner answers as many on average. */
const asksPerSecond = 6;

/** Bytes of a datagram's own headers. */
const datagramBytes = 28;

const requestsPerSecond = 5;

function createLimitedView(count: number): SignalView {
    const view = createSignalView({ self: "entry-1", findStartMs: () => 1, onChange: () => undefined });
    for (let index = 0; index < count; index += 1) {
        const stated = [{ kind: "rateLimit", requestsPerSecond } as const];
        const times = { isRun: true, sentMs: 0, receivedMs: 1 };
        view.recordAnswer({
            upstream: { id: `i-${index}`, startedAtMs: 1 },
            signals: { stated, malformed: [] },
            ...times,
        });
    }
    return view;
}

function measureAsk(count: number): number {
    const clock = createVirtualClock(1);
    const view = createLimitedView(count);
    const permits = createUpstreamPermits({
        clock,
        self: "entry-1",
        listCandidates: () => ["entry-1"],
        viewTimeoutMs: () => 0,
        isFleetDirect: () => false,
        findRate: upstream => view.findRateLimit(upstream, clock.now()),
        isKnown: () => true,
        send: () => undefined,
        onGranted: () => undefined,
        onChange: () => undefined,
    });
    permits.update();
    clock.runUntil(10_000);
    let sequence = 0;
    return measureCpuMicroseconds(() => {
        sequence += 1;
        const items = [{ upstream: `i-${sequence % count}`, permits: 1 }];
        permits.receive(`entry-${sequence % 380}`, { permits: { kind: "ask", sequence, items } });
        clock.runUntil(clock.now() + 1);
    });
}

/** Bytes of an ask, of an answer without permits and of the grant after it. */
function measureExchange(): number {
    const upstream = "i-4c0fd58440";
    const grant = { upstream, permits: 0, waitMs: 1_250, askers: 7 };
    const messages: readonly PermitMessage[] = [
        { permits: { kind: "ask", sequence: 12_345, items: [{ upstream, permits: 1 }] } },
        { permits: { kind: "grant", sequence: 12_345, items: [grant] } },
        { permits: { kind: "grant", sequence: 12_345, items: [{ ...grant, permits: 1 }] } },
    ];
    return messages.reduce((sum, message) => sum + JSON.stringify(message).length + datagramBytes, 0);
}

const common = { role: "rate limits", sizeName: "limited upstream", sizes: limitedCounts, isControl: true } as const;

/** Costs of rate limits. */
export const permitCases: readonly SlopeCase[] = [
    {
        ...common,
        subject: "answering an ask for a permit",
        quantity: "cpuMicroseconds",
        measure: measureAsk,
        twoYearSize: limitedUpstreams,
        twoYearRate: asksPerSecond,
        mechanism: "one owner for each limited upstream",
    },
    {
        ...common,
        subject: "limits in memory",
        quantity: "memoryBytes",
        measure: count => measureBytes(() => createLimitedView(count)),
        twoYearSize: limitedUpstreams,
        twoYearRate: 1,
        mechanism: "one record for each upstream that states a limit",
    },
    {
        ...common,
        subject: "an ask with its answers",
        quantity: "wireBytes",
        measure: measureExchange,
        twoYearSize: limitedUpstreams,
        twoYearRate: asksPerSecond,
        mechanism: "a bounded number of asks a second",
    },
];
