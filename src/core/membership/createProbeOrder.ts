/**
 * @module
 * Order in which an instance probes the others.
 */
import { shuffle } from "./_lib/shuffle.js";
import type { Member } from "./memberTypes.js";

/** The order of probes. */
export interface ProbeOrder {
    /** Returns the next member to probe, or undefined when there is none. */
    readonly next: (members: readonly Member[]) => Member | undefined;
    /** Moves a member to the front. */
    readonly prefer: (instance: string) => void;
}

/**
 * Creates an order that visits every member once in random order before it visits one again.
 *
 * @param random - A number from 0 (included) to 1 (excluded).
 * @returns The order.
 * @example
 * createProbeOrder(random).next(members);
 */
export function createProbeOrder(random: () => number): ProbeOrder {
    let pending: string[] = [];

    function takePending(members: readonly Member[]): Member | undefined {
        while (pending.length > 0) {
            const instance = pending.shift()!;
            const member = members.find(one => one.instance === instance);
            if (member !== undefined) {
                return member;
            }
        }
        return undefined;
    }

    return {
        next: members => {
            const found = takePending(members);
            if (found !== undefined || members.length === 0) {
                return found;
            }
            pending = shuffle(members.map(member => member.instance), random).slice();
            return takePending(members);
        },
        prefer: instance => {
            pending.unshift(instance);
        },
    };
}
