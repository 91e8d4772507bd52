/**
 * @module
 * Local health of this instance: how reliable the results of its own probes are.
 */

/** Health score that this instance derives from its own probes. */
export interface LocalHealth {
    /** Records that a probe was answered. */
    readonly recordSuccess: () => void;
    /** Records that neither the target nor any relay answered a probe. */
    readonly recordFailure: () => void;
    /** Records that this process was paused. */
    readonly recordPause: () => void;
    /** Multiplier of timeouts, at least 1. */
    readonly timeFactor: () => number;
    readonly isDegraded: () => boolean;
}

const maxScore = 4;
const degradedScore = 2;
const timeFactorPerPoint = 0.5;

/**
 * Creates the health score. Failures lengthen the timeouts and mark the view as degraded; successes revert this.
 *
 * @returns The local health of this instance.
 * @example
 * createLocalHealth().timeFactor(); // 1
 */
export function createLocalHealth(): LocalHealth {
    let score = 0;
    return {
        recordSuccess: () => {
            score = Math.max(0, score - 1);
        },
        recordFailure: () => {
            score = Math.min(maxScore, score + 1);
        },
        recordPause: () => {
            score = maxScore;
        },
        timeFactor: () => 1 + score * timeFactorPerPoint,
        isDegraded: () => score >= degradedScore,
    };
}
