/**
 * @module
 * Collects and dispatches the payloads that are piggybacked on peer messages, within a byte limit for each message.
 */
import type { PeerAttachment } from "./peerAttachment.js";
import type { AttachedPayload } from "./peerMessages.js";

/** Collects payloads for a message to send, and dispatches those of a received one. */
export interface AttachmentExchange {
    readonly collect: (peer: string) => readonly AttachedPayload[];
    readonly receive: (peer: string, payloads: readonly AttachedPayload[]) => void;
}

/** Maximum total size of the attachments of one message. */
export const maxAttachmentBytes = 1024;

/**
 * Creates the exchange. Attachments are collected in round-robin order, so that a large payload of one does not
 * starve the others.
 *
 * @param attachments - The attachments, with unique names.
 * @returns The exchange.
 * @example
 * createAttachmentExchange([limitsAttachment]).collect("entry-2");
 */
export function createAttachmentExchange(attachments: readonly PeerAttachment[]): AttachmentExchange {
    let turn = 0;

    function collect(peer: string): readonly AttachedPayload[] {
        const payloads: AttachedPayload[] = [];
        let remainingBytes = maxAttachmentBytes;
        for (let index = 0; index < attachments.length; index += 1) {
            const attachment = attachments[(turn + index) % attachments.length]!;
            const payload = attachment.collect(peer, remainingBytes);
            const bytes = payload === undefined ? 0 : Buffer.byteLength(payload);
            if (payload !== undefined && bytes <= remainingBytes) {
                payloads.push({ name: attachment.name, payload });
                remainingBytes -= bytes;
            }
        }
        turn += 1;
        return payloads;
    }

    function receive(peer: string, payloads: readonly AttachedPayload[]): void {
        for (const { name, payload } of payloads) {
            attachments.find(one => one.name === name)?.receive(peer, payload);
        }
    }

    return { collect, receive };
}
