/**
 * @module
 * Short ids of instances' descriptions, for messages that mention many instances.
 */
import { hashText } from "../_lib/hashText.js";
import type { FleetInstance } from "./heartbeat.js";

/**
 * Derives the id of what an instance says of itself; a new incarnation or state has another one.
 *
 * @param instance - The instance.
 * @returns 32 bits as an unsigned number, the same on all instances.
 * @example
 * deriveDescriptionId(instance) === deriveDescriptionId({ ...instance, state: "leaving" }); // false
 */
export function deriveDescriptionId(
    { name, startedAtMs, state }: Pick<FleetInstance, "name" | "startedAtMs" | "state">,
): number {
    return Number(BigInt.asUintN(32, hashText(`${name} ${startedAtMs} ${state}`)));
}
