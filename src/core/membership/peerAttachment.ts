/**
 * @module
 * Attachments: small payloads of other components that are piggybacked on peer messages.
 */

/** A component that attaches payloads to peer messages. */
export interface PeerAttachment {
    /** Unique name of the attachment. */
    readonly name: string;
    /** Returns the payload for a peer, at most `maxBytes` bytes, or undefined when there is nothing to send. */
    readonly collect: (peer: string, maxBytes: number) => string | undefined;
    /** Applies a payload that a peer attached. */
    readonly receive: (peer: string, payload: string) => void;
}
