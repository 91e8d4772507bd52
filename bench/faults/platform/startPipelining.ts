/**
 * @module
 * Callers that send many short requests on a connection without waiting for answers, and read late or not at all. They are
 * a load beside the others: what they get is not judged.
 */
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { drawPieceSize } from "../../../fakes/cutPieces.js";
import { writeSegments } from "../../../fakes/sendEndless.js";

/** An instance's addresses, as "ip:port". */
export interface PipeliningTarget {
    readonly caller: string;
    readonly metrics: string;
}

/** Options of {@link startPipelining}. */
export interface PipeliningOptions {
    readonly targets: readonly PipeliningTarget[];
    readonly host: string;
    readonly key: string;
    /** Path of a plain route. */
    readonly path: string;
    readonly random: () => number;
}

/** The running callers. */
export interface Pipelining {
    readonly stop: () => Promise<void>;
}

const maxRequests = 1_000;

/** Longest time without reading, and time until a connection is closed, in milliseconds. */
const maxUnreadMs = 3_000;
const closeAfterMs = 4_000;
const pauseMs = 200;

const metricsShare = 0.3;
const unknownShare = 0.5;

/** Starts callers that use one connection at a time. */
export function startPipelining(options: PipeliningOptions): Pipelining {
    const { targets, host, key, path, random } = options;
    let isStopped = false;
    let sent = 0;

    function formatRequest(prefix: string): string {
        sent += 1;
        const lines = [`host: ${host}`, `attempt-id: pipelined-${process.pid}-${sent}`, `authorization: Bearer ${key}`];
        return `POST ${prefix}${sent} HTTP/1.1\r\n${lines.join("\r\n")}\r\ncontent-length: 6\r\n\r\nletter`;
    }

    async function useConnection(): Promise<void> {
        const target = targets[Math.floor(random() * targets.length)]!;
        const asksForMetrics = random() < metricsShare;
        const prefix = random() < unknownShare ? "/unknown/" : path;
        const count = Math.ceil(random() ** 2 * maxRequests);
        const requests = Array.from(
            { length: count },
            () => asksForMetrics ? `GET /metrics HTTP/1.1\r\nhost: ${host}\r\n\r\n` : formatRequest(prefix),
        );
        const [ip, port] = (asksForMetrics ? target.metrics : target.caller).split(":");
        const socket = connect(Number(port), ip);
        socket.on("error", () => undefined);
        socket.pause();
        const unreadMs = random() * maxUnreadMs;
        const written = writeSegments(socket, requests.join(""), drawPieceSize(random), random, 1);
        await delay(unreadMs);
        socket.resume();
        await Promise.race([written, delay(closeAfterMs - unreadMs)]);
        socket.destroy();
        await delay(pauseMs);
    }

    async function run(): Promise<void> {
        while (!isStopped) {
            await useConnection();
        }
    }
    const running = run();
    return {
        stop: () => {
            isStopped = true;
            return running;
        },
    };
}
