/**
 * @module
 * Generates requests whose prompts have nested prefixes (house style, document type, case, tail), with Zipf-distributed
 * customers and document types.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { hashText } from "../../src/core/_lib/hashText.js";
import { scoreRendezvous } from "../../src/core/_lib/scoreRendezvous.js";
import { blockTokens } from "../../src/core/constants.js";
import type { RunPlan, SimRequest, SiteShape } from "./simTypes.js";

interface Level {
    readonly ids: readonly number[];
    readonly blocks: readonly bigint[];
}

interface DocumentType {
    readonly customer: string;
    readonly prefix: Level;
}

const noUpstreams: ReadonlySet<string> = new Set();

function createZipf(count: number, skew: number): readonly number[] {
    const weights = Array.from({ length: count }, (_, rank) => 1 / (rank + 1) ** skew);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let sum = 0;
    return weights.map(weight => (sum += weight / total));
}

function pickRank(cumulative: readonly number[], sample: number): number {
    const rank = cumulative.findIndex(sum => sample < sum);
    return rank === -1 ? cumulative.length - 1 : rank;
}

function join(left: Level, right: Level): Level {
    return { ids: [...left.ids, ...right.ids], blocks: [...left.blocks, ...right.blocks] };
}

/** Creates all requests of a run, sorted by arrival time. */
export function createWorkload(shape: SiteShape, plan: RunPlan): readonly SimRequest[] {
    const { random } = createVirtualClock(plan.seed);
    let nextId = 0;

    const sampleInteger = ([least, most]: readonly [number, number]) =>
        least + Math.floor(random() * (most - least + 1));

    function createLevel(length: number): Level {
        const ids = Array.from({ length }, () => nextId++);
        return { ids, blocks: ids.map(id => hashText(String(id), BigInt(plan.seed))) };
    }

    const customers = Array.from({ length: shape.customers }, (_, index) => `customer-${index + 1}`);
    const entries = customers.map(customer =>
        Array.from({ length: shape.daemons }, (_, daemon) => daemon)
            .sort((left, right) =>
                scoreRendezvous(hashText(customer), `d${left}`) > scoreRendezvous(hashText(customer), `d${right}`)
                    ? -1
                    : 1
            )
            .slice(0, shape.entriesPerCustomer)
    );
    const documentTypes: readonly (readonly DocumentType[])[] = customers.map(customer => {
        const house = createLevel(sampleInteger(shape.houseBlocks));
        return Array.from({ length: shape.typesPerCustomer }, () => ({
            customer,
            prefix: join(house, createLevel(sampleInteger(shape.typeBlocks))),
        }));
    });
    const customerRanks = createZipf(shape.customers, shape.customerSkew);
    const typeRanks = createZipf(shape.typesPerCustomer, shape.typeSkew);
    const arrivals: SimRequest[] = [];

    function pickType(atMs: number): { readonly customer: number; readonly type: DocumentType; } {
        const hasShifted = plan.fault === "hotShift" && atMs >= plan.faultMs;
        const customer = pickRank(customerRanks, random());
        const rank = pickRank(typeRanks, random());
        const types = documentTypes[hasShifted ? shape.customers - 1 - customer : customer]!;
        return {
            customer: hasShifted ? shape.customers - 1 - customer : customer,
            type: types[hasShifted ? types.length - 1 - rank : rank]!,
        };
    }

    function addCase(startMs: number): void {
        const { customer, type } = pickType(startMs);
        const casePrefix = join(type.prefix, createLevel(sampleInteger(shape.caseBlocks)));
        let atMs = startMs;
        for (let left = sampleInteger(shape.requestsPerCase); left > 0 && atMs < plan.endMs; left -= 1) {
            const { ids, blocks } = join(casePrefix, createLevel(sampleInteger(shape.tailBlocks)));
            const daemons = entries[customer]!;
            arrivals.push({
                atMs,
                daemon: daemons[Math.floor(random() * daemons.length)]!,
                entries: daemons,
                req: {
                    scope: { customer: type.customer, model: "model", weightsVersion: "v1", adapter: undefined },
                    blocks,
                    promptTokens: blocks.length * blockTokens,
                    excluded: noUpstreams,
                },
                ids,
                outputTokens: sampleInteger(shape.outputTokens),
            });
            atMs -= shape.caseGapMs * Math.log(1 - random());
        }
    }

    const [fewest, most] = shape.requestsPerCase;
    const caseIntervalMs = (1000 * (fewest + most)) / 2 / shape.requestsPerSecond;
    for (let atMs = 0; atMs < plan.endMs; atMs -= caseIntervalMs * Math.log(1 - random())) {
        addCase(atMs);
    }
    return arrivals.sort((left, right) => left.atMs - right.atMs);
}
