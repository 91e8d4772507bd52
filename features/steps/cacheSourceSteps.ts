/**
 * @module
 * Steps that compare the choices of cache sources.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createSourceChooser, type SourceCandidate } from "../../src/core/placement/createSourceChooser.js";

const failureDomains = ["north", "south", "west"];

const holdersArbitrary: fc.Arbitrary<readonly SourceCandidate[]> = fc.array(
    fc.record({
        failureDomain: fc.constantFrom(...failureDomains),
        heldTokens: fc.integer({ min: 1, max: 4 }).map(count => count * 100),
        requests: fc.integer({ min: 0, max: 3 }),
        isStore: fc.boolean(),
    }),
    { maxLength: 8 },
).map(holders => holders.map((holder, index) => ({ ...holder, id: `u-${index}`, address: `10.0.0.${index}:80` })));

/** Sorts all holders that are worth a fetch, by the rules written out: what the chooser has to find in one pass. */
function findSource(
    holders: readonly SourceCandidate[],
    engine: { readonly id: string; readonly failureDomain: string; },
    ownTokens: number,
): SourceCandidate | undefined {
    const rank = (holder: SourceCandidate) => [
        -holder.heldTokens,
        Number(holder.isStore),
        Number(holder.failureDomain !== engine.failureDomain),
        holder.requests,
    ];
    return holders.filter(({ id, heldTokens }) => id !== engine.id && heldTokens >= ownTokens + 64)
        .toSorted((left, right) => {
            const [leftRank, rightRank] = [rank(left), rank(right)];
            const index = leftRank.findIndex((value, position) => value !== rightRank[position]);
            return index === -1 ? 0 : leftRank[index]! - rightRank[index]!;
        })[0];
}

Then(
    "over {int} random sets of holders with seed {int} every engine has the same source",
    function(numRuns: number, seed: number) {
        const ownArbitrary = fc.integer({ min: 0, max: 4 }).map(count => count * 100);
        const property = fc.property(holdersArbitrary, ownArbitrary, (holders, ownTokens) => {
            const chooseSource = createSourceChooser(holders);
            const strangers = failureDomains.map(failureDomain => ({ id: `other-${failureDomain}`, failureDomain }));
            for (const engine of [...holders, ...strangers]) {
                assert.equal(
                    chooseSource(engine, ownTokens)?.address,
                    findSource(holders, engine, ownTokens)?.address,
                );
            }
        });
        fc.assert(property, { numRuns, seed });
    },
);
