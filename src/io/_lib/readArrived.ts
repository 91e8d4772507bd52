/**
 * @module
 * Reads what has arrived on the process's connections before a decision that depends on it.
 */

/** Turns of the event loop: the first accepts the connections that wait, the second reads from them. */
const readTurns = 2;

/**
 * Lets the event loop accept the connections that wait and read what has arrived on all of them. Timers run before connections
 * are read: without this, a process that did not run for a while would decide on what it knew before.
 *
 * @returns A promise that resolves when it is read.
 */
export async function readArrived(): Promise<void> {
    for (let turn = 0; turn < readTurns; turn += 1) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}
