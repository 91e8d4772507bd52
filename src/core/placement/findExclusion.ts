/**
 * @module
 * Why an upstream takes no new request now.
 */
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { SignalView } from "../signals/createSignalView.js";
import type { WeightsView } from "../weights/createWeightsView.js";
import type { HealthView } from "./createHealthView.js";

/** Why an upstream is left out.
 *
 * - `draining`: it leaves.
 * - `tried`: the request was sent there before.
 * - `loading`: it loads weights.
 * - `replaced`: another process uses its address.
 * - `closed`: it has stated that it wants no request now. */
export type ExclusionReason = "draining" | "tried" | "loading" | "replaced" | "closed";

/** What is known of upstreams. */
export interface ExclusionViews {
    readonly health: Pick<HealthView, "isMisdirected">;
    readonly weights: Pick<WeightsView, "isLoading">;
    /** What upstreams have stated in their answers. */
    readonly signals: Pick<SignalView, "findClosure">;
}

/**
 * Finds out why an upstream takes no new request.
 *
 * @param record - The upstream.
 * @param tried - Ids of upstreams to which the request was sent before.
 * @param views - What is known of upstreams.
 * @param nowMs - Time on the instance's clock, in milliseconds.
 * @returns The reason; undefined when it takes requests.
 * @example
 * findExclusion({ ...record, isDraining: true }, [], views, clock.now()); // "draining"
 */
export function findExclusion(
    record: UpstreamRecord,
    tried: readonly string[],
    views: ExclusionViews,
    nowMs: number,
): ExclusionReason | undefined {
    if (record.isDraining) {
        return "draining";
    }
    if (tried.includes(record.id)) {
        return "tried";
    }
    if (views.weights.isLoading(record.id)) {
        return "loading";
    }
    if (views.health.isMisdirected(record.id)) {
        return "replaced";
    }
    return views.signals.findClosure(record.id, nowMs) === undefined ? undefined : "closed";
}
