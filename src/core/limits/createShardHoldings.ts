/**
 * @module
 * The quota shards that this instance may use now, published to the customers' quotas.
 */
import type { HeldShard } from "./quotaTypes.js";

/** One run of an instance's process. */
export interface ShardOwner {
    readonly instance: string;
    readonly incarnation: string;
}

/** A shard that this instance may use. */
export interface UsableShard extends HeldShard {
    /** Time from which the lease runs, in milliseconds on this instance's clock. */
    readonly renewedMs: number;
    /** Revision of the shard on the ledger. */
    readonly revision: number;
    /** The process that holds the shard on the ledger. */
    readonly owner: ShardOwner;
}

/** The usable shards of an instance. */
export interface ShardHoldings {
    readonly shards: ReadonlyMap<string, UsableShard>;
    /** Adds or replaces a shard and publishes the customer's shards. */
    readonly set: (name: string, shard: UsableShard) => void;
    /** Ends the use of shards and publishes the shards that are left; names that are not held are ignored. */
    readonly endUse: (names: readonly string[]) => void;
}

/**
 * Parses the name of a shard.
 *
 * @param name - "customer/number".
 * @returns The customer and the number.
 * @example
 * parseShardName("town-hall/3"); // { customer: "town-hall", index: 3 }
 */
export function parseShardName(name: string): { readonly customer: string; readonly index: number; } {
    const separator = name.lastIndexOf("/");
    return { customer: name.slice(0, separator), index: Number(name.slice(separator + 1)) };
}

/**
 * Creates the holdings, without shards.
 *
 * @param setShards - Sets the usable shards of a customer.
 * @returns The holdings.
 * @example
 * createShardHoldings(quotas.setShards).shards.size; // 0
 */
export function createShardHoldings(
    setShards: (customer: string, shards: readonly HeldShard[]) => void,
): ShardHoldings {
    const shards = new Map<string, UsableShard>();

    function publish(customer: string): void {
        setShards(
            customer,
            [...shards].filter(([name]) => parseShardName(name).customer === customer).map(([, held]) => held),
        );
    }

    return {
        shards,
        set: (name, shard) => {
            shards.set(name, shard);
            publish(parseShardName(name).customer);
        },
        endUse: names => {
            const ended = names.filter(name => shards.delete(name));
            new Set(ended.map(name => parseShardName(name).customer)).forEach(publish);
        },
    };
}
