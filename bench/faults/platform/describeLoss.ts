/**
 * @module
 * The trace of a loss, on a line: who, when, and what its instance, its upstream and the other instances did around it.
 */
import type { Loss } from "./findLosses.js";
import type { LifeRecord, StopHistory } from "./stopTypes.js";

/** Time before a loss in which troubles are stated, in milliseconds. */
const troubleWindowMs = 8_000;

/** Order to stop that another instance got last before a loss. */
function findLastStop(loss: Loss, lives: readonly LifeRecord[]): LifeRecord | undefined {
    const { address, endMs } = loss.attempt;
    return lives
        .filter(life => life.address !== address && (life.termMs ?? Infinity) < endMs)
        .sort((one, other) => other.termMs! - one.termMs!)[0];
}

/**
 * Describes a loss.
 *
 * @param loss - The loss.
 * @param history - What was recorded in the run.
 * @returns One line. Times are milliseconds after the order to stop of its instance; without one, after the attempt was sent.
 */
export function describeLoss(loss: Loss, { lives, troubles }: Pick<StopHistory, "lives" | "troubles">): string {
    const { attempt, runs, life } = loss;
    const zeroMs = life?.termMs ?? attempt.sentMs ?? attempt.endMs;
    const since = (atMs: number | undefined) => atMs === undefined ? "?" : String(Math.round(atMs - zeroMs));
    const form = `${attempt.kind}${attempt.isChunked ? " in chunks" : ""}`;
    const ends = life === undefined
        ? "its instance was not told to stop"
        : `its instance was told to stop at 0 and ended at ${since(life.endedMs)}`;
    const reloads = lives
        .filter(one => one.address === attempt.address)
        .flatMap(one => one.hangupsMs)
        .map(since);
    const other = findLastStop(loss, lives);
    const described = runs.map(run =>
        `${run.upstream} from ${since(run.beganMs ?? run.arrivedMs)} to ${since(run.endMs)}${
            run.isEndless ? " endless" : run.isComplete ? " complete" : run.beganMs === undefined ? " not begun" : ""
        }`
    );
    const met = troubles
        .filter(trouble => trouble.beganMs < attempt.endMs && trouble.endMs > attempt.endMs - troubleWindowMs)
        .map(trouble =>
            `${trouble.kind} of ${trouble.engines} from ${since(trouble.beganMs)} to ${since(trouble.endMs)}`
        );
    return [
        `LOST ${attempt.id} ${form} at ${attempt.address}, ${loss.moment}: sent ${since(attempt.sentMs)}, cut ${
            since(attempt.endMs)
        } (${since(attempt.earliestEndMs)} at the earliest), status ${attempt.status} ${attempt.error ?? "no error"}`,
        ends,
        `deadline ${since(attempt.deadlineMs)}, timeout ${since(attempt.timeoutMs)}`,
        `runs: ${described.length === 0 ? "none" : described.join(", ")}`,
        `reloads: ${reloads.length === 0 ? "none" : reloads.join(", ")}`,
        `last order to another: ${other === undefined ? "none" : `${other.address} at ${since(other.termMs)}`}`,
        `troubles: ${met.length === 0 ? "none" : met.join(", ")}`,
    ].join("; ");
}
