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
    /** What the platform says to allow the process; the program's default values if left out. */
    readonly limits?: ProcessSettings;
}

/** What a settings file says to allow a process. */
export interface ProcessSettings {
    readonly memoryMb: number;
    readonly maxDescriptors: number;
}

/** Ports of an instance, as offsets from its first one. */
export const portOffsets = { caller: 0, readiness: 1, peer: 2, directory: 3, heartbeat: 4, last: 9 } as const;

/** Time from the order to stop until the platform kills a process, in seconds. */
export const graceSeconds = 8;

/** Bounds that differ between deployments. */
export interface InstanceBounds {
    /** Time within which an upstream that leaves gets no more requests, in milliseconds. */
    readonly drainMs: number;
    /** Time without disturbance after which an instance has to keep every promise again, in milliseconds. */
    readonly stableWindowMs: number;
    /** Time after which a configuration is in force everywhere, in milliseconds. */
    readonly configurationMs: number;
    /** Time after which a newer version must be used by all requests, in milliseconds. */
    readonly versionLimitMs: number;
    /** Retries of a service that are allowed in any case. */
    readonly retrySlack: number;
}

/** Bounds of deployments of few instances. */
export const defaultBounds: InstanceBounds = {
    drainMs: 2_000,
    stableWindowMs: 3_000,
    configurationMs: 2_000,
    versionLimitMs: 8_000,
    retrySlack: 56,
};

/** Bounds of deployments of many instances. */
export const grownBounds: InstanceBounds = {
    drainMs: 3_000,
    stableWindowMs: 4_000,
    configurationMs: 3_000,
    versionLimitMs: 10_000,
    retrySlack: 220,
};

/**
 * Describes the settings file of an instance.
 *
 * @param place - Where it is.
 * @param bounds - The deployment's bounds.
 * @returns The content of the file, before it is encoded.
 */
export function describePlatformSettings(place: InstancePlace, bounds = defaultBounds): unknown {
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
            drain_ms: bounds.drainMs,
            stable_window_ms: bounds.stableWindowMs,
            grace_s: graceSeconds,
            config_ms: bounds.configurationMs,
            lease_ms: 3_000,
            version_ms: bounds.versionLimitMs,
            retry_ratio: 0.2,
            retry_slack: bounds.retrySlack,
            budget_window_s: 10,
            ttl_max_s: 5,
        },
        platform: { address: place.storeAddress },
        ...(place.limits === undefined
            ? {}
            : { limits: { memory_mb: place.limits.memoryMb, max_fds: place.limits.maxDescriptors } }),
    };
}
