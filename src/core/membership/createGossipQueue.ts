/**
 * @module
 * News about members that still has to be told, each a bounded number of times.
 */
import type { Member } from "./memberTypes.js";

/** News that rides on messages. */
export interface GossipQueue {
    /** Adds news and drops older news about the same member. */
    readonly add: (update: Member) => void;
    /** Takes the news for one message, the least told first. */
    readonly take: () => readonly Member[];
    /** Drops all news, once it is known everywhere. */
    readonly clear: () => void;
}

interface QueuedUpdate {
    readonly update: Member;
    timesTold: number;
}

/** Updates that ride on one message. */
const maxUpdatesPerMessage = 8;

/** Times that news is told beyond the logarithm of the fleet's size. */
const extraTellings = 4;

/**
 * Creates an empty queue.
 *
 * @param countMembers - Size of the fleet; news is told about its logarithm times.
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
        const maxTellings = Math.ceil(Math.log2(countMembers() + 1)) + extraTellings;
        const chosen = [...queued.values()]
            .sort((left, right) => left.timesTold - right.timesTold)
            .slice(0, maxUpdatesPerMessage);
        for (const one of chosen) {
            one.timesTold += 1;
            if (one.timesTold >= maxTellings) {
                queued.delete(one.update.instance);
            }
        }
        return chosen.map(one => one.update);
    }

    return {
        add: update => queued.set(update.instance, { update, timesTold: 0 }),
        take,
        clear: () => queued.clear(),
    };
}
