/**
 * @module
 * Actions that wait for one event.
 */
import type { CancelTimer } from "../time/clock.js";

/** The actions. */
export interface ActionSet {
    /** Adds an action; returns its removal. */
    readonly add: (action: () => void) => CancelTimer;
    /** Removes all actions and calls them in the order in which they were added. */
    readonly run: () => void;
    readonly clear: () => void;
}

/**
 * Creates an empty set.
 *
 * @returns The set.
 * @example
 * const actions = createActionSet();
 * const remove = actions.add(() => send.stop());
 * actions.run(); // calls send.stop()
 */
export function createActionSet(): ActionSet {
    const actions = new Set<() => void>();
    return {
        add: action => {
            // The same function may be added twice.
            const entry = () => action();
            actions.add(entry);
            return () => actions.delete(entry);
        },
        run: () => {
            const waiting = [...actions];
            actions.clear();
            waiting.forEach(action => action());
        },
        clear: () => actions.clear(),
    };
}
