/**
 * @module
 * Messages between peers, and the transport that carries them.
 */
import type { Member } from "./memberTypes.js";

/** A payload of another component that is piggybacked on a message. */
export interface AttachedPayload {
    /** Name of the attachment. */
    readonly name: string;
    readonly payload: string;
}

/** Asks a member whether it is alive; carries updates and attachments. */
export interface ProbeRequest {
    readonly from: Member;
    /** Hash of the sender's view; equal views have equal hashes. */
    readonly viewHash: string;
    readonly updates: readonly Member[];
    readonly attachments: readonly AttachedPayload[];
}

/** Answer to a probe. */
export interface ProbeAnswer {
    /** Name of the instance that answers; the address may have been reassigned to another instance. */
    readonly instance: string;
    readonly viewHash: string;
    readonly updates: readonly Member[];
    readonly attachments: readonly AttachedPayload[];
}

/** Asks a member to probe another one. */
export interface RelayRequest {
    readonly target: Member;
}

/** Whether the relay reached the target. */
export interface RelayAnswer {
    readonly isReached: boolean;
}

/** Sends messages to peers. `onAnswer` receives undefined when the call failed, and is called at most once. */
export interface PeerTransport {
    readonly probe: (
        address: string,
        req: ProbeRequest,
        onAnswer: (answer: ProbeAnswer | undefined) => void,
    ) => void;
    readonly relay: (
        address: string,
        req: RelayRequest,
        onAnswer: (answer: RelayAnswer | undefined) => void,
    ) => void;
    readonly readMembers: (
        address: string,
        onAnswer: (members: readonly Member[] | undefined) => void,
    ) => void;
}
