/**
 * @module
 * Lets a child process run only in a part of each period, as a limit of its processor time does.
 */
import type { ChildProcess } from "node:child_process";
import { readSharedClock } from "./readSharedClock.js";

/** Part of the time in which a process runs. */
export interface ProcessorLimit {
    /** Share of each period, from 0 to 1. */
    readonly share: number;
    /** When its first period begins, in milliseconds. */
    readonly phaseMs: number;
}

/** Period of the limit, in milliseconds. */
export const processorPeriodMs = 100;

/**
 * Begins to limit a process that this one has started; the limit ends with the process.
 *
 * @param child - The process.
 * @param limit - When it runs.
 * @param reportPause - Called with the length of each pause, in milliseconds.
 */
export function limitProcessor(
    child: ChildProcess,
    limit: ProcessorLimit,
    reportPause: (pausedMs: number) => void,
): void {
    const pauseMs = processorPeriodMs * (1 - limit.share);
    let hasEnded = false;

    function resume(pausedAtMs: number): void {
        if (!hasEnded) {
            child.kill("SIGCONT");
            reportPause(readSharedClock() - pausedAtMs);
            setTimeout(pause, processorPeriodMs - pauseMs).unref();
        }
    }

    function pause(): void {
        if (!hasEnded) {
            child.kill("SIGSTOP");
            setTimeout(resume, pauseMs, readSharedClock()).unref();
        }
    }

    child.on("exit", () => {
        hasEnded = true;
    });
    setTimeout(pause, limit.phaseMs).unref();
}
