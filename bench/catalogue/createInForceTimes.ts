/**
 * @module
 * Measures the time from the append of a change until the instances have it in force.
 */
import type { Catalogue } from "../../src/core/catalogue/catalogue.js";

/** Collects the times for all changes and instances. */
export interface InForceTimes {
    /** Records that a change is about to be appended. */
    readonly recordAppend: (changeId: string, atMs: number) => void;
    /** Records the catalogue that an instance has in force. */
    readonly recordAdvance: (instance: number, catalogue: Catalogue, atMs: number) => void;
    readonly summarise: () => InForceSummary;
}

/** Summary of the collected times. */
export interface InForceSummary {
    readonly changes: number;
    /** Changes that every instance had in force at the end of the run. */
    readonly complete: number;
    readonly p50Ms: number;
    /** 99th percentile over all pairs of an instance and a change. */
    readonly p99Ms: number;
    /** 99th percentile over changes of the time until the last instance had the change in force. */
    readonly everywhereP99Ms: number;
    readonly worstMs: number;
}

function findQuantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)] ?? NaN;
}

/** Creates an empty collection. */
export function createInForceTimes(instances: number): InForceTimes {
    const appended = new Map<string, number>();
    const times = new Map<string, (number | undefined)[]>();

    function recordAdvance(instance: number, catalogue: Catalogue, atMs: number): void {
        for (const [changeId, row] of times) {
            if (row[instance] === undefined && catalogue.changes.has(changeId)) {
                row[instance] = atMs - appended.get(changeId)!;
            }
        }
    }

    return {
        recordAppend: (changeId, atMs) => {
            appended.set(changeId, atMs);
            times.set(changeId, new Array<number | undefined>(instances).fill(undefined));
        },
        recordAdvance,
        summarise: () => {
            const complete = [...times.values()].filter((row): row is number[] => row.every(one => one !== undefined));
            const all = complete.flat().sort((left, right) => left - right);
            const last = complete.map(row => Math.max(...row)).sort((left, right) => left - right);
            return {
                changes: times.size,
                complete: complete.length,
                p50Ms: findQuantile(all, 0.5),
                p99Ms: findQuantile(all, 0.99),
                everywhereP99Ms: findQuantile(last, 0.99),
                worstMs: last.at(-1) ?? NaN,
            };
        },
    };
}
