/**
 * @module
 * The process's queue of sources that have had their share of a turn.
 */
import { createTurnQueue } from "../../core/time/createTurnQueue.js";

/** Calls an action in a later turn of the event loop, after sockets were read; one action is called in a turn. */
export const deferInTurn: (action: () => void) => void = createTurnQueue(action => setImmediate(action));
