/**
 * @module
 * Settings files of instances that run as processes on loopback, each on an address of its own.
 */

/** Where an instance and its surroundings are. */
export interface InstancePlace {
    readonly name: string;
    readonly failureDomain: string;
    readonly ip: string;
    /** First of the ports that the instance uses; they are the same for all instances. */
    readonly firstPort: number;
    /** Addresses of some instances. */
    readonly seeds: readonly string[];
    readonly storeAddress: string;
}

/** Ports of an instance, as offsets from its first one. */
export const portOffsets = { caller: 0, readiness: 1, peer: 2, directory: 3, heartbeat: 4, last: 9 } as const;

/** Time from the order to stop until the platform kills a process, in seconds. */
export const graceSeconds = 8;

/** Time after which a newer version must be used by all requests, in milliseconds. */
export const versionLimitMs = 8_000;

/**
 * Describes the settings file of an instance.
 *
 * @param place - Where it is.
 * @returns The content of the file, before it is encoded.
 */
export function describePlatformSettings(place: InstancePlace): unknown {
    const { ip, firstPort } = place;
    const portOf = (offset: number) => firstPort + offset;
    return {
        node_name: place.name,
        ip,
        zone: place.failureDomain,
        region: "region",
        listen: {
            front: `${ip}:${portOf(portOffsets.caller)}`,
            ready: `${ip}:${portOf(portOffsets.readiness)}`,
            control: `${ip}:${portOf(portOffsets.peer)}`,
            directory: `${ip}:${portOf(portOffsets.directory)}`,
        },
        port_range: [portOf(portOffsets.heartbeat), portOf(portOffsets.last)],
        seeds: place.seeds.map(seed => `${seed}:${portOf(portOffsets.peer)}`),
        bounds: {
            drain_ms: 2_000,
            stable_window_ms: 3_000,
            grace_s: graceSeconds,
            config_ms: 2_000,
            lease_ms: 3_000,
            version_ms: versionLimitMs,
            retry_ratio: 0.2,
            retry_slack: 56,
            budget_window_s: 10,
            ttl_max_s: 5,
        },
        platform: { address: place.storeAddress },
    };
}
