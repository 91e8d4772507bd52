/**
 * @module
 * A pool of connections to upstreams, with one request at a time on each. The permitted idle time is set per request: a
 * request that must not run twice needs a connection that the upstream cannot have closed unnoticed.
 */
import { Client } from "undici";
import type { Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";
import { createWatchedConnector, type WatchedConnector } from "../_lib/createWatchedConnector.js";

/** A connection of the pool. */
export interface PooledConnection extends Omit<WatchedConnector, "connect"> {
    readonly client: Client;
    readonly address: string;
    /** Whether an earlier request was sent on it. */
    readonly isReused: boolean;
}

/** The connection pool. */
export interface ConnectionPool {
    /** Returns the most recently used connection if it was idle for at most `maxIdleMs`, otherwise a new one. */
    readonly acquire: (address: string, maxIdleMs: number) => PooledConnection;
    /** Returns a connection to the pool, or closes it. */
    readonly release: (connection: PooledConnection, isReusable: boolean) => void;
    /** Closes all idle connections, for example after a pause of the process. */
    readonly discardIdle: () => void;
    /** Closes all idle connections and stops the periodic sweep. */
    readonly close: () => void;
    /** Number of connections opened so far. */
    readonly countOpened: () => number;
}

interface IdleConnection {
    readonly connection: PooledConnection;
    readonly sinceMs: number;
}

/** Idle time after which a connection is closed. */
const maxIdleLifetimeMs = 3_000;

/** Maximum idle connections per address. */
const maxIdlePerAddress = 16;

/** Interval at which expired idle connections are closed. */
const sweepIntervalMs = 1_000;

/** Connect timeout of undici; the sender's own timeout is shorter. */
const undiciConnectTimeoutMs = 2_000;

/**
 * Creates an empty connection pool.
 *
 * @param clock - The clock.
 * @returns The pool.
 */
export function createConnectionPool(clock: Clock): ConnectionPool {
    const idleByAddress = new Map<string, IdleConnection[]>();
    let opened = 0;

    function open(address: string): PooledConnection {
        opened += 1;
        const connector = createWatchedConnector(undiciConnectTimeoutMs);
        const client = new Client(`http://${address}`, {
            connect: connector.connect,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: maxIdleLifetimeMs,
            pipelining: 1,
        });
        client.on("disconnect", () => forget(address, client));
        return {
            client,
            address,
            isReused: false,
            state: connector.state,
            expectEnd: connector.expectEnd,
            allowBytes: connector.allowBytes,
            pause: connector.pause,
            resume: connector.resume,
        };
    }

    function destroy(client: Client): void {
        // Destroying a client twice rejects; no further action is needed.
        client.destroy().catch(() => undefined);
    }

    function forget(address: string, client: Client): void {
        const idle = idleByAddress.get(address);
        if (idle?.some(one => one.connection.client === client) === true) {
            idleByAddress.set(address, idle.filter(one => one.connection.client !== client));
            destroy(client);
        }
    }

    function acquire(address: string, maxIdleMs: number): PooledConnection {
        const idle = idleByAddress.get(address) ?? [];
        const newest = idle.at(-1);
        if (newest === undefined || newest.connection.client.destroyed || clock.now() - newest.sinceMs > maxIdleMs) {
            return open(address);
        }
        idle.pop();
        return { ...newest.connection, isReused: true };
    }

    function release(connection: PooledConnection, isReusable: boolean): void {
        const idle = idleByAddress.get(connection.address) ?? [];
        if (!isReusable || connection.client.destroyed || idle.length >= maxIdlePerAddress) {
            destroy(connection.client);
            return;
        }
        idle.push({ connection, sinceMs: clock.now() });
        idleByAddress.set(connection.address, idle);
    }

    function sweep(): void {
        for (const [address, idle] of idleByAddress) {
            const [expired, recent] = [
                idle.filter(one => clock.now() - one.sinceMs > maxIdleLifetimeMs),
                idle.filter(one => clock.now() - one.sinceMs <= maxIdleLifetimeMs),
            ];
            expired.forEach(one => destroy(one.connection.client));
            if (recent.length === 0) {
                idleByAddress.delete(address);
            }
            else {
                idleByAddress.set(address, recent);
            }
        }
    }
    const stopSweeping = repeatEvery(clock, sweepIntervalMs, sweep);

    function discardIdle(): void {
        [...idleByAddress.values()].flat().forEach(one => destroy(one.connection.client));
        idleByAddress.clear();
    }

    return {
        acquire,
        release,
        discardIdle,
        close: () => {
            stopSweeping();
            discardIdle();
        },
        countOpened: () => opened,
    };
}
