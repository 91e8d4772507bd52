/**
 * @module
 * Waits until every member has folded a change.
 */
import type { Invocation } from "../commandTypes.js";
import { type FleetRow, readFleet } from "./readFleet.js";

/** Result of the wait. */
export interface InForceResult {
    readonly isEverywhere: boolean;
    /** Duration of the wait, in milliseconds. */
    readonly waitedMs: number;
    readonly rows: readonly FleetRow[];
}

const waitTimeoutMs = 10_000;
const pollIntervalMs = 100;

/**
 * Waits up to 10 s until every member's revision has reached a change.
 *
 * @param revision - Revision of the change.
 * @param invocation - The invocation.
 * @returns Whether it is in force everywhere, with the status of each member.
 */
export async function waitUntilInForce(revision: number, invocation: Invocation): Promise<InForceResult> {
    const startMs = invocation.nowMs();
    for (;;) {
        const rows = await readFleet(invocation);
        const isEverywhere = rows.every(row => (row.status?.nextOffset ?? 0) >= revision);
        const waitedMs = invocation.nowMs() - startMs;
        if (isEverywhere || waitedMs >= waitTimeoutMs) {
            return { isEverywhere, waitedMs, rows };
        }
        await invocation.delay(pollIntervalMs);
    }
}
