/**
 * @module
 * Finds runs that began on weights that had been outdated for too long.
 */
import type { InstanceBounds } from "../../support/platformSettings.js";
import type { LifeRecord, StopHistory } from "./stopTypes.js";

/** Whether an instance has run undisturbed for the stable window. */
function isInTouch(
    address: string,
    atMs: number,
    lives: readonly LifeRecord[],
    { stableWindowMs }: InstanceBounds,
): boolean {
    const own = lives.filter(life => life.address === address && life.startedMs < atMs);
    return own.every(life =>
        life.startedMs < atMs - stableWindowMs && (life.termMs ?? Infinity) > atMs
        || (life.endedMs ?? Infinity) < atMs - stableWindowMs
    );
}

/**
 * Finds the runs that began on outdated weights after the limit. What has not begun breaks nothing.
 *
 * @param history - What was recorded.
 * @param bounds - The bounds of the instances.
 * @returns One violation a run.
 */
export function findOldVersions(history: StopHistory, bounds: InstanceBounds): readonly string[] {
    const attempts = new Map(
        history.requests.flatMap(request => request.attempts).map(attempt => [attempt.id, attempt]),
    );
    return history.runs.filter(run => run.version > 0).flatMap(run => {
        const { beganMs } = run;
        if (beganMs === undefined) {
            return [];
        }
        const due = history.versions.filter(one => beganMs > one.namedMs + bounds.versionLimitMs).at(-1);
        const address = attempts.get(run.attempt)?.address ?? "";
        return due !== undefined && run.version < due.version && isInTouch(address, beganMs, history.lives, bounds)
            ? [`VERSION ${run.attempt} began on ${run.version}, ${due.version} was named ${
                Math.round(beganMs - due.namedMs)
            } ms before; it arrived ${Math.round(run.arrivedMs - due.namedMs)} ms after, at ${run.upstream}`]
            : [];
    });
}
