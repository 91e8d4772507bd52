/**
 * @module
 * Limits how many pieces of one source are handled in one turn of the event loop. One read may hold ten thousand pieces, and
 * nobody else is served while they are handled.
 */

/** The share of one source. */
export interface TurnShare {
    /** Records a piece that was handled; the source is paused until a later turn when it has had its share. */
    readonly record: () => void;
    /** Ends the share: the source is not resumed any more. */
    readonly close: () => void;
}

/** Dependencies of {@link createTurnShare}. */
export interface TurnShareOptions {
    /** Keeps the source from handing on pieces; returns the function that lets it go on. */
    readonly pause: () => () => void;
    /** Calls the action in a later turn, after other sources were read. */
    readonly defer: (action: () => void) => void;
    readonly maxPieces?: number;
}

/** Pieces of one source in a turn. */
const defaultMaxPieces = 256;

/**
 * Creates the share of a source that has handed on nothing yet.
 *
 * @param options - Pauses the source, and defers its next share.
 * @returns The share.
 * @example
 * const share = createTurnShare({ pause: gate.hold, defer: setImmediate });
 * source.on("data", () => share.record());
 */
export function createTurnShare(options: TurnShareOptions): TurnShare {
    const { pause, defer, maxPieces = defaultMaxPieces } = options;
    let pieces = 0;
    let isClosed = false;
    return {
        record: () => {
            pieces += 1;
            if (pieces !== maxPieces) {
                return;
            }
            const resume = pause();
            defer(() => {
                pieces = 0;
                if (!isClosed) {
                    resume();
                }
            });
        },
        close: () => {
            isClosed = true;
        },
    };
}
