/**
 * @module
 * The instances that may own quotas.
 */
import type { FleetInstance } from "../fleet/heartbeat.js";

/** An instance, as far as it matters here. */
export type QuotaCandidate = Pick<FleetInstance, "name" | "state">;

/**
 * Lists the instances that may own quotas: those that serve; when none does, those that leave, since they still take requests.
 *
 * @param instances - The live instances.
 * @returns Their names.
 * @example
 * listQuotaCandidates([{ name: "entry-1", state: "leaving" }]); // ["entry-1"]
 */
export function listQuotaCandidates(instances: readonly QuotaCandidate[]): readonly string[] {
    const listIn = (state: QuotaCandidate["state"]) =>
        instances.filter(one => one.state === state).map(one => one.name);
    const serving = listIn("serving");
    return serving.length > 0 ? serving : listIn("leaving");
}
