/**
 * @module
 * Prometheus metrics of a router's instance. Labels take values from closed lists only, so that their number does not
 * grow with customers, models or upstreams.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { HeapUse } from "../../core/memory/createHeapWatch.js";

/** Sources of the gauges, read when metrics are collected. */
export interface RouterGauges {
    readonly waiting: () => number;
    /** Requests that wait for placement, by priority. */
    readonly waitingByPriority: () => ReadonlyMap<number, number>;
    /** Largest reserve for more urgent requests at one upstream in the latest decision, in requests. */
    readonly reservedRequests: () => number;
    readonly active: () => number;
    readonly liveInstances: () => number;
    readonly upstreams: () => number;
    readonly tableVersion: () => number;
    /** Era that the store last stated; 0 before the first. */
    readonly storeEra: () => number;
    /** Seconds since the list of upstreams was read, by this instance or by the peer that it was copied from. */
    readonly upstreamsAgeSeconds: () => number;
    /** Seconds since the operator's topic was read. */
    readonly operatorAgeSeconds: () => number;
    /** Whether the instance reads the store for itself and others, not only when copies are too old. */
    readonly isStoreReader: () => boolean;
    /** Prompt parts that are held back or contained. */
    readonly quarantinedParts: () => number;
    /** Upstreams that state a rate limit. */
    readonly limitedUpstreams: () => number;
    /** Median age of what upstreams have stated about their load, in seconds; infinite when they have stated nothing. */
    readonly loadViewAgeSeconds: () => number;
    /** Estimated use of the busiest upstream of a service as a factor of the service's mean. */
    readonly loadViewSpread: () => number;
    /** Pools of customers of whose quotas this instance grants a share. */
    readonly quotaPools: () => number;
    /** Requests that wait for their customers' quotas. */
    readonly quotaWaiting: () => number;
    readonly connectionsOpened: () => number;
    /** Memory that answers of upstreams hold, in bytes. */
    readonly heldAnswerBytes: () => number;
    /** Memory that bodies of requests hold, in bytes. */
    readonly heldBodyBytes: () => number;
    readonly heapUse: () => HeapUse;
    readonly logLinesDropped: () => ReadonlyMap<string, number>;
}

/** The metrics; gauges are collected on demand. */
export interface RouterMetrics {
    readonly registry: Registry;
    /**
     * Requests that were read and ended, by kind of request ("unknown" without a route), result ("answered", "cut", an error
     * kind, "callerGone" or "stopped") and whether the answer was written out.
     */
    readonly requests: Counter<"kind" | "result" | "written">;
    /** Connections of callers that were closed to make room for others, by what they held. */
    readonly evictedConnections: Counter<"reason">;
    /** Refusals by error kind; also those before a route was found. */
    readonly refusals: Counter<"kind">;
    /** Retries by reason. */
    readonly retries: Counter<"reason">;
    /** Retries that the retry budget did not allow. */
    readonly retryDenials: Counter<string>;
    /** Sends to upstreams by outcome. */
    readonly sends: Counter<"outcome">;
    /** Sends in a large fleet by the engine's place among the homes of the prompt: "home", "next" or "other". */
    readonly homePlacements: Counter<"place">;
    /** Shared prompt tokens of these sends that are neither known to be cached at the engine nor fetched from a known place. */
    readonly sharedPrefillTokens: Counter<"place">;
    /** Sends that were withdrawn since their runs had not begun before the limit of outdated weights. */
    readonly withdrawnSends: Counter<string>;
    /** Answers whose upstream states that requests wait there, by whether the instance expected it when it chose the upstream. */
    readonly metQueues: Counter<"expected">;
    /** Ends of upstreams' answers by framing, state of the connection, and whether the answer counts as complete. */
    readonly answerEnds: Counter<"framing" | "connection" | "complete">;
    /** Changes of upstreams by kind. */
    readonly upstreamChanges: Counter<"change">;
    /** Ends of upstreams' processes under requests of this instance. */
    readonly upstreamEnds: Counter<string>;
    /** Judgements and other changes of the quarantine of prompt parts. */
    readonly quarantineChanges: Counter<"change">;
    /** Changes of what upstreams state in their answers about the requests that they want, by signal. */
    readonly signalChanges: Counter<"signal" | "change">;
    /** Permits for requests to rate-limited upstreams that this instance has issued. */
    readonly permits: Counter<string>;
    /** Requests that were not placed at once although an upstream had room, which was left to more urgent ones. */
    readonly withheldPlacements: Counter<string>;
    /** Waiting requests that were placed before more urgent ones, since their priority had had too little. */
    readonly guaranteedTurns: Counter<string>;
    /** What requests were charged to quotas and gave back, in the quotas' units. */
    readonly quotaUse: Counter<"unit" | "use">;
    /** Requests that quotas refused: the quota was used up, or no instance could grant it. */
    readonly quotaRefusals: Counter<"cause">;
    /** Orders to engines by answer. */
    readonly orders: Counter<"answer">;
    /** Returns of the store from an older copy. */
    readonly storeReturns: Counter<string>;
    /** Calls to the store, by kind of call and topic. */
    readonly storeCalls: Counter<"call" | "topic">;
    /** Failed reads of the store's topics by cause. */
    readonly storeReadFailures: Counter<"cause">;
    /** Reads of a peer's state by result. */
    readonly peerCopies: Counter<"result">;
    /** Claims of the rollout lease by result. */
    readonly leaseClaims: Counter<"result">;
    /** Time until a request's answer was complete, by kind of request. */
    readonly requestSeconds: Histogram<"kind">;
    /** Time that requests waited for placement. */
    readonly placementSeconds: Histogram<string>;
    /** Time from a send to the head of its answer. */
    readonly headSeconds: Histogram<string>;
    /** Connects the gauges to their sources. */
    readonly connectGauges: (gauges: RouterGauges) => void;
}

/** Highest value of the label of urgency. */
const maxUrgencyLabel = 9;

/** Bucket bounds of latencies in seconds, from a fast call to the longest stream timeout. */
const latencyBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16];

/**
 * Creates the metrics in a new registry.
 *
 * @returns The metrics.
 */
export function createRouterMetrics(): RouterMetrics {
    const registry = new Registry();
    const registers = [registry];

    function counter<T extends string>(name: string, help: string, labelNames: readonly T[] = []): Counter<T> {
        return new Counter({ name: `reedward_router_${name}`, help, labelNames: [...labelNames], registers });
    }

    function histogram<T extends string>(name: string, help: string, labelNames: readonly T[] = []): Histogram<T> {
        const buckets = latencyBuckets;
        return new Histogram({
            name: `reedward_router_${name}`,
            help,
            labelNames: [...labelNames],
            buckets,
            registers,
        });
    }

    let gauges: RouterGauges | undefined;
    function gauge(name: string, help: string, read: (from: RouterGauges) => number): void {
        new Gauge({
            name: `reedward_router_${name}`,
            help,
            registers,
            collect() {
                const value = gauges === undefined ? 0 : read(gauges);
                this.set(Number.isFinite(value) ? value : -1);
            },
        });
    }
    gauge("waiting_requests", "Requests that wait for placement.", from => from.waiting());
    gauge(
        "urgent_reserve_requests",
        "Largest reserve for urgent requests at one upstream.",
        from => from.reservedRequests(),
    );
    new Gauge({
        name: "reedward_router_waiting_requests_by_urgency",
        help: "Requests that wait for placement, by urgency: 0 is the most urgent, 9 stands for all others.",
        labelNames: ["urgency"],
        registers,
        collect() {
            this.reset();
            const counts = new Map<string, number>();
            gauges?.waitingByPriority().forEach((count, priority) => {
                const urgency = `${Math.max(0, Math.min(maxUrgencyLabel, Math.round(priority)))}`;
                counts.set(urgency, (counts.get(urgency) ?? 0) + count);
            });
            counts.forEach((count, urgency) => this.set({ urgency }, count));
        },
    });
    gauge("active_requests", "Requests in progress.", from => from.active());
    gauge("live_instances", "Other instances with a recent heartbeat.", from => from.liveInstances());
    gauge("upstreams", "Upstreams in the list.", from => from.upstreams());
    gauge("configuration_version", "Version of the configuration in force.", from => from.tableVersion());
    gauge("store_era", "Era that the store last stated; 0 before the first.", from => from.storeEra());
    gauge(
        "upstreams_age_seconds",
        "Age of the list of upstreams; -1 before the first.",
        from => from.upstreamsAgeSeconds(),
    );
    gauge(
        "operator_age_seconds",
        "Age of the last read of the operator's topic; -1 before the first.",
        from => from.operatorAgeSeconds(),
    );
    gauge("store_reader", "1 when the instance reads the store all the time.", from => Number(from.isStoreReader()));
    gauge("quarantined_parts", "Prompt parts that are held back or contained.", from => from.quarantinedParts());
    gauge("quota_pools", "Pools of customers of whose quotas a share is granted here.", from => from.quotaPools());
    gauge("quota_waiting_requests", "Requests that wait for their customers' quotas.", from => from.quotaWaiting());
    gauge("limited_upstreams", "Upstreams that state a rate limit.", from => from.limitedUpstreams());
    gauge(
        "load_view_age_seconds",
        "Median age of the known statements about the load of upstreams; -1 before the first.",
        from => from.loadViewAgeSeconds(),
    );
    gauge(
        "load_view_spread",
        "Estimated use of the busiest upstream of a service as a factor of the mean.",
        from => from.loadViewSpread(),
    );
    gauge("connections_opened", "Connections opened to upstreams since the start.", from => from.connectionsOpened());
    gauge("held_answer_bytes", "Memory that answers of upstreams hold.", from => from.heldAnswerBytes());
    gauge("held_body_bytes", "Memory that bodies of requests hold.", from => from.heldBodyBytes());
    gauge("heap_used_bytes", "Use of the heap of objects.", from => from.heapUse().usedBytes);
    gauge("heap_limit_bytes", "Size of the heap at which the process ends.", from => from.heapUse().limitBytes);
    new Gauge({
        name: "reedward_router_log_lines_left_out",
        help: "Log lines dropped since the start, by event.",
        labelNames: ["event"],
        registers,
        collect() {
            gauges?.logLinesDropped().forEach((count, event) => this.set({ event }, count));
        },
    });

    return {
        registry,
        requests: counter("requests_total", "Requests that ended.", ["kind", "result", "written"]),
        evictedConnections: counter(
            "evicted_connections_total",
            "Connections of callers closed to make room, by what they held.",
            ["reason"],
        ),
        refusals: counter("refusals_total", "Refusals by error kind.", ["kind"]),
        retries: counter("repeats_total", "Retries by reason.", ["reason"]),
        retryDenials: counter("repeat_denials_total", "Retries that the retry budget did not allow."),
        sends: counter("sends_total", "Sends to upstreams.", ["outcome"]),
        homePlacements: counter("home_placements_total", "Sends by the engine's place among the prompt's homes.", [
            "place",
        ]),
        sharedPrefillTokens: counter(
            "shared_prefill_tokens_total",
            "Shared prompt tokens sent to engines that are not known to have them or fetch them.",
            ["place"],
        ),
        withdrawnSends: counter("withdrawn_sends_total", "Sends withdrawn from outdated weights before they began."),
        metQueues: counter("met_queues_total", "Answers of upstreams at which other requests wait.", ["expected"]),
        answerEnds: counter("answer_ends_total", "Ends of upstreams' answers.", ["framing", "connection", "complete"]),
        upstreamChanges: counter("upstream_changes_total", "Changes in the list of upstreams.", ["change"]),
        upstreamEnds: counter("upstream_ends_total", "Ends of upstreams' processes under requests."),
        quarantineChanges: counter("quarantine_changes_total", "Changes of the quarantine.", ["change"]),
        signalChanges: counter("signal_changes_total", "Changes of upstreams' signals.", ["signal", "change"]),
        permits: counter("permits_issued_total", "Permits issued for requests to rate-limited upstreams."),
        withheldPlacements: counter("withheld_placements_total", "Requests that left room to more urgent ones."),
        guaranteedTurns: counter("guaranteed_turns_total", "Requests placed before more urgent ones."),
        quotaUse: counter("quota_use_total", "What requests were charged to quotas and gave back.", ["unit", "use"]),
        quotaRefusals: counter("quota_refusals_total", "Requests that quotas refused.", ["cause"]),
        orders: counter("orders_total", "Orders to engines.", ["answer"]),
        peerCopies: counter("peer_copies_total", "Reads of a peer's state.", ["result"]),
        storeReturns: counter("store_returns_total", "Returns of the store from an older copy."),
        storeCalls: counter("store_calls_total", "Calls to the store.", ["call", "topic"]),
        storeReadFailures: counter("store_read_failures_total", "Failed reads of the store's topics.", ["cause"]),
        leaseClaims: counter("lease_claims_total", "Claims of the rollout lease.", ["result"]),
        requestSeconds: histogram("request_seconds", "Time until a request's answer was complete.", ["kind"]),
        placementSeconds: histogram("place_seconds", "Time that requests waited for placement."),
        headSeconds: histogram("head_seconds", "Time from a send to the head of its answer."),
        connectGauges: from => {
            gauges = from;
        },
    };
}
