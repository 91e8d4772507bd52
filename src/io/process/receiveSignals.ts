/**
 * @module
 * The signals by which a process is told to stop or that its settings have changed. They are received before the rest of
 * the program is loaded, since a signal without a handler ends the process.
 */

/** What signals do once the program is loaded. */
export interface SignalActions {
    /** Stops the instance; called for the first order to stop alone. */
    readonly stop: () => void;
    /** Reads the settings again. */
    readonly reload: () => void;
}

/** The received signals. */
export interface ProcessSignals {
    /** Handles signals from now on, and a change of settings that was announced before. */
    readonly connect: (actions: SignalActions) => void;
}

/**
 * Begins to receive signals. An order to stop that comes before {@link ProcessSignals.connect} ends the process: it has
 * not begun to serve.
 *
 * @returns The received signals.
 * @example
 * const signals = receiveSignals();
 * const { startInstance } = await import("./startInstance.js");
 * startInstance(signals);
 */
export function receiveSignals(): ProcessSignals {
    let actions: SignalActions | undefined;
    let isStopping = false;
    let hasReload = false;

    process.on("SIGTERM", () => {
        if (actions === undefined) {
            process.exit(0);
        }
        if (!isStopping) {
            isStopping = true;
            actions.stop();
        }
    });
    process.on("SIGHUP", () => {
        hasReload = true;
        actions?.reload();
    });
    return {
        connect: connected => {
            actions = connected;
            if (hasReload) {
                connected.reload();
            }
        },
    };
}
