/**
 * @module
 * Reads what has arrived on the process's connections before a decision that depends on it.
 */

/** Options of {@link readArrived}. */
export interface ReadArrivedOptions {
    /** Returns whether the decision can wait no longer. */
    readonly isDue?: (() => boolean) | undefined;
    /** Called after each turn in which no connection waited to be accepted. */
    readonly onNoneWaits?: (() => void) | undefined;
}

/** Turns of the event loop after the last new connection: in the first its bytes are read, in the second nothing is left. */
const quietTurns = 2;

/** Maximum number of turns, as many as connections may wait at a listener. */
const maxTurns = 512;

/**
 * Lets the event loop accept the connections that wait and read what has arrived on all of them. Timers run before connections
 * are read: without this, a process that did not run for a while would decide on what it knew before. Each turn accepts one
 * connection of a listener. Callers may connect again and again, so that reading ends early when the decision is due; what had
 * arrived on open connections is read even then.
 *
 * @param countAccepted - Returns the number of connections that were accepted so far; left out where new ones do not matter.
 * @param options - When to end early, and what to do between connections.
 * @returns A promise that resolves when it is read, to whether no connection is left that waits.
 */
export async function readArrived(
    countAccepted: () => number = () => 0,
    { isDue, onNoneWaits }: ReadArrivedOptions = {},
): Promise<boolean> {
    let accepted = countAccepted();
    let quiet = 0;
    for (let turn = 0; turn < maxTurns && quiet < quietTurns; turn += 1) {
        if (turn >= quietTurns && isDue?.() === true) {
            return false;
        }
        await new Promise<void>(resolve => setImmediate(resolve));
        quiet = countAccepted() === accepted ? quiet + 1 : 0;
        accepted = countAccepted();
        // The first turn may have begun before: it accepts no other connection then, although some may wait.
        if (quiet > 0 && turn > 0) {
            onNoneWaits?.();
        }
    }
    return quiet === quietTurns;
}
