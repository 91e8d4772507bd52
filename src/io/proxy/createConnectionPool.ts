/**
 * @module
 * Connections to upstreams, one request at a time on each. How long one may have been idle is decided per request: a
 * request that must not run twice needs one that the other side cannot have closed unnoticed.
 */
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import type { Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";

/** One connection. */
export interface PooledConnection {
    readonly client: Client;
    readonly address: string;
    /** Whether a request was sent on it before. */
    readonly isReused: boolean;
    /** Whether the connection failed, as by a reset. undici takes a reset as the end of an answer without a length. */
    readonly hasFailed: () => boolean;
    /** Notes that the answer at work ends with the connection, so that its end is checked. */
    readonly expectEnd: () => void;
}

/** The connections. */
export interface ConnectionPool {
    /** Takes the most recently used connection that was idle for less than `maxIdleMs`, or a new one. */
    readonly acquire: (address: string, maxIdleMs: number) => PooledConnection;
    /** Keeps a connection for the next request, or closes it. */
    readonly release: (connection: PooledConnection, isReusable: boolean) => void;
    /** Closes all idle connections, as after a pause of the process. */
    readonly discardIdle: () => void;
    /** Closes all idle connections and looks after none any more. */
    readonly close: () => void;
    /** Number of connections that were opened. */
    readonly countOpened: () => number;
}

interface IdleConnection {
    readonly connection: PooledConnection;
    readonly sinceMs: number;
}

/** Idle time after which a connection is closed, in milliseconds. */
const maxKeptMs = 3_000;

/** Idle connections that are kept of one address. */
const maxIdle = 16;

/** Interval at which idle connections are looked through, in milliseconds. */
const sweepIntervalMs = 1_000;

/** Time limit of undici for opening a connection, in milliseconds; the sender's own limit is shorter. */
const connectLimitMs = 2_000;

/**
 * Tells whether a connection whose reading has ended was reset. Node.js reports the end of the bytes where bytes and a
 * reset have arrived together; a write fails at once then, and says nothing to a side that has closed in order.
 */
function isReset(socket: Socket): boolean {
    socket.write("\r\n");
    return Boolean(socket.errored);
}

/**
 * Creates an empty shelf.
 *
 * @param clock - The clock.
 * @returns The connections.
 */
export function createConnectionPool(clock: Clock): ConnectionPool {
    const shelves = new Map<string, IdleConnection[]>();
    const connector = buildConnector({ timeout: connectLimitMs, allowHalfOpen: true });
    let opened = 0;

    function open(address: string): PooledConnection {
        opened += 1;
        let hasFailed = false;
        let isEndExpected = false;

        function watch(socket: Socket): void {
            socket.on("error", () => {
                hasFailed = true;
            });
            socket.on("end", () => {
                hasFailed ||= isEndExpected && isReset(socket);
            });
        }

        const client = new Client(`http://${address}`, {
            connect: (options, onConnected) =>
                connector(options, (...connected) => {
                    const socket = connected[1] ?? undefined;
                    if (socket !== undefined) {
                        watch(socket);
                    }
                    onConnected(...connected);
                }),
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: maxKeptMs,
            pipelining: 1,
        });
        client.on("disconnect", () => forget(address, client));
        return {
            client,
            address,
            isReused: false,
            hasFailed: () => hasFailed,
            expectEnd: () => {
                isEndExpected = true;
            },
        };
    }

    function destroy(client: Client): void {
        // A client that is destroyed twice reports it; there is nothing left to do then.
        client.destroy().catch(() => undefined);
    }

    function forget(address: string, client: Client): void {
        const idle = shelves.get(address);
        if (idle?.some(one => one.connection.client === client) === true) {
            shelves.set(address, idle.filter(one => one.connection.client !== client));
            destroy(client);
        }
    }

    function acquire(address: string, maxIdleMs: number): PooledConnection {
        const idle = shelves.get(address) ?? [];
        const newest = idle.at(-1);
        if (newest === undefined || newest.connection.client.destroyed || clock.now() - newest.sinceMs > maxIdleMs) {
            return open(address);
        }
        idle.pop();
        return { ...newest.connection, isReused: true };
    }

    function release(connection: PooledConnection, isReusable: boolean): void {
        const idle = shelves.get(connection.address) ?? [];
        if (!isReusable || connection.client.destroyed || idle.length >= maxIdle) {
            destroy(connection.client);
            return;
        }
        idle.push({ connection, sinceMs: clock.now() });
        shelves.set(connection.address, idle);
    }

    function sweep(): void {
        for (const [address, idle] of shelves) {
            const [old, recent] = [
                idle.filter(one => clock.now() - one.sinceMs > maxKeptMs),
                idle.filter(one => clock.now() - one.sinceMs <= maxKeptMs),
            ];
            old.forEach(one => destroy(one.connection.client));
            if (recent.length === 0) {
                shelves.delete(address);
            }
            else {
                shelves.set(address, recent);
            }
        }
    }
    const stopSweeping = repeatEvery(clock, sweepIntervalMs, sweep);

    function distrustAll(): void {
        [...shelves.values()].flat().forEach(one => destroy(one.connection.client));
        shelves.clear();
    }

    return {
        acquire,
        release,
        discardIdle: distrustAll,
        close: () => {
            stopSweeping();
            distrustAll();
        },
        countOpened: () => opened,
    };
}
