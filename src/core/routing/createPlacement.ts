/**
 * @module
 * Stateless placement of a key on upstreams: rendezvous in two stages, so that its cost rises slower than the fleet.
 */
import { hashText } from "../_lib/hashText.js";
import { mixBits } from "../_lib/mixBits.js";
import type { Upstream } from "../catalogue/catalogueEntry.js";

/** Placement on a fixed list of upstreams; equal lists place alike on every instance. */
export interface Placement {
    /** The upstream that choice number `choice` of a key falls on, leaving out those in `passedOver`. */
    readonly pick: (key: number, choice: number, excluded: ReadonlySet<string>) => Upstream | undefined;
}

interface Member {
    readonly upstream: Upstream;
    readonly hash: number;
}

/** Groups that upstreams are hashed into. */
const groupCount = 64;

/** Tries of a choice whose group has no member left. */
const maxTries = 8;

function toUnit(bits: number): number {
    return (bits + 0.5) / 0x1_0000_0000;
}

function pickGroup(groups: readonly (readonly Member[])[], key: number): readonly Member[] {
    let best = groups[0]!;
    let bestScore = -Infinity;
    for (let index = 0; index < groups.length; index += 1) {
        const size = groups[index]!.length;
        // Weighted rendezvous: a group is chosen in proportion to its members.
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
 * Creates the placement on a list of upstreams. Adding or removing an upstream moves about the share of keys that it
 * holds.
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
