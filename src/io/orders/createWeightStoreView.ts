/**
 * @module
 * A cached view of the weight store: answers are reused for 30 s, and failed reads back off.
 */
import type { ReadWeightVersions } from "../../core/ports/platformPort.js";
import type { Clock } from "../../core/time/clock.js";

/** Weights that the weight store held when it was last read. */
export interface WeightStoreView {
    /** Returns whether it holds "model@version"; false before the first answer. Refreshes in the background. */
    readonly has: (weights: string) => boolean;
}

const minIntervalMs = 1_000;
const answerTtlMs = 30_000;
const maxBackoffMs = 60_000;

interface Answer {
    readonly versions: readonly string[];
    readonly atMs: number;
}

/**
 * Creates the view.
 *
 * @param readVersions - Reads the versions of one model; undefined without a weight store setting; every version then
 * counts as held.
 * @param clock - The instance's clock.
 * @returns The view.
 */
export function createWeightStoreView(readVersions: ReadWeightVersions | undefined, clock: Clock): WeightStoreView {
    const answers = new Map<string, Answer>();
    let nextReadMs = 0;
    let backoffMs = minIntervalMs;

    async function refresh(read: ReadWeightVersions, model: string): Promise<void> {
        nextReadMs = clock.now() + backoffMs;
        const versions = await read(model);
        backoffMs = versions.isOk ? minIntervalMs : Math.min(maxBackoffMs, backoffMs * 2);
        nextReadMs = clock.now() + backoffMs;
        if (versions.isOk) {
            answers.set(model, { versions: versions.value, atMs: clock.now() });
        }
    }

    function has(weights: string): boolean {
        if (readVersions === undefined) {
            return true;
        }
        const [model = "", version = ""] = weights.split("@");
        const answer = answers.get(model);
        const isFresh = answer !== undefined && clock.now() - answer.atMs < answerTtlMs;
        if (!isFresh && clock.now() >= nextReadMs) {
            void refresh(readVersions, model);
        }
        return answer?.versions.includes(version) ?? false;
    }

    return { has };
}
