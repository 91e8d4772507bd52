/**
 * @module
 * How many bytes of a heartbeat the loads of upstreams may take.
 */
import type { HeartbeatPlan } from "./planHeartbeats.js";

/** Share of their bytes that the loads have in a heartbeat that is long without them. */
const minLoadShare = 0.25;

/**
 * Finds the room for the loads of upstreams in a heartbeat. Descriptions of instances, of which there are many after a start
 * of the whole fleet, take from it.
 *
 * @param plan - The plan.
 * @param ownBytes - Bytes of the heartbeat without the loads.
 * @returns The bytes.
 * @example
 * findLoadBytes(planHeartbeats(7), 800); // 0
 */
export function findLoadBytes({ loadBytes, maxBytes }: HeartbeatPlan, ownBytes: number): number {
    return Math.floor(Math.max(loadBytes * minLoadShare, Math.min(loadBytes, maxBytes - ownBytes)));
}
