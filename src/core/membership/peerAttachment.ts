/**
 * @module
 * Small payloads of other subjects that ride on the messages between peers.
 */

/** A subject that rides on the messages between peers. */
export interface PeerAttachment {
    /** Name of the subject, unique among attachments. */
    readonly name: string;
    /** Payload for a peer, at most `maxBytes` bytes; undefined when there is nothing to say. */
    readonly collect: (peer: string, maxBytes: number) => string | undefined;
    /** Takes a payload that a peer attached. */
    readonly receive: (peer: string, payload: string) => void;
}
