/**
 * @module
 * Reads a peer's whole member list when the views differ for longer than news needs to spread.
 */
import type { Clock } from "../time/clock.js";
import type { Member } from "./memberTypes.js";

/** Compares views. */
export interface ViewRepair {
    /** Takes the hash that a message carried. */
    readonly note: (address: string, viewHash: string) => void;
}

/** What the repair needs. */
export interface ViewRepairDependencies {
    readonly clock: Clock;
    /** True when no news waits to be told. */
    readonly isQuiet: () => boolean;
    readonly readHash: () => string;
    readonly readMembers: (address: string, onAnswer: (members: readonly Member[] | undefined) => void) => void;
    readonly takeMembers: (members: readonly Member[]) => void;
}

/** Differing hashes in a row that start a repair. */
const differencesBeforeRepair = 3;

/** Least time between two repairs; bounds their cost. */
const minRepairIntervalMs = 20_000;

/**
 * Creates the repair.
 *
 * @param dependencies - The clock, this view and the read.
 * @returns The repair.
 * @example
 * createViewRepair(dependencies).note("10.0.0.2:8081", answer.viewHash);
 */
export function createViewRepair(dependencies: ViewRepairDependencies): ViewRepair {
    let differences = 0;
    let lastRepairMs = -minRepairIntervalMs;

    function note(address: string, viewHash: string): void {
        if (viewHash === dependencies.readHash() || !dependencies.isQuiet()) {
            differences = 0;
            return;
        }
        differences += 1;
        const nowMs = dependencies.clock.now();
        if (differences < differencesBeforeRepair || nowMs - lastRepairMs < minRepairIntervalMs) {
            return;
        }
        lastRepairMs = nowMs;
        differences = 0;
        dependencies.readMembers(address, members => dependencies.takeMembers(members ?? []));
    }

    return { note };
}
