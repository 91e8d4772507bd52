/**
 * @module
 * Which suspicions are to be judged now: those worth it that were not judged since their last end and are not put off.
 */
import type { Clock } from "../time/clock.js";
import type { Suspicion } from "./createPartEvidence.js";
import { isWorthJudging } from "./judgePart.js";

/** The suspicions to be judged. */
export interface DueSuspicions {
    /** Lists them; one that was judged is due again after another end only. */
    readonly list: () => readonly Suspicion[];
    /** Records that a suspicion was judged. */
    readonly recordJudged: (suspicion: Suspicion) => void;
    /** Puts off the judgement of a part about which too few instances have answered. */
    readonly postpone: (part: string) => void;
}

/** Dependencies of {@link createDueSuspicions}. */
export interface DueSuspicionsDependencies {
    readonly clock: Clock;
    readonly listSuspicions: (nowMs: number) => readonly Suspicion[];
    /** Called when a suspicion that was put off is due. */
    readonly onDue: () => void;
}

/** Parts whose last judgement is remembered. */
const maxJudgedParts = 1_024;

/** Time until an inquiry that too few instances have answered is repeated, in milliseconds. */
const postponementMs = 250;

/**
 * Creates the list of due suspicions; none is judged or put off yet.
 *
 * @param deps - The clock and the suspicions.
 * @returns The due suspicions.
 * @example
 * createDueSuspicions(deps).list();
 */
export function createDueSuspicions({ clock, listSuspicions, onDue }: DueSuspicionsDependencies): DueSuspicions {
    const postponedUntilMs = new Map<string, number>();
    /** Last end of an engine that was judged, by part. */
    const judgedEndMs = new Map<string, number>();

    return {
        list: () => {
            const nowMs = clock.now();
            return listSuspicions(nowMs).filter(one =>
                isWorthJudging(one) && nowMs >= (postponedUntilMs.get(one.part) ?? -Infinity)
                && one.lastEndMs > (judgedEndMs.get(one.part) ?? -Infinity)
            );
        },
        recordJudged: ({ part, lastEndMs }) => {
            judgedEndMs.delete(part);
            judgedEndMs.set(part, lastEndMs);
            const oldest = judgedEndMs.keys().next().value;
            if (judgedEndMs.size > maxJudgedParts && oldest !== undefined) {
                judgedEndMs.delete(oldest);
            }
        },
        postpone: part => {
            const nowMs = clock.now();
            postponedUntilMs.forEach((untilMs, one) => (untilMs < nowMs ? postponedUntilMs.delete(one) : undefined));
            postponedUntilMs.set(part, nowMs + postponementMs);
            clock.after(postponementMs, onDue);
        },
    };
}
