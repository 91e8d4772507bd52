/**
 * @module
 * Hands the quota shards of an instance that shuts down over to their standbys while the log cannot be written.
 */
import type { EndedShard } from "../../core/limits/createShardManager.js";
import { maxStandbys } from "../../core/limits/foldShardRecord.js";
import type { PeerClient } from "../peers/createPeerClient.js";

/** What the handover needs. */
export interface ShardHandoverDependencies {
    /** Returns the client of a living instance, or undefined when the instance is unknown or dead. */
    readonly connect: (instance: string) => PeerClient | undefined;
    /** Called with the number of shards that a standby has accepted. */
    readonly onHandedOver: (outcome: { readonly standby: string; readonly seats: number; }) => void;
    /** Called with the number of shards that no standby is known to have accepted. */
    readonly onLost: (shards: number) => void;
}

interface Group {
    readonly standby: string;
    readonly shards: readonly EndedShard[];
}

function groupByStandby(shards: readonly EndedShard[], rank: number): readonly Group[] {
    const groups = new Map<string, readonly EndedShard[]>();
    for (const shard of shards) {
        const standby = shard.standbys[rank];
        if (standby !== undefined) {
            const key = JSON.stringify([standby, shard.owner.instance, shard.owner.incarnation]);
            groups.set(key, [...groups.get(key) ?? [], shard]);
        }
    }
    return [...groups.values()].map(list => ({ standby: list[0]!.standbys[rank]!, shards: list }));
}

/** A handover without an answer may have been accepted, so its shards are not offered to another standby. */
async function offer(
    client: PeerClient,
    shards: readonly EndedShard[],
): Promise<"accepted" | "notAccepted" | "unknown"> {
    const receiverClock = await client.limits.custodyClock.query().catch(() => undefined);
    if (receiverClock === undefined) {
        return "notAccepted";
    }
    const handover = { receiverClock, owner: shards[0]!.owner, seats: shards.map(shard => shard.createTransfer()) };
    const isAccepted = await client.limits.takeSeats.mutate(handover).catch(() => undefined);
    if (isAccepted === undefined) {
        return "unknown";
    }
    return isAccepted ? "accepted" : "notAccepted";
}

/**
 * Offers shards to their first standby, and those that it has certainly not accepted to the second one.
 *
 * @param shards - Shards whose use has ended here.
 * @param dependencies - The peers.
 * @returns Resolves when every shard is accepted or has no standby left.
 */
export async function handOverShards(
    shards: readonly EndedShard[],
    dependencies: ShardHandoverDependencies,
): Promise<void> {
    let remaining: ReadonlySet<EndedShard> = new Set(shards);
    let lost = 0;
    for (let rank = 0; rank < maxStandbys; rank += 1) {
        for (const group of groupByStandby([...remaining], rank)) {
            const client = dependencies.connect(group.standby);
            const outcome = client === undefined ? "notAccepted" : await offer(client, group.shards);
            if (outcome === "accepted") {
                dependencies.onHandedOver({ standby: group.standby, seats: group.shards.length });
            }
            if (outcome === "unknown") {
                lost += group.shards.length;
            }
            if (outcome !== "notAccepted") {
                remaining = new Set([...remaining].filter(shard => !group.shards.includes(shard)));
            }
        }
    }
    if (lost + remaining.size > 0) {
        dependencies.onLost(lost + remaining.size);
    }
}
