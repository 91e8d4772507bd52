/**
 * @module
 * Chooses the entries that are returned to a caller.
 */
import type { FleetInstance } from "./heartbeat.js";

/** Maximum number of entries in an answer. */
const maxEntries = 64;

/**
 * Chooses entries for a caller: all that serve, those in the caller's failure domain first. Callers spread over them,
 * so that many callers in a failure domain with one instance do not load that instance alone.
 *
 * @param instances - Instances that serve.
 * @param failureDomain - The caller's failure domain, when it is known.
 * @returns Addresses for callers, those of the same failure domain first.
 * @example
 * chooseEntries(instances, "north");
 */
export function chooseEntries(
    instances: readonly FleetInstance[],
    failureDomain: string | undefined,
): readonly string[] {
    const distance = (instance: FleetInstance) => (instance.failureDomain === failureDomain ? 0 : 1);
    return instances.toSorted((left, right) => distance(left) - distance(right))
        .slice(0, maxEntries)
        .map(instance => instance.callerAddress);
}
