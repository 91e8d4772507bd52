/**
 * @module
 * Queue of member updates to gossip, each transmitted a limited number of times.
 */
import type { Member } from "./memberTypes.js";

/** Member updates that are piggybacked on messages. */
export interface GossipQueue {
    /** Adds an update and drops an older one about the same member. */
    readonly add: (update: Member) => void;
    /** Returns the updates for one message, the least transmitted first, and counts the transmission. */
    readonly take: () => readonly Member[];
    /** Drops all updates, once all members are known to have them. */
    readonly clear: () => void;
}

interface QueuedUpdate {
    readonly update: Member;
    transmissions: number;
}

/** Maximum number of updates in one message. */
const maxUpdatesPerMessage = 8;

/** Transmissions of an update beyond the logarithm of the fleet size. */
const extraTransmissions = 4;

/**
 * Creates an empty queue.
 *
 * @param countMembers - Size of the fleet; an update is transmitted about log2 of it times.
 * @returns The queue.
 * @example
 * createGossipQueue(() => 8).take(); // []
 */
export function createGossipQueue(countMembers: () => number): GossipQueue {
    const queued = new Map<string, QueuedUpdate>();

    function take(): readonly Member[] {
        if (queued.size === 0) {
            return [];
        }
        const maxTransmissions = Math.ceil(Math.log2(countMembers() + 1)) + extraTransmissions;
        const chosen = [...queued.values()]
            .sort((left, right) => left.transmissions - right.transmissions)
            .slice(0, maxUpdatesPerMessage);
        for (const one of chosen) {
            one.transmissions += 1;
            if (one.transmissions >= maxTransmissions) {
                queued.delete(one.update.instance);
            }
        }
        return chosen.map(one => one.update);
    }

    return {
        add: update => queued.set(update.instance, { update, transmissions: 0 }),
        take,
        clear: () => queued.clear(),
    };
}
