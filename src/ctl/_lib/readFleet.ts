/**
 * @module
 * Asks every member of the fleet for its status.
 */
import type { InstanceStatus } from "../../io/operator/operatorRouter.js";
import type { Invocation } from "../commandTypes.js";

/** One member as reedwardctl sees it. */
export interface FleetRow {
    readonly instance: string;
    readonly state: string;
    readonly failureDomain: string;
    readonly peerAddress: string;
    /** Undefined when the member did not answer. */
    readonly status: Omit<InstanceStatus, "instance" | "members"> | undefined;
}

/** Members that are asked side by side. */
const parallelCalls = 32;

async function askMember(
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
 * Reads the status of every member that the asked instance knows and does not hold for dead.
 *
 * @param invocation - The invocation.
 * @returns A row for each member, in the order of their names.
 */
export async function readFleet(invocation: Invocation): Promise<readonly FleetRow[]> {
    const { members } = await invocation.client.operator.status.query();
    const asked = members.filter(member => member.state !== "dead")
        .sort((left, right) => left.instance < right.instance ? -1 : 1);
    const rows: FleetRow[] = [];
    while (rows.length < asked.length) {
        const batch = asked.slice(rows.length, rows.length + parallelCalls);
        rows.push(...await Promise.all(batch.map(member => askMember(member, invocation))));
    }
    return rows;
}
