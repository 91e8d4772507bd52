/**
 * @module
 * Reads a peer's whole member list when the views differ for longer than news needs to spread.
 */
import type { Clock } from "../time/clock.js";
import type { Member } from "./memberTypes.js";

/** Compares views. */
export interface ViewRepair {
    /** Takes the hash that an answer carried. */
    readonly noteAnswer: (address: string, viewHash: string) => void;
    /** Takes the hash that a request carried, before this instance has told the sender anything. */
    readonly noteRequest: (viewHash: string) => void;
    /** This instance's view has changed. */
    readonly noteChange: () => void;
}

/** What the repair needs. */
export interface ViewRepairDependencies {
    readonly clock: Clock;
    /** Called when several peers in a row hold the same view. */
    readonly onAgreement: () => void;
    readonly readHash: () => string;
    readonly readMembers: (address: string, onAnswer: (members: readonly Member[] | undefined) => void) => void;
    readonly takeMembers: (members: readonly Member[]) => void;
}

/** Requests with an equal hash in a row after which news counts as known everywhere. */
const agreementsBeforeSilence = 3;

/** Time without a change of the view before news may count as known everywhere, in milliseconds. */
const settledMs = 3_000;

/** Differing hashes in a row that start a repair. */
const differencesBeforeRepair = 4;

/** Least time between two repairs; it doubles with each repair until views are equal, which bounds the cost. */
const minRepairIntervalMs = 2_000;
const maxRepairIntervalMs = 8_000;

/**
 * Creates the repair.
 *
 * @param dependencies - The clock, this view and the read.
 * @returns The repair.
 * @example
 * createViewRepair(dependencies).noteAnswer("10.0.0.2:8081", answer.viewHash);
 */
export function createViewRepair(dependencies: ViewRepairDependencies): ViewRepair {
    const { clock } = dependencies;
    let agreements = 0;
    let differences = 0;
    let lastChangeMs = clock.now();
    let lastRepairMs = -minRepairIntervalMs;
    let repairIntervalMs = minRepairIntervalMs;

    function noteRequest(viewHash: string): void {
        agreements = viewHash === dependencies.readHash() ? agreements + 1 : 0;
        if (agreements >= agreementsBeforeSilence && clock.now() - lastChangeMs >= settledMs) {
            dependencies.onAgreement();
        }
    }

    function noteAnswer(address: string, viewHash: string): void {
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
        dependencies.readMembers(address, members => dependencies.takeMembers(members ?? []));
    }

    function noteChange(): void {
        agreements = 0;
        lastChangeMs = clock.now();
    }

    return { noteAnswer, noteRequest, noteChange };
}
