/**
 * @module
 * Times from the append of a change until instances have it in force.
 */
import type { Catalogue } from "../../src/core/catalogue/catalogue.js";

/** Collects the times of all changes and instances. */
export interface InForceTimes {
    /** Notes that a change is about to be appended. */
    readonly noteAppend: (changeId: string, atMs: number) => void;
    /** Notes what an instance has in force. */
    readonly noteAdvance: (instance: number, catalogue: Catalogue, atMs: number) => void;
    readonly summarise: () => InForceSummary;
}

/** Summary in milliseconds. */
export interface InForceSummary {
    readonly changes: number;
    /** Changes that every instance had in force in the end. */
    readonly complete: number;
    readonly p50Ms: number;
    /** 99 in 100 instances and changes. */
    readonly p99Ms: number;
    /** 99 in 100 changes, each until the last instance had it. */
    readonly everywhereP99Ms: number;
    readonly worstMs: number;
}

function findQuantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)] ?? NaN;
}

/** Creates the collection. */
export function createInForceTimes(instances: number): InForceTimes {
    const appended = new Map<string, number>();
    const times = new Map<string, (number | undefined)[]>();

    function noteAdvance(instance: number, catalogue: Catalogue, atMs: number): void {
        for (const [changeId, row] of times) {
            if (row[instance] === undefined && catalogue.changes.has(changeId)) {
                row[instance] = atMs - appended.get(changeId)!;
            }
        }
    }

    return {
        noteAppend: (changeId, atMs) => {
            appended.set(changeId, atMs);
            times.set(changeId, new Array<number | undefined>(instances).fill(undefined));
        },
        noteAdvance,
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
