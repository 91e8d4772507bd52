/**
 * @module
 * Requests the state of a peer.
 */
import { request } from "undici";
import { parsePeerState, type PeerState } from "../../core/fleet/peerState.js";
import { readLimitedBody } from "../_lib/readLimitedBody.js";

/** URL path of the state. */
export const peerStatePath = "/peer/state";

/** Time limit of the call, in milliseconds. */
const requestTimeoutMs = 800;

/** Largest state, in bytes. */
const maxStateBytes = 4 * 1024 * 1024;

/**
 * Fetches a peer's state over a new connection, so that an unresponsive one cannot delay it.
 *
 * @param address - The peer's "ip:port".
 * @param knownVersion - Version of the configuration that this instance has; the peer omits it if it is not newer.
 * @returns The state, or undefined when the peer did not answer with a valid one.
 */
export async function fetchPeerState(address: string, knownVersion: number): Promise<PeerState | undefined> {
    try {
        const res = await request(`http://${address}${peerStatePath}?known=${knownVersion}`, {
            signal: AbortSignal.timeout(requestTimeoutMs),
            reset: true,
        });
        return res.statusCode === 200
            ? parsePeerState((await readLimitedBody(res.body, maxStateBytes)).toString())
            : undefined;
    }
    catch {
        // The caller retries with this peer or another one, and logs which state it applied and from which peer.
        return undefined;
    }
}
