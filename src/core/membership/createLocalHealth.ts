/**
 * @module
 * How far this instance may trust its own probes.
 */

/** This instance's trust in its own probes. */
export interface LocalHealth {
    /** A probe was answered. */
    readonly noteSuccess: () => void;
    /** Neither the target nor any relay answered, or others suspected this instance. */
    readonly noteFailure: () => void;
    /** This process did not run for a while. */
    readonly notePause: () => void;
    /** Factor on time limits, at least 1. */
    readonly timeFactor: () => number;
    readonly isDoubtful: () => boolean;
}

const maxScore = 4;
const doubtfulScore = 2;
const timeFactorPerPoint = 0.5;

/**
 * Creates the measure. Failures lengthen the time limits and make the view doubtful; successes undo that.
 *
 * @returns The measure.
 * @example
 * createLocalHealth().timeFactor(); // 1
 */
export function createLocalHealth(): LocalHealth {
    let score = 0;
    return {
        noteSuccess: () => {
            score = Math.max(0, score - 1);
        },
        noteFailure: () => {
            score = Math.min(maxScore, score + 1);
        },
        notePause: () => {
            score = maxScore;
        },
        timeFactor: () => 1 + score * timeFactorPerPoint,
        isDoubtful: () => score >= doubtfulScore,
    };
}
