/**
 * @module
 * Chooses the entries that a caller is told.
 */
import type { FleetInstance } from "./heartbeat.js";

/** Most entries that are told. */
const maxEntries = 64;

/**
 * Chooses entries for a caller: all that serve, near ones first. Callers spread over them, so that a failure domain with one
 * instance and many callers does not load that instance alone.
 *
 * @param instances - Instances that serve.
 * @param failureDomain - The caller's failure domain, when it says so.
 * @returns Addresses for callers.
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
