/**
 * @module
 * Ranking of the live instances for a subject by rendezvous hashing.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";
import type { Member } from "./memberTypes.js";

/**
 * Ranks the live members for a subject; all instances with the same view compute the same ranking.
 *
 * @param members - The members.
 * @param subject - Name of the subject.
 * @returns Names of instances, the highest-ranked first.
 * @example
 * rankMembers(fleet.view().members, "orders")[0];
 */
export function rankMembers(members: readonly Member[], subject: string): readonly string[] {
    const key = hashText(subject);
    return members.filter(member => member.state === "alive")
        .map(({ instance }) => ({ instance, score: scoreRendezvous(key, instance) }))
        .toSorted((left, right) => left.score > right.score ? -1 : 1)
        .map(({ instance }) => instance);
}
