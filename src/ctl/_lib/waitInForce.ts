/**
 * @module
 * Waits until every member has folded a change.
 */
import type { Invocation } from "../commandTypes.js";
import { type FleetRow, readFleet } from "./readFleet.js";

/** What waiting came to. */
export interface InForce {
    readonly isEverywhere: boolean;
    /** Milliseconds that passed. */
    readonly waitedMs: number;
    readonly rows: readonly FleetRow[];
}

const waitBoundMs = 10_000;
const pollPeriodMs = 100;

/**
 * Waits up to 10 s until every member's revision has reached a change.
 *
 * @param revision - Revision of the change.
 * @param invocation - The invocation.
 * @returns Whether it is in force everywhere, with each member's state.
 */
export async function waitInForce(revision: number, invocation: Invocation): Promise<InForce> {
    const startMs = invocation.nowMs();
    for (;;) {
        const rows = await readFleet(invocation);
        const isEverywhere = rows.every(row => (row.status?.nextOffset ?? 0) >= revision);
        const waitedMs = invocation.nowMs() - startMs;
        if (isEverywhere || waitedMs >= waitBoundMs) {
            return { isEverywhere, waitedMs, rows };
        }
        await invocation.delay(pollPeriodMs);
    }
}
