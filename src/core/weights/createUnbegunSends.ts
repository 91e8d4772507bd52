/**
 * @module
 * Sends whose runs have not begun. An engine may keep a request waiting for any time, so a limit for the begin of runs on
 * outdated weights is kept only by withdrawing what has not begun when it is due. A due time may come closer after a send, when a
 * newer version is named. All sends share one timer.
 */
import type { CancelTimer, Clock } from "../time/clock.js";

/** Weights for which a request is sent. */
export interface SentWeights {
    readonly model: string;
    readonly version: number;
}

/** The sends that have not begun. */
export interface UnbegunSends {
    /** Whether a run on the weights may still begin. */
    readonly mayBegin: (weights: SentWeights) => boolean;
    /**
     * Tracks a send until the returned function is called; `withdraw` is called before that if its run has not begun in time.
     */
    readonly track: (weights: SentWeights, withdraw: () => void) => () => void;
    /** Reads the due times again, after a version was named or its time was corrected. */
    readonly recheck: () => void;
}

/** Dependencies of {@link createUnbegunSends}. */
export interface UnbegunSendsDependencies {
    readonly clock: Clock;
    /** Local time in milliseconds at which runs on the weights must have begun; undefined while these are the newest. */
    readonly findDueMs: (weights: SentWeights) => number | undefined;
    /** Reads what has arrived: a run may have begun of which the instance has not read yet. */
    readonly readArrived: () => Promise<unknown>;
}

/** Sends for the same weights. */
interface SendGroup {
    readonly weights: SentWeights;
    readonly withdrawals: Set<() => void>;
}

/**
 * Creates a tracker without sends.
 *
 * @param deps - The clock and the due times.
 * @returns The tracker.
 * @example
 * const endTracking = unbegun.track({ model: "adapt", version: 3 }, () => send.withdraw());
 */
export function createUnbegunSends(deps: UnbegunSendsDependencies): UnbegunSends {
    const { clock, findDueMs } = deps;
    const groups = new Map<string, SendGroup>();
    let timerMs = Infinity;
    let cancelTimer: CancelTimer = () => undefined;

    function schedule(dueMs: number): void {
        if (dueMs >= timerMs) {
            return;
        }
        cancelTimer();
        timerMs = dueMs;
        cancelTimer = clock.after(Math.max(0, dueMs - clock.now()), () => {
            void deps.readArrived().then(withdrawDue);
        });
    }

    function recheck(): void {
        for (const { weights } of groups.values()) {
            schedule(findDueMs(weights) ?? Infinity);
        }
    }

    const mayBegin = (weights: SentWeights) => clock.now() < (findDueMs(weights) ?? Infinity);

    function withdrawDue(): void {
        timerMs = Infinity;
        const due = [...groups].filter(([, { weights }]) => !mayBegin(weights));
        due.forEach(([key]) => groups.delete(key));
        try {
            for (const withdraw of due.flatMap(([, { withdrawals }]) => [...withdrawals])) {
                withdraw();
            }
        }
        finally {
            recheck();
        }
    }

    function openGroup(key: string, weights: SentWeights): SendGroup {
        const group = { weights, withdrawals: new Set<() => void>() };
        groups.set(key, group);
        schedule(findDueMs(weights) ?? Infinity);
        return group;
    }

    return {
        mayBegin,
        track: (weights, withdraw) => {
            const key = `${weights.version} ${weights.model}`;
            const group = groups.get(key) ?? openGroup(key, weights);
            const own = () => withdraw();
            group.withdrawals.add(own);
            return () => {
                group.withdrawals.delete(own);
                if (group.withdrawals.size === 0 && groups.get(key) === group) {
                    groups.delete(key);
                }
            };
        },
        recheck,
    };
}
