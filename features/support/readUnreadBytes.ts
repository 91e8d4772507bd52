/**
 * @module
 * Reads how many bytes have arrived at an address and were not read yet: they count toward a process's memory.
 */
import { readFileSync } from "node:fs";

const portPattern = /^\s*\d+: ([0-9A-F]{8}):([0-9A-F]{4}) \S+ \S+ [0-9A-F]{8}:([0-9A-F]{8}) /;
const hexadecimal = 16;

/** Formats an IP version 4 address as /proc does, the last part first. */
function formatAddress(ip: string): string {
    const parts = ip.split(".").map(part => Number(part).toString(hexadecimal).padStart(2, "0"));
    return parts.reverse().join("").toUpperCase();
}

/**
 * Adds up the receive queues of all connections of an address, accepted or not.
 *
 * @param ip - The address, at which one process alone listens.
 * @returns The number of bytes.
 * @example
 * const heldBytes = residentBytes + readUnreadBytes("127.10.1.12");
 */
export function readUnreadBytes(ip: string): number {
    const address = formatAddress(ip);
    let bytes = 0;
    for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n")) {
        const [, local, , queue] = portPattern.exec(line) ?? [];
        // A listener's queue counts connections.
        if (local === address && queue !== undefined && !/ 0A [0-9A-F]{8}:/.test(line)) {
            bytes += Number.parseInt(queue, hexadecimal);
        }
    }
    return bytes;
}
