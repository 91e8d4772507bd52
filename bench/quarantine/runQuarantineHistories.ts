/**
 * @module
 * Plays and checks many histories of engines that end under requests.
 */
import { checkQuarantineHistory } from "./checkQuarantineHistory.js";
import { drawPlan } from "./drawPlan.js";
import { playHistory } from "./playHistory.js";

/** Options of {@link runQuarantineHistories}. */
export interface QuarantineRunOptions {
    readonly firstSeed: number;
    readonly histories: number;
    /** Whether parts of prompts end the engines, or other trouble. */
    readonly hasHarmfulParts: boolean;
}

/** Results of many histories. */
export interface QuarantineRunResult {
    /** Violations with the seeds of their histories. */
    readonly violations: readonly string[];
    /** Number of engines that ended under each harmful part. */
    readonly endsPerPart: readonly number[];
    readonly endedEngines: number;
    readonly heldParts: number;
}

/** Plays and checks histories with consecutive seeds. */
export function runQuarantineHistories(options: QuarantineRunOptions): QuarantineRunResult {
    const violations: string[] = [];
    const endsPerPart: number[] = [];
    let endedEngines = 0;
    let heldParts = 0;
    for (let index = 0; index < options.histories; index += 1) {
        const seed = options.firstSeed + index;
        const history = playHistory(drawPlan(seed, options.hasHarmfulParts));
        violations.push(...checkQuarantineHistory(history).map(text => `seed ${seed}: ${text}`));
        const { harmfulParts } = history.plan;
        endsPerPart.push(...harmfulParts.map(part => history.ends.filter(end => end.part === part.id).length));
        endedEngines += history.endedEngines;
        heldParts += new Set(history.changes.filter(one => one.isHeld).map(one => one.part)).size;
    }
    return { violations, endsPerPart, endedEngines, heldParts };
}
