/**
 * @module
 * Pauses a source for several reasons at once: it goes on when the last of them is gone.
 */

/** The gate of one source. */
export interface PauseGate {
    /** Pauses the source; returns the function that withdraws the reason, of which further calls have no effect. */
    readonly hold: () => () => void;
}

/** The source. */
export interface PausableSource {
    readonly pause: () => void;
    readonly resume: () => void;
}

/**
 * Creates the gate of a source that is not paused.
 *
 * @param source - The source.
 * @returns The gate.
 * @example
 * const release = createPauseGate(controller).hold();
 */
export function createPauseGate(source: PausableSource): PauseGate {
    let holds = 0;

    function release(): void {
        holds -= 1;
        if (holds === 0) {
            source.resume();
        }
    }

    return {
        hold: () => {
            holds += 1;
            if (holds === 1) {
                source.pause();
            }
            let isReleased = false;
            return () => {
                if (!isReleased) {
                    isReleased = true;
                    release();
                }
            };
        },
    };
}
