/**
 * @module
 * Watches what a process holds while others do something to it.
 */
import { readdirSync, readFileSync } from "node:fs";
import { readUnreadBytes } from "./readUnreadBytes.js";

/** The most that a process has held. */
export interface ProcessPeaks {
    readonly descriptors: number;
    /** Resident memory, with the bytes that had arrived at its address by then and were not read. */
    readonly heldBytes: number;
    /** The unread bytes at the moment of the largest sum. */
    readonly unreadBytes: number;
}

/** The watch. */
export interface ProcessWatch {
    readonly peaks: () => ProcessPeaks;
    readonly stop: () => void;
}

/** Interval between two looks, in milliseconds. */
const watchIntervalMs = 50;

const bytesPerKilobyte = 1_024;

function readStatusBytes(pid: number, field: "VmRSS" | "VmHWM"): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(new RegExp(`^${field}:\\s+(\\d+) kB`, "m").exec(status)?.[1] ?? 0) * bytesPerKilobyte;
}

/**
 * Starts to watch a process.
 *
 * @param pid - Id of the process.
 * @param ip - Its address.
 * @returns The watch; the peak of resident memory alone is the system's, and misses nothing between two looks.
 */
export function watchProcess(pid: number, ip: string): ProcessWatch {
    let peaks: ProcessPeaks = { descriptors: 0, heldBytes: 0, unreadBytes: 0 };

    function look(): void {
        const descriptors = Math.max(peaks.descriptors, readdirSync(`/proc/${pid}/fd`).length);
        const unreadBytes = readUnreadBytes(ip);
        const heldBytes = readStatusBytes(pid, "VmRSS") + unreadBytes;
        peaks = heldBytes > peaks.heldBytes ? { descriptors, heldBytes, unreadBytes } : { ...peaks, descriptors };
    }

    const timer = setInterval(() => {
        try {
            look();
        }
        catch {
            // The process has ended.
            clearInterval(timer);
        }
    }, watchIntervalMs);
    return {
        peaks: () => ({ ...peaks, heldBytes: Math.max(peaks.heldBytes, readStatusBytes(pid, "VmHWM")) }),
        stop: () => clearInterval(timer),
    };
}
