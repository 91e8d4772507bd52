/**
 * @module
 * Transport of membership messages over tRPC.
 */
import type { PeerTransport } from "../../core/membership/peerMessages.js";
import type { PeerClients } from "./createPeerClient.js";

function deliverAnswer<T>(call: Promise<T>, onAnswer: (answer: T | undefined) => void): void {
    call.then(onAnswer, () => onAnswer(undefined));
}

/**
 * Creates the transport.
 *
 * @param clients - Clients of the peers.
 * @returns The transport.
 */
export function createPeerTransport(clients: PeerClients): PeerTransport {
    return {
        probe: (address, req, onAnswer) => deliverAnswer(clients.connect(address).peer.probe.mutate(req), onAnswer),
        relay: (address, req, onAnswer) => deliverAnswer(clients.connect(address).peer.relay.mutate(req), onAnswer),
        readMembers: (address, onAnswer) => deliverAnswer(clients.connect(address).peer.members.query(), onAnswer),
    };
}
