/**
 * @module
 * The place of a process of an instance that runs alone.
 */
import type { InstancePlace } from "../../bench/support/platformSettings.js";

/** Where a lone instance is. */
export interface LonePlaceOptions {
    /** Last part of its address; apart for processes that may run beside each other. */
    readonly lastOctet: number;
    readonly firstPort: number;
    readonly storeAddress: string;
}

/** Places an instance on a loopback network that differs from run to run. */
export function placeLoneInstance({ lastOctet, firstPort, storeAddress }: LonePlaceOptions): InstancePlace {
    const network = `127.${10 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
    return {
        name: "entry-1",
        failureDomain: "north",
        ip: `${network}.${lastOctet}`,
        firstPort,
        seeds: [],
        storeAddress,
    };
}
