/**
 * @module
 * Anti-entropy repair: reads a peer's full member list when views differ for longer than gossip needs to converge.
 */
import type { Clock } from "../time/clock.js";
import type { Member } from "./memberTypes.js";

/** Compares this view with those of peers by their hashes. */
export interface ViewRepair {
    /** Records the hash of a probe answer. */
    readonly recordAnswer: (address: string, viewHash: string) => void;
    /** Records the hash of a probe request, before this instance has sent any update to the sender. */
    readonly recordRequest: (viewHash: string) => void;
    /** Records that this instance's view has changed. */
    readonly recordChange: () => void;
}

/** Dependencies of {@link createViewRepair}. */
export interface ViewRepairDependencies {
    readonly clock: Clock;
    /** Called when several consecutive requests had the same view as this instance. */
    readonly onAgreement: () => void;
    readonly readHash: () => string;
    readonly readMembers: (address: string, onAnswer: (members: readonly Member[] | undefined) => void) => void;
    readonly applyMembers: (members: readonly Member[]) => void;
}

/** Consecutive requests with an equal hash after which queued updates count as known to all members. */
const agreementsBeforeClear = 3;

/** Time without a change of the view before queued updates may count as known to all members. */
const settledMs = 3_000;

/** Consecutive differing hashes that start a repair. */
const differencesBeforeRepair = 4;

/** Minimum time between two repairs; doubles with each repair until the views are equal, to limit the cost. */
const minRepairIntervalMs = 2_000;
const maxRepairIntervalMs = 8_000;

/**
 * Creates the repair.
 *
 * @param dependencies - The clock, this instance's view and the reader of a peer's members.
 * @returns The repair.
 * @example
 * createViewRepair(dependencies).recordAnswer("10.0.0.2:8081", answer.viewHash);
 */
export function createViewRepair(dependencies: ViewRepairDependencies): ViewRepair {
    const { clock } = dependencies;
    let agreements = 0;
    let differences = 0;
    let lastChangeMs = clock.now();
    let lastRepairMs = -minRepairIntervalMs;
    let repairIntervalMs = minRepairIntervalMs;

    function recordRequest(viewHash: string): void {
        agreements = viewHash === dependencies.readHash() ? agreements + 1 : 0;
        if (agreements >= agreementsBeforeClear && clock.now() - lastChangeMs >= settledMs) {
            dependencies.onAgreement();
        }
    }

    function recordAnswer(address: string, viewHash: string): void {
        if (viewHash === dependencies.readHash()) {
            differences = 0;
            repairIntervalMs = minRepairIntervalMs;
            return;
        }
        differences += 1;
        const nowMs = clock.now();
        if (differences < differencesBeforeRepair || nowMs - lastRepairMs < repairIntervalMs) {
            return;
        }
        repairIntervalMs = Math.min(2 * repairIntervalMs, maxRepairIntervalMs);
        lastRepairMs = nowMs;
        differences = 0;
        dependencies.readMembers(address, members => dependencies.applyMembers(members ?? []));
    }

    function recordChange(): void {
        agreements = 0;
        lastChangeMs = clock.now();
    }

    return { recordAnswer, recordRequest, recordChange };
}
