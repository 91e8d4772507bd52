/**
 * @module
 * Connection pools by upstream address; pools whose connections may be dead are discarded.
 */
import { type Dispatcher, Pool } from "undici";
import { createCheckedClient } from "../_lib/createCheckedClient.js";

/**
 * Connections by upstream address. Their number is not limited here: admission limits the requests in flight, and a
 * request that waited for a connection would be neither sent nor refused.
 */
export interface ConnectionPools {
    /** Returns the dispatcher of an address's pool. */
    readonly getPooled: (address: string) => Dispatcher;
    /** Returns a dispatcher with one new connection, closed after its first request. */
    readonly openNew: (address: string) => Dispatcher;
    /** Discards the pool of an address; requests in flight on its connections continue. */
    readonly discardIdle: (address: string) => void;
    /** Discards all pools; requests in flight on their connections continue. */
    readonly discardAllIdle: () => void;
    readonly close: () => Promise<void>;
}

/** Options of {@link createConnectionPools}. */
export interface ConnectionPoolsOptions {
    readonly connectTimeoutMs: number;
    /** Idle timeout of a response body, in milliseconds. */
    readonly silenceTimeoutMs: number;
}

/** Maximum number of pools; the oldest one is discarded first. */
const maxPools = 512;

/**
 * Creates empty pools.
 *
 * @param options - Time limits.
 * @returns The pools.
 */
export function createConnectionPools(options: ConnectionPoolsOptions): ConnectionPools {
    const pools = new Map<string, Pool>();
    const retired = new Set<Dispatcher>();
    const clientOptions = { connectTimeoutMs: options.connectTimeoutMs, bodyTimeoutMs: options.silenceTimeoutMs };

    function retire(dispatcher: Dispatcher): void {
        retired.add(dispatcher);
        const forget = () => retired.delete(dispatcher);
        dispatcher.close().then(forget, forget);
    }

    function discardIdle(address: string): void {
        const pool = pools.get(address);
        if (pool !== undefined) {
            pools.delete(address);
            retire(pool);
        }
    }

    function getPooled(address: string): Dispatcher {
        const found = pools.get(address);
        if (found !== undefined) {
            return found;
        }
        const oldest = pools.keys().next().value;
        if (pools.size >= maxPools && oldest !== undefined) {
            discardIdle(oldest);
        }
        const pool = new Pool(`http://${address}`, {
            factory: origin => createCheckedClient(origin, clientOptions),
        });
        pools.set(address, pool);
        return pool;
    }

    return {
        getPooled,
        openNew: address => createCheckedClient(`http://${address}`, clientOptions),
        discardIdle,
        discardAllIdle: () => [...pools.keys()].forEach(discardIdle),
        close: async () => {
            const all = [...pools.values(), ...retired];
            pools.clear();
            await Promise.all(all.map(one => one.destroy()));
        },
    };
}
