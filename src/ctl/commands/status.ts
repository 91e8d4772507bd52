/**
 * @module
 * `reedwardctl status`: the members with their revision and log contact.
 */
import { formatCustomers } from "../_lib/formatCustomers.js";
import { formatFleet } from "../_lib/formatFleet.js";
import { readFleet } from "../_lib/readFleet.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/**
 * Queries the status of every member; with `--customers` also the use of the customers' limits.
 *
 * @param invocation - The invocation.
 * @returns A row for each member.
 */
export async function status(invocation: Invocation): Promise<CommandResult> {
    const rows = await readFleet(invocation);
    const use = invocation.flags.customers ? await invocation.client.operator.customers.query() : undefined;
    const revisions = rows.flatMap(row => row.status === undefined ? [] : [row.status.nextOffset]);
    const newest = Math.max(0, ...revisions);
    const behind = rows.filter(row => row.status?.nextOffset !== newest).map(row => row.instance);
    const end = behind.length === 0
        ? `all ${rows.length} instances are at revision ${newest}`
        : `not at revision ${newest} or without answer: ${behind.join(", ")}`;
    return {
        exitCode: exitCodes.done,
        json: { outcome: "done", revision: newest, behind, instances: rows, customers: use },
        lines: [...formatFleet(rows), end, ...(use === undefined ? [] : formatCustomers(use))],
    };
}
