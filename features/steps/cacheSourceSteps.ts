/**
 * @module
 * Steps that compare the choices of cache sources.
 */
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { chooseCacheSource } from "../../src/core/placement/chooseCacheSource.js";
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

Then(
    "over {int} random sets of holders with seed {int} every engine has the same source",
    function(numRuns: number, seed: number) {
        const ownArbitrary = fc.integer({ min: 0, max: 4 }).map(count => count * 100);
        const property = fc.property(holdersArbitrary, ownArbitrary, (holders, ownTokens) => {
            const chooseSource = createSourceChooser(holders);
            const strangers = failureDomains.map(failureDomain => ({ id: `other-${failureDomain}`, failureDomain }));
            for (const engine of [...holders, ...strangers]) {
                const others = holders.filter(({ id }) => id !== engine.id)
                    .map(one => ({ ...one, isSameFailureDomain: one.failureDomain === engine.failureDomain }));
                const expected = chooseCacheSource(others, ownTokens)?.address;
                assert.equal(chooseSource(engine, ownTokens)?.address, expected);
            }
        });
        fc.assert(property, { numRuns, seed });
    },
);
