/**
 * @module
 * Ranks the entries, which are the instances' addresses for callers, in the order in which a caller should try them.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import type { Member, MembershipView } from "../membership/memberTypes.js";

/** Address of an instance to which a caller may connect. */
export interface Entry {
    readonly address: string;
    readonly instance: string;
    readonly failureDomain: string;
}

/** Answer to a caller that requests the list of entries. */
export interface EntryList {
    /** Entries in the order in which the caller should try them. */
    readonly entries: readonly Entry[];
    /** Time for which the caller may cache the list, in milliseconds. */
    readonly lifetimeMs: number;
    /** Changes whenever the set of entries for the customer changes. */
    readonly version: string;
}

/** Options of {@link rankEntries}. */
export interface RankEntriesOptions {
    /** Failure domain of the caller; its entries come first. */
    readonly failureDomain?: string;
    /** Maximum number of entries; a degraded view returns up to twice as many. */
    readonly limit: number;
    readonly lifetimeMs: number;
    /** Number of entries that the customer's traffic needs; `limit` when absent. */
    readonly subsetSize?: number;
    /** Rotation of the order within a failure domain, from 0 (included) to 1 (excluded); 0 when absent. */
    readonly spread?: number;
}

/** Lists the members for callers. Leaving members still accept requests and are listed when there is no other. */
function listEligible(view: MembershipView): readonly Member[] {
    const eligible = view.members.filter(member =>
        member.state === "alive" || (view.isDegraded && member.state === "suspect")
    );
    return eligible.length > 0 ? eligible : view.members.filter(member => member.state !== "dead");
}

function groupByDomain(members: readonly Member[]): ReadonlyMap<string, readonly Member[]> {
    const groups = new Map<string, Member[]>();
    for (const member of members) {
        groups.set(member.failureDomain, [...groups.get(member.failureDomain) ?? [], member]);
    }
    return groups;
}

/** Selects the customer's entries in each failure domain by rendezvous hashing: its requests use few entries. */
function selectSubset(
    members: readonly Member[],
    customer: string,
    size: number,
): ReadonlyMap<string, readonly Member[]> {
    const key = hashText(customer);
    const groups = groupByDomain(members);
    const perDomain = Math.ceil(size / Math.max(1, groups.size));
    const select = (group: readonly Member[]) =>
        [...group]
            .sort((left, right) => scoreRendezvous(key, left.instance) > scoreRendezvous(key, right.instance) ? -1 : 1)
            .slice(0, perDomain);
    return new Map([...groups].map(([domain, group]) => [domain, select(group)]));
}

function rotate(members: readonly Member[], spread: number): readonly Member[] {
    const start = Math.floor(spread * members.length);
    return [...members.slice(start), ...members.slice(0, start)];
}

function toEntry(member: Member): Entry {
    return { address: member.callerAddress, instance: member.instance, failureDomain: member.failureDomain };
}

/**
 * Ranks the entries for a customer: the caller's failure domain first, but never that one alone while others have
 * entries. The customer's requests go to a subset chosen by rendezvous hashing, over which its callers are spread.
 * Leaving and suspect members are omitted; a degraded view also offers suspect members and more entries.
 *
 * @param view - This instance's view of the fleet.
 * @param customer - Id of the customer.
 * @param options - The caller's failure domain, and the limit, lifetime, subset size and spread of the list.
 * @returns The list with its lifetime and version; empty only when every known member is dead.
 * @example
 * rankEntries(view, "town-hall", { failureDomain: "bilbao-a", limit: 4, lifetimeMs: 10_000 }).entries.length; // 4
 */
export function rankEntries(view: MembershipView, customer: string, options: RankEntriesOptions): EntryList {
    const limit = view.isDegraded ? 2 * options.limit : options.limit;
    const size = Math.max(limit, options.subsetSize ?? 0);
    const subset = selectSubset(listEligible(view), customer, size);
    const spread = options.spread ?? 0;
    const local = rotate(subset.get(options.failureDomain ?? "") ?? [], spread);
    const domains = [...subset].filter(([domain]) => domain !== options.failureDomain);
    const remote = rotate(domains.flatMap(([, members]) => members), spread);
    const reserved = remote.length > 0 && limit > 1 ? 1 : 0;
    const ranked = [...local.slice(0, limit - reserved), ...remote].slice(0, limit);
    const names = [...subset.values()].flat().map(member => member.instance).sort();
    return {
        entries: ranked.map(toEntry),
        lifetimeMs: options.lifetimeMs,
        version: hashText(names.join(",")).toString(16),
    };
}
