/**
 * @module
 * The entry list that callers ask for.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import type { Member, MembershipView } from "../membership/memberTypes.js";

/** One entry that a caller may connect to. */
export interface Entry {
    readonly address: string;
    readonly instance: string;
    readonly failureDomain: string;
}

/** The answer to a caller that asks which entries to use. */
export interface EntryList {
    /** Entries in the order in which the caller should try them. */
    readonly entries: readonly Entry[];
    /** Milliseconds for which the caller may keep the list. */
    readonly lifetimeMs: number;
    /** Changes whenever the set of entries for the customer changes. */
    readonly version: string;
}

/** Options of {@link rankEntries}. */
export interface RankEntriesOptions {
    /** Failure domain of the caller; its entries come first. */
    readonly failureDomain?: string;
    /** Entries to return at the most; a doubtful view returns up to twice as many. */
    readonly limit: number;
    readonly lifetimeMs: number;
    /** Entries that the customer's traffic needs; `limit` when absent. */
    readonly subsetSize?: number;
    /** From 0 (included) to 1 (excluded): where the order within a failure domain begins; 0 when absent. */
    readonly spread?: number;
}

/** Members that callers may be sent to. Leaving ones still accept, and are better than none. */
function listOffered(view: MembershipView): readonly Member[] {
    const offered = view.members.filter(member =>
        member.state === "alive" || (view.isDoubtful && member.state === "suspect")
    );
    return offered.length > 0 ? offered : view.members.filter(member => member.state !== "dead");
}

function groupByDomain(members: readonly Member[]): ReadonlyMap<string, readonly Member[]> {
    const groups = new Map<string, Member[]>();
    for (const member of members) {
        groups.set(member.failureDomain, [...groups.get(member.failureDomain) ?? [], member]);
    }
    return groups;
}

/** The customer's entries in each failure domain, so that its requests meet at few entries. */
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
 * entries. The customer's requests meet at a subset by rendezvous, and its callers are spread over the subset.
 * Leaving and suspect members are left off; a doubtful view offers suspects and more entries.
 *
 * @param view - This instance's view of the fleet.
 * @param customer - Id of the customer that asks.
 * @param options - Caller's failure domain, limit, lifetime, subset and spread.
 * @returns The list with its lifetime and version; empty only when no member is known to run.
 * @example
 * rankEntries(view, "town-hall", { failureDomain: "bilbao-a", limit: 4, lifetimeMs: 10_000 });
 */
export function rankEntries(view: MembershipView, customer: string, options: RankEntriesOptions): EntryList {
    const limit = view.isDoubtful ? 2 * options.limit : options.limit;
    const size = Math.max(limit, options.subsetSize ?? 0);
    const subset = selectSubset(listOffered(view), customer, size);
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
