/**
 * @module
 * Reads the state of peers.
 */
import { Client } from "undici";
import { parsePeerState, type PeerState } from "../../core/fleet/peerState.js";
import { createWatchedConnector, type WatchedConnector } from "../_lib/createWatchedConnector.js";
import { readLimitedBody } from "../_lib/readLimitedBody.js";

/** URL path of the state. */
export const peerStatePath = "/peer/state";

/** What the reading instance has already; the peer leaves it out. */
export interface KnownState {
    readonly tableVersion: number;
    /** Hash of the list of upstreams. */
    readonly upstreamsDigest: string;
}

/** Reads the states of peers. */
export interface PeerStateReader {
    /** Reads the state of the peer at an "ip:port"; undefined when it did not answer with a valid one in time. */
    readonly read: (address: string, known: KnownState) => Promise<PeerState | undefined>;
    readonly close: () => void;
}

/** Time limit of a read, in milliseconds. */
const requestTimeoutMs = 500;

/** Largest state, in bytes. */
const maxStateBytes = 4 * 1024 * 1024;

/** A peer and the connection to it. */
interface PeerConnection {
    readonly address: string;
    readonly client: Client;
    readonly connector: WatchedConnector;
}

/** Bounds the bytes of the next answer, with its head and framing, and returns the client that reads it. */
function allowAnswer({ client, connector }: PeerConnection): Client {
    connector.allowBytes(2 * maxStateBytes);
    return client;
}

/**
 * Creates a reader without a connection. It keeps the connection to the peer that it read last: an instance reads the
 * same peer again and again.
 *
 * @returns The reader.
 */
export function createPeerStateReader(): PeerStateReader {
    let connection: PeerConnection | undefined;

    function disconnect(): void {
        // Destroying a client a second time rejects; the connection is already closed then.
        connection?.client.destroy().catch(() => undefined);
        connection = undefined;
    }

    function connect(address: string): Client {
        if (connection?.address === address) {
            return allowAnswer(connection);
        }
        disconnect();
        const connector = createWatchedConnector(requestTimeoutMs);
        const client = new Client(`http://${address}`, { connect: connector.connect, pipelining: 1 });
        connection = { address, client, connector };
        return allowAnswer(connection);
    }

    async function read(address: string, known: KnownState): Promise<PeerState | undefined> {
        const path = `${peerStatePath}?known=${known.tableVersion}&upstreams=${known.upstreamsDigest}`;
        try {
            const res = await connect(address).request({
                method: "GET",
                path,
                signal: AbortSignal.timeout(requestTimeoutMs),
            });
            const body = await readLimitedBody(res.body, maxStateBytes);
            return res.statusCode === 200 ? parsePeerState(body.toString()) : undefined;
        }
        catch {
            // On this connection a late answer would be taken for that to the next read. The caller logs the failure.
            disconnect();
            return undefined;
        }
    }

    return { read, close: disconnect };
}
