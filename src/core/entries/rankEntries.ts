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
    /** Changes whenever the list's content changes. */
    readonly version: string;
}

/** Options of {@link rankEntries}. */
export interface RankEntriesOptions {
    /** Failure domain of the caller; its entries come first. */
    readonly failureDomain?: string;
    /** Entries to return at the most. */
    readonly limit: number;
    readonly lifetimeMs: number;
}

function isOffered(member: Member, isDoubtful: boolean): boolean {
    return member.state === "alive" || (isDoubtful && member.state === "suspect");
}

/**
 * Ranks the entries for a customer: the caller's failure domain first, then by rendezvous on the customer, so that a
 * customer's requests meet at few entries. Leaving and suspect members are left off; a doubtful view offers suspects.
 *
 * @param view - This instance's view of the fleet.
 * @param customer - Id of the customer that asks.
 * @param options - Caller's failure domain, limit and lifetime.
 * @returns The list with its lifetime and version.
 * @example
 * rankEntries(view, "town-hall", { failureDomain: "bilbao-a", limit: 4, lifetimeMs: 10_000 });
 */
export function rankEntries(view: MembershipView, customer: string, options: RankEntriesOptions): EntryList {
    const key = hashText(customer);
    const offered = view.members.filter(member => isOffered(member, view.isDoubtful));
    const ranked = offered
        .map(member => ({
            member,
            isLocal: member.failureDomain === options.failureDomain,
            score: scoreRendezvous(key, member.instance),
        }))
        .sort((left, right) => {
            if (left.isLocal !== right.isLocal) {
                return left.isLocal ? -1 : 1;
            }
            return left.score > right.score ? -1 : 1;
        });
    const entries = ranked.slice(0, options.limit).map(({ member }) => ({
        address: member.callerAddress,
        instance: member.instance,
        failureDomain: member.failureDomain,
    }));
    const version = hashText(entries.map(entry => entry.instance).join(",")).toString(16);
    return { entries, lifetimeMs: options.lifetimeMs, version };
}
