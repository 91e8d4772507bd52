/**
 * @module
 * Reads the state of peers.
 */
import { parsePeerState, type PeerState } from "../../core/fleet/peerState.js";
import { type CallClient, createCallClient } from "../_lib/createCallClient.js";

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
    readonly client: CallClient;
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
        connection?.client.close();
        connection = undefined;
    }

    function connect(address: string): CallClient {
        if (connection?.address === address) {
            return connection.client;
        }
        disconnect();
        const client = createCallClient(address, { connectTimeoutMs: requestTimeoutMs, maxBodyBytes: maxStateBytes });
        connection = { address, client };
        return client;
    }

    /** The caller logs a failure. */
    async function readState(address: string, path: string): Promise<PeerState | undefined> {
        try {
            const res = await connect(address).call({ path, signal: AbortSignal.timeout(requestTimeoutMs) });
            return res.status === 200 ? parsePeerState(res.body.toString()) : undefined;
        }
        catch {
            return undefined;
        }
    }

    async function read(address: string, known: KnownState): Promise<PeerState | undefined> {
        const path = `${peerStatePath}?known=${known.tableVersion}&upstreams=${known.upstreamsDigest}`;
        const state = await readState(address, path);
        if (state === undefined) {
            // On this connection a late answer would be taken for that to the next read.
            disconnect();
        }
        return state;
    }

    return { read, close: disconnect };
}
