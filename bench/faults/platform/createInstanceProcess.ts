/**
 * @module
 * An address at which processes of an instance are started, signalled and watched, one after the other or overlapping.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import {
    defaultBounds,
    describePlatformSettings,
    graceSeconds,
    type InstanceBounds,
    type InstancePlace,
    portOffsets,
} from "../../support/platformSettings.js";
import type { LogPipes, LogReader } from "./createLogPipes.js";
import { limitProcessor, type ProcessorLimit } from "./limitProcessor.js";
import { readSharedClock } from "./readSharedClock.js";
import type { LifeRecord } from "./stopTypes.js";

/** The address and its processes. */
export interface InstanceProcess {
    readonly callerAddress: string;
    readonly directoryAddress: string;
    readonly lives: readonly LifeRecord[];
    /** Connections that were refused although the instance reported to be ready. */
    readonly refusedWhileReady: readonly string[];
    /** Starts a process, also while an earlier one still runs. */
    readonly start: () => void;
    /**
     * Sends a signal to the process that was started last, if it runs. SIGHUP waits until the process receives signals:
     * before, Node.js itself starts, and nothing that the process does could keep it.
     */
    readonly signal: (name: "SIGTERM" | "SIGHUP") => void;
    readonly isReady: () => Promise<boolean>;
    /** Id of the process that was started last; undefined before the first. */
    readonly pid: () => number | undefined;
    /** Resolves when the process that was started last has ended. */
    readonly ended: () => Promise<void>;
    /** Stops watching and kills what runs. */
    readonly stop: () => Promise<void>;
}

interface Life {
    readonly child: ChildProcess;
    readonly record: LifeRecord;
    readonly ended: Promise<void>;
}

const defaultWatchIntervalMs = 100;
const signalPollMs = 5;
const readinessTimeoutMs = 1_000;
const millisecondsPerSecond = 1_000;

/** Bit of SIGHUP in the masks of signals of a process. */
const hangupBit = 1n;

/** Returns the most memory that a process has held, in kilobytes; undefined when it has ended. */
function readPeakMemoryKb(pid: number): number | undefined {
    try {
        const stated = /^VmHWM:\s*(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
        return stated === undefined ? undefined : Number(stated);
    }
    catch {
        // The process has ended.
        return undefined;
    }
}

/** Returns whether a process has a handler for SIGHUP. */
export function receivesHangup(pid: number): boolean {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        const mask = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)/m.exec(status)?.[1] ?? "0"}`);
        return (mask & hangupBit) !== 0n;
    }
    catch {
        // The process has ended.
        return false;
    }
}

function canConnect(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect(Number(port), host);
        socket.on("connect", () => {
            socket.destroy();
            resolve(true);
        });
        socket.on("error", () => resolve(false));
    });
}

/** What {@link createInstanceProcess} may be told beside the place and the program. */
export interface InstanceProcessOptions {
    /** File to which the processes append their logs; undefined if they are not kept. */
    readonly logPath?: string | undefined;
    /** Logs that are not read at once, and the choice among them for each process, counted from 0; closed with the address. */
    readonly logPipes?: { readonly pipes: LogPipes; readonly chooseReader: (life: number) => LogReader; } | undefined;
    readonly bounds?: InstanceBounds;
    /** Time between two questions whether the instance is ready, in milliseconds. */
    readonly watchIntervalMs?: number;
    /** Undefined if its processes may run all the time. */
    readonly processorLimit?: ProcessorLimit | undefined;
    /** Called when a process has been told to stop or to read its settings again. */
    readonly onOrder?: () => void;
}

/**
 * Prepares an address; no process is started yet.
 *
 * @param place - The instance's settings.
 * @param settingsPath - File for the settings.
 * @param command - Arguments of Node.js that run the program.
 * @param options - Logs, bounds, and how often it is watched.
 * @returns The address.
 */
export function createInstanceProcess(
    place: InstancePlace,
    settingsPath: string,
    command: readonly string[],
    options: InstanceProcessOptions = {},
): InstanceProcess {
    const { logPath, logPipes, bounds = defaultBounds, watchIntervalMs = defaultWatchIntervalMs } = options;
    const { processorLimit, onOrder } = options;
    writeFileSync(settingsPath, JSON.stringify(describePlatformSettings(place, bounds)));
    const addressOf = (offset: number) => `${place.ip}:${place.firstPort + offset}`;
    const callerAddress = addressOf(portOffsets.caller);
    const lives: Life[] = [];
    const refusedWhileReady: string[] = [];
    // Opened before its reader may leave: without a reader, opening a pipe waits for one.
    const fileLog = logPath === undefined ? "ignore" : openSync(logPath, "a");
    let isStopped = false;

    function openLog(): number | "ignore" {
        const reader = logPipes?.chooseReader(lives.length) ?? "file";
        if (logPipes !== undefined && reader !== "file") {
            return logPipes.pipes.openLog(reader);
        }
        return fileLog;
    }

    function start(): void {
        const log = openLog();
        const env = { PATH: process.env["PATH"], HOME: process.env["HOME"], REEDWARD_NODE_FILE: settingsPath };
        const child = spawn(process.execPath, command, { env, stdio: ["ignore", log, "inherit"] });
        if (log !== "ignore" && log !== fileLog) {
            closeSync(log);
        }
        const record: LifeRecord = {
            address: callerAddress,
            startedMs: readSharedClock(),
            readyMs: undefined,
            termMs: undefined,
            hangupsMs: [],
            endedMs: undefined,
            end: undefined,
            peakMemoryKb: undefined,
            longestPauseMs: 0,
        };
        if (processorLimit !== undefined) {
            limitProcessor(child, processorLimit, pausedMs => {
                record.longestPauseMs = Math.max(record.longestPauseMs, pausedMs);
            });
        }
        const ended = new Promise<void>(resolve => {
            child.on("exit", (code, signal) => {
                record.endedMs = readSharedClock();
                record.end = typeof signal === "string" ? `signal ${signal}` : `code ${code}`;
                resolve();
            });
        });
        lives.push({ child, record, ended });
    }

    function signal(name: "SIGTERM" | "SIGHUP"): void {
        const last = lives.at(-1);
        if (last === undefined || last.record.endedMs !== undefined) {
            return;
        }
        if (name === "SIGHUP") {
            void signalOnceReceived(last);
            return;
        }
        last.child.kill(name);
        if (last.record.termMs === undefined) {
            last.record.termMs = readSharedClock();
            onOrder?.();
            setTimeout(() => {
                if (last.record.endedMs === undefined) {
                    last.child.kill("SIGKILL");
                }
            }, graceSeconds * millisecondsPerSecond).unref();
        }
    }

    async function signalOnceReceived({ child, record }: Life): Promise<void> {
        while (record.endedMs === undefined) {
            if (child.pid !== undefined && receivesHangup(child.pid)) {
                child.kill("SIGHUP");
                record.hangupsMs.push(readSharedClock());
                onOrder?.();
                return;
            }
            await delay(signalPollMs);
        }
    }

    async function isReady(): Promise<boolean> {
        try {
            const url = `http://${addressOf(portOffsets.readiness)}/reedward/readiness`;
            const res = await request(url, { reset: true, headersTimeout: readinessTimeoutMs });
            await res.body.dump();
            return res.statusCode === 200;
        }
        catch {
            return false;
        }
    }

    function updatePeakMemory({ child, record }: Life): void {
        if (record.endedMs === undefined && child.pid !== undefined) {
            record.peakMemoryKb = readPeakMemoryKb(child.pid) ?? record.peakMemoryKb;
        }
    }

    async function watch(): Promise<void> {
        while (!isStopped) {
            const life = lives.at(-1);
            lives.forEach(updatePeakMemory);
            if (await isReady()) {
                if (life !== undefined && life.record.termMs === undefined) {
                    life.record.readyMs ??= readSharedClock();
                }
                if (!await canConnect(callerAddress) && await isReady()) {
                    refusedWhileReady.push(callerAddress);
                }
            }
            await delay(watchIntervalMs);
        }
    }
    void watch();

    return {
        callerAddress,
        directoryAddress: addressOf(portOffsets.directory),
        get lives() {
            return lives.map(life => life.record);
        },
        refusedWhileReady,
        start,
        signal,
        isReady,
        pid: () => lives.at(-1)?.child.pid,
        ended: () => lives.at(-1)?.ended ?? Promise.resolve(),
        stop: async () => {
            isStopped = true;
            lives.filter(life => life.record.endedMs === undefined).forEach(life => life.child.kill("SIGKILL"));
            await Promise.all(lives.map(life => life.ended));
            logPipes?.pipes.close();
        },
    };
}
