/**
 * @module
 * How often heartbeats are sent, to how many instances, and when an instance counts as failed. In a small fleet each
 * heartbeat goes to all instances. In a larger one it goes to a few and relays when the others were last seen; then the
 * interval grows with the fleet, so that the bytes of an instance do not.
 */

/** Plan of an instance's heartbeats. */
export interface HeartbeatPlan {
    /** Instances to which each heartbeat is sent. */
    readonly fanOut: number;
    readonly intervalMs: number;
    /** Time without a sign after which an instance counts as failed, in milliseconds. */
    readonly timeoutMs: number;
    /** Bytes for the loads of upstreams in each heartbeat, and bytes that the whole heartbeat should not exceed. */
    readonly loadBytes: number;
    readonly maxBytes: number;
}

/** Interval of heartbeats in a small fleet, in milliseconds. */
export const heartbeatIntervalMs = 300;

/** Largest number of other instances to which each heartbeat is sent. */
export const maxDirectPeers = 14;

/** Instances to which each heartbeat is sent in a larger fleet. */
const relayingFanOut = 4;

/** Bytes that the heartbeats of an instance may take in a larger fleet. */
const bytesPerMs = 10;

/** Bytes that the loads of upstreams may take beside them, and bytes of both together. */
const loadBytesPerMs = 2;
const maxBytesPerMs = 12;

/** Bytes of a heartbeat beside the ages: the sender and the target weights. The few cache stores take room from the loads. */
const baseBytes = 880;

/** Bytes of an instance's age in a heartbeat. */
const bytesPerAge = 6.7;

/** Time-out in a small fleet: four heartbeats lost in a row, in milliseconds. */
const directTimeoutMs = 1_300;

/** Shortest time-out where the last sign of an instance is relayed by others, in milliseconds. */
const minRelayedTimeoutMs = 3_000;

/** Time-out as a multiple of the interval: a sign takes some intervals from instance to instance. */
const relayedTimeoutIntervals = 6.5;

/**
 * Plans heartbeats.
 *
 * @param peers - Number of other instances.
 * @returns The plan.
 * @example
 * planHeartbeats(7); // { fanOut: 14, intervalMs: 300, timeoutMs: 1_300, loadBytes: 0, maxBytes: 0 }
 */
export function planHeartbeats(peers: number): HeartbeatPlan {
    if (peers <= maxDirectPeers) {
        return {
            fanOut: maxDirectPeers,
            intervalMs: heartbeatIntervalMs,
            timeoutMs: directTimeoutMs,
            loadBytes: 0,
            maxBytes: 0,
        };
    }
    const messageBytes = baseBytes + peers * bytesPerAge;
    const intervalMs = Math.max(heartbeatIntervalMs, relayingFanOut * messageBytes / bytesPerMs);
    const timeoutMs = Math.max(minRelayedTimeoutMs, intervalMs * relayedTimeoutIntervals);
    const loadBytes = Math.floor(loadBytesPerMs * intervalMs / relayingFanOut);
    const maxBytes = Math.floor(maxBytesPerMs * intervalMs / relayingFanOut);
    return { fanOut: relayingFanOut, intervalMs, timeoutMs, loadBytes, maxBytes };
}
