/**
 * @module
 * Messages between instances beside heartbeats: sends them by name, and hands those of live instances to their subjects.
 */
import type { FleetMember } from "../core/fleet/createFleetView.js";
import type { PeerMessage } from "../core/fleet/parseFleetMessage.js";
import type { WriteLog } from "../core/logEvents/logEventTable.js";
import type { PermitMessage } from "../core/permits/permitMessage.js";
import type { QuarantineMessage } from "../core/quarantine/quarantineMessage.js";
import type { QuotaMessage } from "../core/quotas/quotaMessage.js";
import type { SignalMessage } from "../core/signals/signalReport.js";

/** Receivers of messages, by subject. */
export interface PeerMessageReceivers {
    readonly quarantine: (from: string, message: QuarantineMessage) => void;
    readonly permits: (from: string, message: SignalMessage | PermitMessage) => void;
    readonly quotas: (from: string, message: QuotaMessage) => void;
}

/** What the messenger depends on. */
export interface PeerMessengerDependencies {
    readonly listLive: () => readonly FleetMember[];
    /** Sends a message to "ip:port"s. */
    readonly transmit: (addresses: readonly string[], message: PeerMessage) => void;
    readonly receivers: PeerMessageReceivers;
    readonly writeLog: WriteLog;
}

/** The messenger. */
export interface PeerMessenger {
    /** Sends a message to instances by name; those that are not live get none. */
    readonly send: (names: readonly string[], message: PeerMessage) => void;
    /** Receives a message with the "ip:port" of its sender. */
    readonly receive: (message: PeerMessage, address: string) => void;
}

/**
 * Creates the messenger.
 *
 * @param deps - The live instances, the way to them and the receivers.
 * @returns The messenger.
 */
export function createPeerMessenger(deps: PeerMessengerDependencies): PeerMessenger {
    /** Messages count only from addresses at which live instances send heartbeats. */
    function receive(message: PeerMessage, address: string): void {
        const sender = deps.listLive().find(member => member.instance.heartbeatAddress === address);
        if (sender === undefined && "quota" in message) {
            // After a start an instance may ask others before they have heard of it; it asks them again.
            return;
        }
        if (sender === undefined) {
            const [topic] = Object.keys(message);
            deps.writeLog("recordRejected", { topic, detail: `message of ${address}, which is no live instance` });
            return;
        }
        const { name } = sender.instance;
        if ("quarantine" in message) {
            deps.receivers.quarantine(name, message);
        }
        else if ("quota" in message) {
            deps.receivers.quotas(name, message);
        }
        else {
            deps.receivers.permits(name, message);
        }
    }

    function send(names: readonly string[], message: PeerMessage): void {
        const receivers = new Set(names);
        const addresses = deps.listLive()
            .filter(member => receivers.has(member.instance.name))
            .map(member => member.instance.heartbeatAddress);
        deps.transmit(addresses, message);
    }

    return { send, receive };
}
