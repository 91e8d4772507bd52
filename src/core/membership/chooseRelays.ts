/**
 * @module
 * Choice of the members that probe a silent member on this instance's behalf.
 */
import { shuffle } from "./_lib/shuffle.js";
import type { Member } from "./memberTypes.js";

/**
 * Chooses relays: one in the target's failure domain and the others from as many other failure domains as there are,
 * so that a broken link between two failure domains is not taken for a dead member.
 *
 * @param members - Candidates, without this instance.
 * @param target - The silent member.
 * @param count - Relays to choose at the most.
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
    const near = candidates.find(member => member.failureDomain === target.failureDomain);
    for (const member of near === undefined ? candidates : [near, ...candidates]) {
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
