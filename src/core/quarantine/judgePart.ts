/**
 * @module
 * Decides from the evidence against a part, and from what all instances know of it, whether it ends engines.
 */
import type { Suspicion } from "./createPartEvidence.js";
import type { PartTestimony } from "./createPartHistory.js";

/** A verdict on a part.
 *
 * - `answered`: a prompt with it was answered since the first of the ends.
 * - `insufficient`: more evidence is needed.
 * - `contain`: one request with it at a time may show whether it ends engines.
 * - `hold`: requests with it are refused. */
export type PartVerdict = "answered" | "insufficient" | "contain" | "hold";

/** Fewest engines for a verdict when nearly all that ended had the part in a prompt, and that share of them. */
const minEngines = 2;
const highCoverage = 0.75;

/** The same when others end at the same time, under another part for instance. */
const minScatteredEngines = 3;
const lowCoverage = 0.2;

/** Fewest different requests and moments: one request that is repeated, or one common cause, is no evidence. */
const minRequests = 2;
const minMoments = 2;

/** Answers of the fleet from which a part that was never answered is a new one, not one from before a restart. */
const minAnswers = 100;

/** The same where the part was answered before, or where it is not known whether it was. */
const minKnownEngines = 5;
const minKnownRequests = 4;
const minKnownMoments = 4;

/** Logarithms of the odds against chance, for a containment and for a hold. */
const containScore = 6;
const holdScore = 12;

/**
 * Returns how improbable it is, as a logarithm, that all these engines ended with a request of the part by chance, while
 * other requests that were sent at the same time were answered.
 */
function scoreAgainstChance({ engines, otherRequests }: Suspicion, otherAnswers: number): number {
    const lost = otherRequests + engines.length;
    return engines.length * Math.log((otherAnswers + lost) / lost);
}

function combine(testimonies: readonly PartTestimony[]): PartTestimony {
    const answeredTimes = testimonies.flatMap(({ answeredMs }) => (answeredMs === undefined ? [] : [answeredMs]));
    return {
        answeredMs: answeredTimes.length === 0 ? undefined : Math.max(...answeredTimes),
        answers: testimonies.reduce((sum, one) => sum + one.answers, 0),
        otherAnswers: testimonies.reduce((sum, one) => sum + one.otherAnswers, 0),
    };
}

/**
 * Returns whether the ends alone are enough to ask the other instances for a verdict.
 *
 * @param suspicion - The evidence.
 * @returns Whether to ask.
 * @example
 * isWorthJudging(suspicion);
 */
export function isWorthJudging({ engines, requests, moments, coverage }: Suspicion): boolean {
    const hasEnoughEngines = (engines.length >= minEngines && coverage >= highCoverage)
        || (engines.length >= minScatteredEngines && coverage >= lowCoverage);
    return hasEnoughEngines && requests >= minRequests && moments >= minMoments;
}

/**
 * Judges a part.
 *
 * @param suspicion - The evidence against it.
 * @param testimonies - What the instances know of the part, with times on this instance's clock.
 * @returns The verdict.
 * @example
 * judgePart(suspicion, [history.describe(suspicion.part, suspicion.firstEndMs)]);
 */
export function judgePart(suspicion: Suspicion, testimonies: readonly PartTestimony[]): PartVerdict {
    if (!isWorthJudging(suspicion)) {
        return "insufficient";
    }
    const { answeredMs, answers, otherAnswers } = combine(testimonies);
    if (answeredMs !== undefined && answeredMs >= suspicion.firstEndMs) {
        return "answered";
    }
    const score = scoreAgainstChance(suspicion, otherAnswers);
    if (answeredMs === undefined && answers >= minAnswers) {
        return score >= holdScore ? "hold" : "contain";
    }
    const { engines, requests, moments, coverage } = suspicion;
    const isClear = engines.length >= minKnownEngines && requests >= minKnownRequests && moments >= minKnownMoments;
    const isProbable = answeredMs === undefined || (coverage >= highCoverage && score >= containScore);
    return isClear && isProbable ? "contain" : "insufficient";
}
