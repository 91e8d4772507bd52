/**
 * @module
 * Weighted random choice among the services of a route.
 */
import type { ServiceShare } from "./routingTable.js";

/**
 * Chooses a service in proportion to the shares' weights.
 *
 * @param shares - The route's services.
 * @param sample - Random sample from 0 (included) to 1 (excluded).
 * @returns Name of the service; undefined when every weight is 0.
 * @example
 * chooseService([{ service: "adapt", weight: 90 }, { service: "adapt-next", weight: 10 }], 0.95); // "adapt-next"
 */
export function chooseService(shares: readonly ServiceShare[], sample: number): string | undefined {
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let remaining = sample * total;
    for (const share of shares) {
        if (remaining < share.weight) {
            return share.service;
        }
        remaining -= share.weight;
    }
    return undefined;
}
