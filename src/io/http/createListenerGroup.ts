/**
 * @module
 * The listeners of an instance. One whose address is still in use, for example by the process before it, is opened again
 * until it listens.
 */
import type { CancelTimer, Clock } from "../../core/time/clock.js";

/** One listener. */
export interface Listener {
    /** Begins to listen, and begins again after each failure. */
    readonly open: () => void;
    /** Records that it listens. */
    readonly recordOpened: () => void;
    /** Records that it could not listen. */
    readonly recordFailed: (err: Error) => void;
}

/** The listeners. */
export interface ListenerGroup {
    /**
     * Adds a listener, which counts as not listening.
     *
     * @param address - Its "ip:port", for the log.
     * @param begin - Begins to listen.
     */
    readonly add: (address: string, begin: () => void) => Listener;
    /** Whether every listener listens. */
    readonly areListening: () => boolean;
    /** Stops opening listeners again. */
    readonly stop: () => void;
}

/** Dependencies of {@link createListenerGroup}. */
export interface ListenerGroupOptions {
    readonly clock: Clock;
    /** Called when a listener could not listen for the first time. */
    readonly onFailed: (address: string, err: Error) => void;
    /** Called when the last listener begins to listen. */
    readonly onListening: () => void;
}

/** Interval at which a listener is opened again, in milliseconds. */
const retryIntervalMs = 100;

/**
 * Creates a group without listeners.
 *
 * @param options - The clock and the callbacks.
 * @returns The group.
 * @example
 * const listener = listeners.add("10.0.0.1:80", () => server.listen(80, "10.0.0.1"));
 * server.on("listening", listener.recordOpened);
 * server.on("error", listener.recordFailed);
 * listener.open();
 */
export function createListenerGroup(options: ListenerGroupOptions): ListenerGroup {
    /** Listeners that do not listen yet, with the cancellation of their next attempt. */
    const pending = new Map<Listener, CancelTimer>();
    let isStopped = false;

    function add(address: string, begin: () => void): Listener {
        let hasFailed = false;
        const listener: Listener = {
            open: begin,
            recordOpened: () => {
                if (pending.delete(listener) && pending.size === 0) {
                    options.onListening();
                }
            },
            recordFailed: err => {
                if (!pending.has(listener) || isStopped) {
                    return;
                }
                if (!hasFailed) {
                    hasFailed = true;
                    options.onFailed(address, err);
                }
                pending.set(listener, options.clock.after(retryIntervalMs, begin));
            },
        };
        pending.set(listener, () => undefined);
        return listener;
    }

    return {
        add,
        areListening: () => pending.size === 0,
        stop: () => {
            isStopped = true;
            pending.forEach(cancel => cancel());
        },
    };
}
