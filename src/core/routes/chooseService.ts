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
    // Dividing by the largest first keeps the sum of any weights finite.
    const largest = Math.max(0, ...shares.map(share => share.weight));
    if (largest === 0) {
        return undefined;
    }
    const weights = shares.map(share => share.weight / largest);
    let remaining = sample * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, share] of shares.entries()) {
        if (remaining < weights[index]!) {
            return share.service;
        }
        remaining -= weights[index]!;
    }
    return undefined;
}
