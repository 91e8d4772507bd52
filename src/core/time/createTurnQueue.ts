/**
 * @module
 * Lets the sources that have had their share of a turn go on one after another, so that the length of a turn does not grow with
 * their number.
 */

/**
 * Creates a queue without actions.
 *
 * @param defer - Calls an action in a later turn of the event loop, after sockets were read.
 * @returns Queues an action; one is called in a turn, in their order.
 * @example
 * const deferInTurn = createTurnQueue(setImmediate);
 * createTurnShare({ pause: gate.hold, defer: deferInTurn });
 */
export function createTurnQueue(defer: (action: () => void) => void): (action: () => void) => void {
    const waiting: (() => void)[] = [];

    function runNext(): void {
        const action = waiting.shift();
        if (waiting.length > 0) {
            defer(runNext);
        }
        action?.();
    }

    return action => {
        waiting.push(action);
        if (waiting.length === 1) {
            defer(runNext);
        }
    };
}
