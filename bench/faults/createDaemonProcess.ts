/**
 * @module
 * Starts, pauses and stops one daemon as a separate process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";

/** One daemon of a fault run over all incarnations of its process. */
export interface DaemonProcess {
    readonly callerAddress: string;
    readonly peerAddress: string;
    /** Incarnation of its process, from 1. */
    readonly incarnation: () => number;
    readonly isRunning: () => boolean;
    /** Starts the next incarnation; returns milliseconds from listening to ready, undefined when not ready in time. */
    readonly start: () => Promise<number | undefined>;
    readonly signal: (signal: "SIGSTOP" | "SIGCONT" | "SIGKILL" | "SIGTERM") => void;
    /** Resolves when the process has exited. */
    readonly waitForExit: () => Promise<void>;
}

const readyTimeoutMs = 10_000;
const pollIntervalMs = 10;

async function isReady(address: string): Promise<boolean | undefined> {
    try {
        const res = await fetch(`http://${address}/readyz`, { signal: AbortSignal.timeout(1_000) });
        await res.arrayBuffer();
        return res.status === 200;
    }
    catch {
        return undefined;
    }
}

/** Waits until the address is ready; returns the milliseconds since its first answer of any status. */
async function waitUntilReady(address: string): Promise<number | undefined> {
    const endMs = performance.now() + readyTimeoutMs;
    let listeningMs: number | undefined;
    while (performance.now() < endMs) {
        const ready = await isReady(address);
        if (ready !== undefined) {
            listeningMs ??= performance.now();
        }
        if (ready === true) {
            return performance.now() - listeningMs!;
        }
        await delay(pollIntervalMs);
    }
    return undefined;
}

/**
 * Creates a daemon process; it is not started yet.
 *
 * @param flags - Flags of the daemon, its two addresses included.
 * @param environment - Environment variables that hold its secrets.
 * @param addresses - Its addresses.
 * @param writeError - Receives what the process writes to stderr.
 * @returns The daemon.
 */
export function createDaemonProcess(
    flags: readonly string[],
    environment: Readonly<Record<string, string>>,
    addresses: { readonly callerAddress: string; readonly peerAddress: string; },
    writeError: (text: string) => void,
): DaemonProcess {
    let child: ChildProcess | undefined;
    let incarnation = 0;
    let exited: Promise<void> = Promise.resolve();

    function start(): Promise<number | undefined> {
        incarnation += 1;
        const started = spawn(process.execPath, ["dist/src/daemon.js", ...flags], {
            env: { ...process.env, ...environment },
            stdio: ["ignore", "ignore", "pipe"],
        });
        child = started;
        started.stderr.on("data", (chunk: Buffer) => writeError(chunk.toString()));
        exited = new Promise(resolve =>
            started.on("exit", () => {
                if (child === started) {
                    child = undefined;
                }
                resolve();
            })
        );
        return waitUntilReady(addresses.callerAddress);
    }

    return {
        ...addresses,
        incarnation: () => incarnation,
        isRunning: () => child !== undefined,
        start,
        signal: signal => child?.kill(signal),
        waitForExit: () => exited,
    };
}
