/**
 * @module
 * Queries the status of every member of the fleet.
 */
import type { InstanceStatus } from "../../io/operator/operatorRouter.js";
import type { Invocation } from "../commandTypes.js";

/** One member of the fleet. */
export interface FleetRow {
    readonly instance: string;
    readonly state: string;
    readonly failureDomain: string;
    readonly peerAddress: string;
    /** Undefined when the member did not answer. */
    readonly status: Omit<InstanceStatus, "instance" | "members"> | undefined;
}

/** Maximum number of parallel status queries. */
const maxParallelCalls = 32;

async function queryMember(
    member: InstanceStatus["members"][number],
    invocation: Invocation,
): Promise<FleetRow> {
    const { instance, state, failureDomain, peerAddress } = member;
    try {
        const answer = await invocation.connect(peerAddress).operator.status.query();
        const { isReady, isLoaded, nextOffset, logContactAgeMs } = answer;
        const status = { isReady, isLoaded, nextOffset, logContactAgeMs };
        return { instance, state, failureDomain, peerAddress, status };
    }
    catch {
        return { instance, state, failureDomain, peerAddress, status: undefined };
    }
}

/**
 * Reads the status of every member that the queried instance knows and does not consider dead.
 *
 * @param invocation - The invocation.
 * @returns A row for each member, in the order of their names.
 */
export async function readFleet(invocation: Invocation): Promise<readonly FleetRow[]> {
    const { members } = await invocation.client.operator.status.query();
    const queried = members.filter(member => member.state !== "dead")
        .sort((left, right) => left.instance < right.instance ? -1 : 1);
    const rows: FleetRow[] = [];
    while (rows.length < queried.length) {
        const batch = queried.slice(rows.length, rows.length + maxParallelCalls);
        rows.push(...await Promise.all(batch.map(member => queryMember(member, invocation))));
    }
    return rows;
}
