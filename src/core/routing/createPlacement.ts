/**
 * @module
 * Stateless placement of keys on upstreams: two-stage rendezvous hashing, whose cost grows slower than the fleet.
 */
import { hashText } from "../_lib/hashText.js";
import { mixBits } from "../_lib/mixBits.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";

/** Placement on a fixed list of upstreams; equal lists give equal placements on every instance. */
export interface Placement {
    /** Picks the upstream for replica number `choice` of a key, without those in `excluded`. */
    readonly pick: (key: number, choice: number, excluded: ReadonlySet<string>) => Upstream | undefined;
}

interface Member {
    readonly upstream: Upstream;
    readonly hash: number;
}

/** Number of groups that upstreams are hashed into. */
const groupCount = 64;

/** Maximum number of groups that are tried when all members of a group are excluded. */
const maxTries = 8;

function toUnit(bits: number): number {
    return (bits + 0.5) / 0x1_0000_0000;
}

function pickGroup(groups: readonly (readonly Member[])[], key: number): readonly Member[] {
    let best = groups[0]!;
    let bestScore = -Infinity;
    for (let index = 0; index < groups.length; index += 1) {
        const size = groups[index]!.length;
        // Weighted rendezvous: a group is chosen in proportion to its number of members.
        const score = size === 0 ? -Infinity : -size / Math.log(toUnit(mixBits(key, index)));
        if (score > bestScore) {
            bestScore = score;
            best = groups[index]!;
        }
    }
    return best;
}

function pickMember(members: readonly Member[], key: number, excluded: ReadonlySet<string>): Upstream | undefined {
    let best: Upstream | undefined;
    let bestScore = -1;
    for (const member of members) {
        const score = mixBits(key, member.hash);
        if (score > bestScore && !excluded.has(member.upstream.id)) {
            bestScore = score;
            best = member.upstream;
        }
    }
    return best;
}

/**
 * Creates the placement on a list of upstreams. Adding or removing an upstream moves about its own share of the keys.
 *
 * @param upstreams - The upstreams in service.
 * @returns The placement.
 * @example
 * const placement = createPlacement(upstreams);
 * placement.pick(key, 0, new Set())?.id;
 */
export function createPlacement(upstreams: readonly Upstream[]): Placement {
    const groups: Member[][] = Array.from({ length: groupCount }, () => []);
    for (const upstream of upstreams) {
        const hash = Number(hashText(upstream.id) & 0xffffffffn);
        groups[hash % groupCount]!.push({ upstream, hash });
    }

    function pick(key: number, choice: number, excluded: ReadonlySet<string>): Upstream | undefined {
        for (let attempt = 0; attempt < maxTries; attempt += 1) {
            const salted = mixBits(key, choice + attempt * 0x1_0000);
            const found = pickMember(pickGroup(groups, salted), mixBits(salted, 1), excluded);
            if (found !== undefined) {
                return found;
            }
        }
        return upstreams.find(one => !excluded.has(one.id));
    }
    return { pick };
}
