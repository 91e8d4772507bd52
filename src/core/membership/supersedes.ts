/**
 * @module
 * Precedence of two updates about the same member.
 */
import type { Member, MemberState } from "./memberTypes.js";

const stateRank: Readonly<Record<MemberState, number>> = { alive: 0, leaving: 1, suspect: 2, dead: 3 };

/**
 * Checks whether an update replaces the known state: a higher incarnation does, and within one incarnation the worse
 * state. Only the member itself increments its incarnation.
 *
 * @param update - The update.
 * @param held - The known state of the same instance.
 * @returns True when the update replaces the known state.
 * @example
 * supersedes({ ...member, state: "suspect" }, member); // true
 */
export function supersedes(update: Member, held: Member): boolean {
    if (update.incarnation !== held.incarnation) {
        return update.incarnation > held.incarnation;
    }
    return stateRank[update.state] > stateRank[held.state];
}
