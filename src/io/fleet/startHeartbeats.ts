/**
 * @module
 * Sends and receives heartbeats as datagrams.
 */
import { createSocket } from "node:dgram";
import type { Heartbeat } from "../../core/fleet/heartbeat.js";
import { parseHeartbeat } from "../../core/fleet/heartbeat.js";
import type { CancelTimer, Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";

/** Options of {@link startHeartbeats}. */
export interface StartHeartbeatsOptions {
    readonly clock: Clock;
    readonly host: string;
    readonly port: number;
    readonly intervalMs: number;
    /** Returns the heartbeat to send. */
    readonly compose: () => Heartbeat;
    readonly chooseTargets: () => readonly string[];
    readonly onHeartbeat: (heartbeat: Heartbeat) => void;
    readonly onMalformed: (detail: string) => void;
}

/** The running exchange of heartbeats. */
export interface Heartbeats {
    /** Sends a heartbeat now, for updates that must not wait for the interval. */
    readonly sendNow: () => void;
    readonly stop: () => void;
}

/**
 * Starts the exchange of heartbeats.
 *
 * @param options - The addresses, and the source and receiver of heartbeats.
 * @returns The running exchange.
 */
export function startHeartbeats(options: StartHeartbeatsOptions): Heartbeats {
    const socket = createSocket("udp4");
    let stopSending: CancelTimer = () => undefined;
    let isStopped = false;

    function sendAll(): void {
        const message = Buffer.from(JSON.stringify(options.compose()));
        for (const target of options.chooseTargets()) {
            const [host, port] = target.split(":");
            // A datagram that cannot be sent counts as lost; receivers tolerate some loss.
            socket.send(message, Number(port), host, () => undefined);
        }
    }

    function sendNow(): void {
        if (!isStopped) {
            sendAll();
        }
    }

    socket.on("message", message => {
        const heartbeat = parseHeartbeat(message.toString());
        if (heartbeat === undefined) {
            options.onMalformed(message.toString("utf8", 0, 80));
            return;
        }
        options.onHeartbeat(heartbeat);
    });
    socket.on("error", err => options.onMalformed(err.message));
    socket.bind(options.port, options.host, () => {
        if (!isStopped) {
            sendAll();
            stopSending = repeatEvery(options.clock, options.intervalMs, sendAll);
        }
    });
    return {
        sendNow,
        stop: () => {
            isStopped = true;
            stopSending();
            socket.close();
        },
    };
}
