/**
 * @module
 * Formats the members of the fleet as text.
 */
import { formatTable } from "./formatTable.js";
import type { FleetRow } from "./readFleet.js";

function formatAge(ageMs: number | undefined): string {
    return ageMs === undefined ? "never" : `${Math.round(ageMs)} ms`;
}

/**
 * Formats a line for each member.
 *
 * @param rows - The members.
 * @returns The lines.
 */
export function formatFleet(rows: readonly FleetRow[]): readonly string[] {
    const head = ["INSTANCE", "STATE", "DOMAIN", "ADDRESS", "READY", "REVISION", "LOG CONTACT"];
    return formatTable(
        head,
        rows.map(({ instance, state, failureDomain, peerAddress, status }) => [
            instance,
            state,
            failureDomain,
            peerAddress,
            status === undefined ? "no answer" : String(status.isReady),
            status === undefined ? "-" : String(status.nextOffset),
            status === undefined ? "-" : formatAge(status.logContactAgeMs),
        ]),
    );
}
