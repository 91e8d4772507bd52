/**
 * @module
 * Ranks engines for a key by rendezvous hashing: every instance that knows the same engines gets the same order, and the
 * loss or return of an engine moves only the keys that it leads.
 */
import { hashText } from "../_lib/hashText.js";
import { mixBits } from "../_lib/mixBits.js";

/** Ranks engines. */
export interface EngineRanking {
    /** Lists the engines that come first for a key, in their order. */
    readonly list: (key: number, engines: readonly string[], count: number) => readonly string[];
}

/** Engines whose hashes are kept; beyond it, all are computed anew. */
const maxHashes = 16_384;

interface RankedEngine {
    readonly id: string;
    readonly score: number;
}

/** Inserts an engine into the best ones, the highest score first and among equal scores the lower id. */
function insertRanked(best: RankedEngine[], added: RankedEngine, count: number): void {
    let at = best.length;
    while (at > 0 && isBefore(added, best[at - 1]!)) {
        at -= 1;
    }
    best.splice(at, 0, added);
    best.length = Math.min(best.length, count);
}

function isBefore(left: RankedEngine, right: RankedEngine): boolean {
    return left.score === right.score ? left.id < right.id : left.score > right.score;
}

/**
 * Creates a ranking, which keeps the hashes of engines: a ranking costs a few nanoseconds an engine.
 *
 * @returns The ranking.
 * @example
 * createEngineRanking().list(7, ["engine-1", "engine-2"], 1); // ["engine-2"]
 */
export function createEngineRanking(): EngineRanking {
    const hashes = new Map<string, number>();

    function hashOf(id: string): number {
        const known = hashes.get(id);
        if (known !== undefined) {
            return known;
        }
        if (hashes.size >= maxHashes) {
            hashes.clear();
        }
        const hash = Number(hashText(id) & 0xffffffffn);
        hashes.set(id, hash);
        return hash;
    }

    return {
        list: (key, engines, count) => {
            if (count >= engines.length) {
                return engines.map(id => ({ id, score: mixBits(key, hashOf(id)) }))
                    .toSorted((left, right) => isBefore(left, right) ? -1 : 1)
                    .map(one => one.id);
            }
            const best: RankedEngine[] = [];
            for (const id of engines) {
                const score = mixBits(key, hashOf(id));
                if (best.length < count || score >= best.at(-1)!.score) {
                    insertRanked(best, { id, score }, count);
                }
            }
            return best.map(one => one.id);
        },
    };
}
