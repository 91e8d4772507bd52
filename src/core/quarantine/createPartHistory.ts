/**
 * @module
 * Remembers which prompt parts this instance has seen answered without harm.
 */

/** What an instance can say of a part. Times are milliseconds on its clock. */
export interface PartTestimony {
    /** Time of the last answer to a prompt with the part; undefined when none is known. */
    readonly answeredMs: number | undefined;
    /** Answers of any prompts since the process started. */
    readonly answers: number;
    /** Answers to requests that were sent in the given time, and whose prompts do not have the part. */
    readonly otherAnswers: number;
}

/** Memory of answers. */
export interface PartHistory {
    /** Records an answer to a request that was sent at `sentMs`. */
    readonly record: (parts: readonly string[], sentMs: number, nowMs: number) => void;
    /** Describes what is known of a part; other answers are counted between `sinceMs` and `untilMs`. */
    readonly describe: (part: string, sinceMs: number, untilMs: number) => PartTestimony;
}

/** Parts that are remembered, the ones that were answered last. */
const maxParts = 8_192;

/** Recent answers that are remembered, for the comparison with other prompts. */
const maxAnswers = 4_096;

interface RecentAnswer {
    readonly sentMs: number;
    readonly parts: readonly string[];
}

/**
 * Creates an empty history.
 *
 * @returns The history.
 * @example
 * const history = createPartHistory();
 * history.record(["style"], clock.now() - 80, clock.now());
 * history.describe("style", 0, clock.now()).answers; // 1
 */
export function createPartHistory(): PartHistory {
    const answeredMs = new Map<string, number>();
    let recent: RecentAnswer[] = [];
    let answers = 0;

    return {
        record: (parts, sentMs, nowMs) => {
            answers += 1;
            recent.push({ sentMs, parts });
            if (recent.length >= 2 * maxAnswers) {
                recent = recent.slice(-maxAnswers);
            }
            for (const part of parts) {
                answeredMs.delete(part);
                answeredMs.set(part, nowMs);
            }
            for (const part of answeredMs.keys()) {
                if (answeredMs.size <= maxParts) {
                    break;
                }
                answeredMs.delete(part);
            }
        },
        describe: (part, sinceMs, untilMs) => ({
            answeredMs: answeredMs.get(part),
            answers,
            otherAnswers:
                recent.filter(({ sentMs, parts }) => sentMs >= sinceMs && sentMs <= untilMs && !parts.includes(part))
                    .length,
        }),
    };
}
