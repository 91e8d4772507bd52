/**
 * @module
 * The instance's metrics, through prom-client.
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
    /** Pauses of the process that were noticed. */
    readonly processPauses: Counter;
    /** Prompt tokens by whether the engine had them cached. */
    readonly promptTokens: Counter<"cached">;
    /** Upstream answers that were discarded, by reason. */
    readonly discardedAnswers: Counter<"reason">;
    /** Time from a request's arrival to its first byte, in seconds. */
    readonly timeToFirstByte: Histogram<"kind">;
    /** Requests in progress. */
    readonly inProgress: Gauge;
    /** Events of membership: "accused", "changed", "refuted" or "paused". */
    readonly membershipEvents: Counter<"event">;
    /** Restart exchanges by result: "taken" from a peer, or "none" when the first round had no good answer. */
    readonly restartExchanges: Counter<"result">;
    /** Records of the catalogue's stream by what became of them. */
    readonly catalogueRecords: Counter<"verdict">;
    /** Orders sent to engines, by action and by how the call ended. */
    readonly orders: Counter<"action" | "result">;
    /** Offset up to which the catalogue is folded. */
    readonly catalogueOffset: Gauge;
    readonly invalidatedHints: Counter<"reason">;
    readonly hintBytesSent: Counter;
}

/**
 * Creates the metrics in a registry of their own.
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
            help: "Pauses of the process that were noticed.",
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
            help: "Times that all cache hints of an upstream were voided, by reason.",
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
            help: "Events of membership.",
            labelNames: ["event"],
            registers,
        }),
        restartExchanges: new Counter({
            name: "reedward_restart_exchanges_total",
            help: "Restart exchanges by result.",
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
            help: "Offset up to which the catalogue is folded.",
            registers,
        }),
    };
}
