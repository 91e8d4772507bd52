/**
 * @module
 * Asks a peer for its state.
 */
import { request } from "undici";
import { parsePeerState, type PeerState } from "../../core/fleet/peerState.js";

/** Path of the state on a peer's address. */
export const peerStatePath = "/peer/state";

/** Time limit of the call, in milliseconds. */
const timeoutMs = 800;

/**
 * Fetches a peer's state over a new connection, so that a silent one cannot delay it.
 *
 * @param address - The peer's "ip:port".
 * @param knownVersion - Version of the configuration that need not be sent.
 * @returns The state, or undefined when the peer did not give one.
 */
export async function fetchPeerState(address: string, knownVersion: number): Promise<PeerState | undefined> {
    try {
        const res = await request(`http://${address}${peerStatePath}?known=${knownVersion}`, {
            signal: AbortSignal.timeout(timeoutMs),
            reset: true,
        });
        return res.statusCode === 200 ? parsePeerState(await res.body.text()) : undefined;
    }
    catch {
        // An unreachable peer is asked again or another one is; the caller logs what it took and from whom.
        return undefined;
    }
}
