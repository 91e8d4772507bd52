/**
 * @module
 * Jump consistent hashing: spreads keys over a number of replicas and moves few keys when the number changes.
 */
import { mixBits } from "../../_lib/mixBits.js";

/**
 * Chooses a replica for a key.
 *
 * @param key - 32-bit key.
 * @param replicas - Number of replicas, at least 1.
 * @returns 0 to `replicas` - 1.
 * @example
 * chooseReplica(key, 1); // 0
 */
export function chooseReplica(key: number, replicas: number): number {
    let chosen = 0;
    let next = 0;
    let state = key;
    while (next < replicas) {
        chosen = next;
        state = mixBits(state, next + 1);
        next = Math.floor((chosen + 1) / ((state + 1) / 0x1_0000_0000));
    }
    return chosen;
}
