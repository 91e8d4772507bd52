/**
 * @module
 * Choice of the relays that probe an unresponsive member for this instance.
 */
import { shuffle } from "./_lib/shuffle.js";
import type { Member } from "./memberTypes.js";

/**
 * Chooses relays: one in the target's failure domain and the others from as many other failure domains as there are,
 * so that a network partition between two failure domains is not mistaken for a dead member.
 *
 * @param members - Candidates, without this instance.
 * @param target - The unresponsive member.
 * @param count - Maximum number of relays.
 * @param random - A number from 0 (included) to 1 (excluded).
 * @returns The relays.
 * @example
 * chooseRelays(members, target, 3, random);
 */
export function chooseRelays(
    members: readonly Member[],
    target: Member,
    count: number,
    random: () => number,
): readonly Member[] {
    const candidates = shuffle(
        members.filter(member => member.instance !== target.instance && member.state !== "suspect"),
        random,
    );
    const chosen = new Set<Member>();
    const domains = new Set<string>();
    const sameDomain = candidates.find(member => member.failureDomain === target.failureDomain);
    for (const member of sameDomain === undefined ? candidates : [sameDomain, ...candidates]) {
        if (chosen.size < count && !domains.has(member.failureDomain)) {
            chosen.add(member);
            domains.add(member.failureDomain);
        }
    }
    for (const member of candidates) {
        if (chosen.size < count) {
            chosen.add(member);
        }
    }
    return [...chosen];
}
