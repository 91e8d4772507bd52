/**
 * @module
 * Reads the weight store seldom: one answer serves for a while, and a refused read backs off.
 */
import type { ReadWeightVersions } from "../../core/ports/platformPort.js";
import type { Clock } from "../../core/time/clock.js";

/** What the weight store was last seen to hold. */
export interface WeightStoreView {
    /** Whether it holds "model@version"; false until it answered. Asks in the background. */
    readonly has: (weights: string) => boolean;
}

const minimumIntervalMs = 1_000;
const answerLifetimeMs = 30_000;
const mostBackoffMs = 60_000;

interface Answer {
    readonly versions: readonly string[];
    readonly atMs: number;
}

/**
 * Creates the view.
 *
 * @param readVersions - Reads the versions of one model; undefined when there is no weight store setting, and every version
 * then counts as held.
 * @param clock - The instance's clock.
 * @returns The view.
 */
export function readWeightStore(readVersions: ReadWeightVersions | undefined, clock: Clock): WeightStoreView {
    const answers = new Map<string, Answer>();
    let nextReadMs = 0;
    let backoffMs = minimumIntervalMs;

    async function ask(read: ReadWeightVersions, model: string): Promise<void> {
        nextReadMs = clock.now() + backoffMs;
        const versions = await read(model);
        backoffMs = versions.isOk ? minimumIntervalMs : Math.min(mostBackoffMs, backoffMs * 2);
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
        const isFresh = answer !== undefined && clock.now() - answer.atMs < answerLifetimeMs;
        if (!isFresh && clock.now() >= nextReadMs) {
            void ask(readVersions, model);
        }
        return answer?.versions.includes(version) ?? false;
    }

    return { has };
}
