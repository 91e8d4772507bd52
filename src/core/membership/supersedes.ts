/**
 * @module
 * Which of two statements about a member is the newer one.
 */
import type { Member, MemberState } from "./memberTypes.js";

const stateRank: Readonly<Record<MemberState, number>> = { alive: 0, leaving: 1, suspect: 2, dead: 3 };

/**
 * Tells whether a statement replaces what is held: a higher incarnation does, and within one incarnation the worse
 * state. Only the member itself raises its incarnation.
 *
 * @param update - The statement.
 * @param held - What is held about the same instance.
 * @returns True when the statement replaces it.
 * @example
 * supersedes({ ...member, state: "suspect" }, member); // true
 */
export function supersedes(update: Member, held: Member): boolean {
    if (update.incarnation !== held.incarnation) {
        return update.incarnation > held.incarnation;
    }
    return stateRank[update.state] > stateRank[held.state];
}
