/**
 * @module
 * The instances that serve the same customer as this one.
 */
import { rankEntries } from "../entries/rankEntries.js";
import type { MembershipView } from "../membership/memberTypes.js";

/** The lifetime of the entries is not used here, only their order. */
const noLifetimeMs = 0;

/**
 * Finds the instances that callers of a customer are directed to first: one in each failure domain, without this one.
 *
 * @param view - This instance's view of the fleet.
 * @param customer - Id of the customer.
 * @returns Names of the instances.
 * @example
 * findHintPeers(membership(), "town-hall");
 */
export function findHintPeers(view: MembershipView, customer: string): readonly string[] {
    const failureDomains = new Set(view.members.map(member => member.failureDomain));
    const firsts = [...failureDomains].map(failureDomain =>
        rankEntries(view, customer, { failureDomain, limit: 1, lifetimeMs: noLifetimeMs }).entries[0]?.instance
    );
    const others = firsts.filter(instance => instance !== undefined && instance !== view.self.instance);
    return [...new Set(others as readonly string[])];
}
