/**
 * @module
 * Sends and receives heartbeats, reports of prefills and of loading engines, and other messages of instances, as datagrams.
 */
import { createSocket } from "node:dgram";
import type { Heartbeat } from "../../core/fleet/heartbeat.js";
import type { LoadingReport } from "../../core/fleet/loadingReport.js";
import { type FleetMessage, parseFleetMessage, type PeerMessage } from "../../core/fleet/parseFleetMessage.js";
import type { PrefillReport } from "../../core/fleet/prefillReport.js";
import type { CancelTimer, Clock } from "../../core/time/clock.js";
import type { ListenerGroup } from "../http/createListenerGroup.js";

/** Options of {@link startHeartbeats}. */
export interface StartHeartbeatsOptions {
    readonly clock: Clock;
    readonly host: string;
    readonly port: number;
    /** Receives the socket as one of the instance's listeners. */
    readonly listeners: Pick<ListenerGroup, "add">;
    /** Time until the next heartbeat, in milliseconds. */
    readonly nextIntervalMs: () => number;
    /** Returns the heartbeat to send. */
    readonly compose: () => Heartbeat;
    readonly chooseTargets: () => readonly string[];
    readonly onHeartbeat: (heartbeat: Heartbeat) => void;
    readonly onPrefillReport: (report: PrefillReport) => void;
    readonly onLoadingReport: (report: LoadingReport) => void;
    /** Receives any other message with the "ip:port" of its sender. */
    readonly onPeerMessage: (message: PeerMessage, address: string) => void;
    readonly onMalformed: (detail: string) => void;
}

/** The running exchange of heartbeats. */
export interface Heartbeats {
    /** Sends a heartbeat now, for updates that must not wait for the interval. */
    readonly sendNow: () => void;
    /** Returns the bytes sent to all peers together. */
    readonly sendPrefillReport: (report: PrefillReport) => number;
    /** Sends a report to all the given "ip:port"s. */
    readonly sendReport: (addresses: readonly string[], report: LoadingReport | PeerMessage) => void;
    /** Sends a heartbeat to one "ip:port" in addition to the regular ones. */
    readonly sendTo: (address: string, heartbeat: Heartbeat) => void;
    readonly stop: () => void;
}

/** Maximum length of a malformed message in the log. */
const maxLoggedLength = 80;

/**
 * Starts the exchange of heartbeats.
 *
 * @param options - The addresses, and the source and receiver of heartbeats.
 * @returns The running exchange.
 */
export function startHeartbeats(options: StartHeartbeatsOptions): Heartbeats {
    const socket = createSocket("udp4");
    let cancelNext: CancelTimer = () => undefined;
    let isBound = false;
    let isStopped = false;

    /** Returns the bytes of all messages together. */
    function sendTo(targets: readonly string[], content: FleetMessage): number {
        if (!isBound || isStopped) {
            // An unbound socket would take a port of its own with its first datagram.
            return 0;
        }
        const message = Buffer.from(JSON.stringify(content));
        for (const target of targets) {
            const [host, port] = target.split(":");
            // A datagram that cannot be sent counts as lost; receivers tolerate some loss.
            socket.send(message, Number(port), host, () => undefined);
        }
        return message.length * targets.length;
    }

    function sendHeartbeat(): void {
        sendTo(options.chooseTargets(), options.compose());
    }

    /** An error in one heartbeat does not end them. */
    function sendRepeatedly(): void {
        try {
            sendHeartbeat();
        }
        finally {
            cancelNext = options.clock.after(options.nextIntervalMs(), sendRepeatedly);
        }
    }

    function sendNow(): void {
        if (!isStopped) {
            sendHeartbeat();
        }
    }

    function receive(text: string, address: string): void {
        const message = parseFleetMessage(text);
        if (message === undefined) {
            options.onMalformed(text.slice(0, maxLoggedLength));
        }
        else if ("prefills" in message) {
            options.onPrefillReport(message);
        }
        else if ("loadingBy" in message) {
            options.onLoadingReport(message);
        }
        else if ("from" in message) {
            options.onHeartbeat(message);
        }
        else {
            options.onPeerMessage(message, address);
        }
    }

    socket.on("message", (message, sender) => receive(message.toString(), `${sender.address}:${sender.port}`));
    const listener = options.listeners.add(
        `${options.host}:${options.port}/udp`,
        () => socket.bind(options.port, options.host),
    );
    socket.on("error", err => {
        if (isBound) {
            options.onMalformed(err.message);
            return;
        }
        listener.recordFailed(err);
    });
    socket.on("listening", () => {
        isBound = true;
        listener.recordOpened();
        sendRepeatedly();
    });
    listener.open();
    return {
        sendNow,
        sendPrefillReport: report => sendTo(options.chooseTargets(), report),
        sendReport: sendTo,
        sendTo: (address, heartbeat) => {
            sendTo([address], heartbeat);
        },
        stop: () => {
            isStopped = true;
            cancelNext();
            socket.close();
        },
    };
}
