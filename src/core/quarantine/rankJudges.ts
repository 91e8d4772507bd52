/**
 * @module
 * Chooses the instances that collect the evidence against prompt parts, the same on all instances.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";

/** Number of instances that collect evidence, so that some may stop or be paused. */
const judgeCount = 5;

/**
 * Ranks instances for a subject; the first one is in charge.
 *
 * @param subject - What they are chosen for.
 * @param instances - Names of the live instances.
 * @returns The first ones by rank.
 * @example
 * rankJudges("ends", ["entry-1", "entry-2"])[0];
 */
export function rankJudges(subject: string, instances: readonly string[]): readonly string[] {
    const key = hashText(subject);
    return instances.map(name => ({ name, score: scoreRendezvous(key, name) }))
        .toSorted((left, right) => (left.score < right.score ? 1 : -1))
        .slice(0, judgeCount)
        .map(one => one.name);
}
