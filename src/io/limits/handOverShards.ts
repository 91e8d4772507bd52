/**
 * @module
 * Hands the seats of a leaving instance to their standbys while the log cannot be written.
 */
import type { EndedShard } from "../../core/limits/createShardManager.js";
import { maxStandbys } from "../../core/limits/foldShardRecord.js";
import type { PeerClient } from "../peers/createPeerClient.js";

/** What handing over needs. */
export interface ShardHandoverDependencies {
    /** Client of a living instance; undefined when it is not known or dead. */
    readonly connect: (instance: string) => PeerClient | undefined;
    /** Told how many seats a standby has taken, and how many no standby has. */
    readonly onHandedOver: (outcome: { readonly standby: string; readonly seats: number; }) => void;
    readonly onLost: (seats: number) => void;
}

interface Group {
    readonly standby: string;
    readonly seats: readonly EndedShard[];
}

function groupByStandby(seats: readonly EndedShard[], rank: number): readonly Group[] {
    const groups = new Map<string, readonly EndedShard[]>();
    for (const seat of seats) {
        const standby = seat.standbys[rank];
        if (standby !== undefined) {
            const key = JSON.stringify([standby, seat.owner.instance, seat.owner.incarnation]);
            groups.set(key, [...groups.get(key) ?? [], seat]);
        }
    }
    return [...groups.values()].map(list => ({ standby: list[0]!.standbys[rank]!, seats: list }));
}

/** A handover without an answer may have been taken, so its seats are offered to nobody else. */
async function offer(client: PeerClient, seats: readonly EndedShard[]): Promise<"taken" | "notTaken" | "unknown"> {
    const receiverClock = await client.limits.custodyClock.query().catch(() => undefined);
    if (receiverClock === undefined) {
        return "notTaken";
    }
    const handover = { receiverClock, owner: seats[0]!.owner, seats: seats.map(seat => seat.createTransfer()) };
    const isTaken = await client.limits.takeSeats.mutate(handover).catch(() => undefined);
    if (isTaken === undefined) {
        return "unknown";
    }
    return isTaken ? "taken" : "notTaken";
}

/**
 * Offers seats to their first standby, and those that it has surely not taken to the second one.
 *
 * @param seats - Seats whose use has ended here.
 * @param dependencies - The peers.
 * @returns Resolves when every seat is taken or has no standby left.
 */
export async function handOverShards(
    seats: readonly EndedShard[],
    dependencies: ShardHandoverDependencies,
): Promise<void> {
    let rest: ReadonlySet<EndedShard> = new Set(seats);
    let lost = 0;
    for (let rank = 0; rank < maxStandbys; rank += 1) {
        for (const group of groupByStandby([...rest], rank)) {
            const client = dependencies.connect(group.standby);
            const outcome = client === undefined ? "notTaken" : await offer(client, group.seats);
            if (outcome === "taken") {
                dependencies.onHandedOver({ standby: group.standby, seats: group.seats.length });
            }
            if (outcome === "unknown") {
                lost += group.seats.length;
            }
            if (outcome !== "notTaken") {
                rest = new Set([...rest].filter(seat => !group.seats.includes(seat)));
            }
        }
    }
    if (lost + rest.size > 0) {
        dependencies.onLost(lost + rest.size);
    }
}
