/**
 * @module
 * Splits a route's traffic over its services.
 */
import type { ServiceShare } from "./routingTable.js";

/**
 * Chooses a service in proportion to the shares' weights.
 *
 * @param shares - The route's services.
 * @param draw - A number from 0 (included) to 1 (excluded).
 * @returns Name of the service; undefined when every weight is 0.
 * @example
 * chooseService([{ service: "adapt", weight: 90 }, { service: "adapt-next", weight: 10 }], 0.95); // "adapt-next"
 */
export function chooseService(shares: readonly ServiceShare[], draw: number): string | undefined {
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let left = draw * total;
    for (const share of shares) {
        if (left < share.weight) {
            return share.service;
        }
        left -= share.weight;
    }
    return undefined;
}
