/**
 * @module
 * Draws the parameters of a history from its seed.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { HarmfulPart, HistoryPlan, OtherTrouble, PartPosition } from "./quarantineTypes.js";

const positions: readonly PartPosition[] = ["first", "middle", "lastShared"];

const troubles: readonly OtherTrouble[] = [
    "singleEnds",
    "someEndAtOnce",
    "allEndAtOnce",
    "allEndRepeatedly",
    "rollingEnds",
    "lostAnswers",
    "resetConnections",
    "endsInBurstOfNewPart",
];

/** Shares of the requests with harmful parts, in percent; all parts of a history together. */
const sharePercents = [1, 2, 5, 10, 20, 35, 50];

const percent = 100;

/** Draws a plan; a history either has harmful parts or engines that end for other reasons. */
export function drawPlan(seed: number, hasHarmfulParts: boolean): HistoryPlan {
    const generator = xoroshiro128plus(seed);
    const draw = (from: number, to: number) => uniformInt(generator, from, to);
    const choose = <T>(list: readonly T[]): T => list[draw(0, list.length - 1)]!;
    const partCount = draw(1, 3);
    const share = choose(sharePercents) / percent / partCount;
    const harmfulParts: HarmfulPart[] = Array.from(
        { length: partCount },
        (_, index) => ({ id: `harmful-${index}`, position: choose(positions), share }),
    );
    return {
        seed,
        instances: choose([1, 2, 3, 7, 8, 14, 19]),
        engines: choose([4, 6, 13, 20]),
        slots: choose([12, 48]),
        requestsPerSecond: choose([30, 60, 100]),
        harmfulParts: hasHarmfulParts ? harmfulParts : [],
        trouble: hasHarmfulParts ? undefined : choose(troubles),
        keepsIds: draw(0, 1) === 1,
        messageLoss: choose([0, 0.01, 0.05]),
        restarts: choose([0, 0, 1, 2]),
        freezes: choose([0, 0, 1, 2]),
    };
}
