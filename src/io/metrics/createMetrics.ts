/**
 * @module
 * Prometheus metrics of an instance.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Every metric of an instance. */
export interface Metrics {
    readonly registry: Registry;
    /** Requests that ended, by kind ("model" or "service") and result ("answered" or an error kind). */
    readonly requests: Counter<"kind" | "result">;
    /** Refusals by error kind and customer. */
    readonly refusals: Counter<"kind" | "customer">;
    /** Retries by reason. */
    readonly retries: Counter<"reason">;
    /** Retries that were not made, by reason. */
    readonly retryDenials: Counter<"reason">;
    /** Appends to the claims stream. */
    readonly claimAppends: Counter;
    /** Records in those appends. */
    readonly claimRecords: Counter;
    /** Detected pauses of the process. */
    readonly processPauses: Counter;
    /** Prompt tokens by whether the engine had them cached. */
    readonly promptTokens: Counter<"cached">;
    /** Discarded upstream answers, by reason. */
    readonly discardedAnswers: Counter<"reason">;
    /** Time from a request's arrival to its first byte, in seconds. */
    readonly timeToFirstByte: Histogram<"kind">;
    /** Requests in progress. */
    readonly inProgress: Gauge;
    /** Membership events: "accused", "changed", "refuted" or "paused". */
    readonly membershipEvents: Counter<"event">;
    /** Restarts by result: state was "taken" from a peer, or "none" when no peer of the first round could give it. */
    readonly restartExchanges: Counter<"result">;
    /** Records of the catalogue's stream by verdict. */
    readonly catalogueRecords: Counter<"verdict">;
    /** Orders sent to engines, by action and result of the call. */
    readonly orders: Counter<"action" | "result">;
    /** Offset after the last record that is folded into the catalogue. */
    readonly catalogueOffset: Gauge;
    /** Invalidations of all cache hints of an upstream, by reason. */
    readonly invalidatedHints: Counter<"reason">;
    /** Bytes of cache hints sent to peers. */
    readonly hintBytesSent: Counter;
}

/**
 * Creates the metrics in a new registry.
 *
 * @returns The metrics.
 */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const registers = [registry];
    const buckets = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 3, 10];
    return {
        registry,
        requests: new Counter({
            name: "reedward_requests_total",
            help: "Requests that ended.",
            labelNames: ["kind", "result"],
            registers,
        }),
        refusals: new Counter({
            name: "reedward_refusals_total",
            help: "Refused requests.",
            labelNames: ["kind", "customer"],
            registers,
        }),
        retries: new Counter({
            name: "reedward_retries_total",
            help: "Retries by reason.",
            labelNames: ["reason"],
            registers,
        }),
        retryDenials: new Counter({
            name: "reedward_retry_denials_total",
            help: "Retries that were not made, by reason.",
            labelNames: ["reason"],
            registers,
        }),
        claimAppends: new Counter({
            name: "reedward_claim_appends_total",
            help: "Appends to the claims stream.",
            registers,
        }),
        claimRecords: new Counter({
            name: "reedward_claim_records_total",
            help: "Records in appends to the claims stream.",
            registers,
        }),
        processPauses: new Counter({
            name: "reedward_process_pauses_total",
            help: "Detected pauses of the process.",
            registers,
        }),
        promptTokens: new Counter({
            name: "reedward_prompt_tokens_total",
            help: "Prompt tokens by cache result.",
            labelNames: ["cached"],
            registers,
        }),
        discardedAnswers: new Counter({
            name: "reedward_discarded_answers_total",
            help: "Upstream answers that were discarded.",
            labelNames: ["reason"],
            registers,
        }),
        invalidatedHints: new Counter({
            name: "reedward_voided_hints_total",
            help: "Invalidations of all cache hints of an upstream, by reason.",
            labelNames: ["reason"],
            registers,
        }),
        hintBytesSent: new Counter({
            name: "reedward_hint_bytes_sent_total",
            help: "Bytes of cache hints sent to peers.",
            registers,
        }),
        timeToFirstByte: new Histogram({
            name: "reedward_time_to_first_byte_seconds",
            help: "Time to the first byte of an answer.",
            labelNames: ["kind"],
            buckets,
            registers,
        }),
        inProgress: new Gauge({ name: "reedward_requests_in_progress", help: "Requests in progress.", registers }),
        membershipEvents: new Counter({
            name: "reedward_membership_events_total",
            help: "Membership events.",
            labelNames: ["event"],
            registers,
        }),
        restartExchanges: new Counter({
            name: "reedward_restart_exchanges_total",
            help: "Requests for a peer's state after a restart, by result.",
            labelNames: ["result"],
            registers,
        }),
        catalogueRecords: new Counter({
            name: "reedward_catalogue_records_total",
            help: "Records of the catalogue by verdict.",
            labelNames: ["verdict"],
            registers,
        }),
        orders: new Counter({
            name: "reedward_orders_total",
            help: "Orders sent to engines.",
            labelNames: ["action", "result"],
            registers,
        }),
        catalogueOffset: new Gauge({
            name: "reedward_catalogue_next_offset",
            help: "Offset after the last record folded into the catalogue.",
            registers,
        }),
    };
}
