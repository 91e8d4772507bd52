/**
 * @module
 * The members of a fleet that take requests.
 */
import type { FleetMember } from "./createFleetView.js";
import type { FleetInstance } from "./heartbeat.js";

/**
 * Lists the instances that take requests, as far as known.
 *
 * @param members - Members of the fleet.
 * @returns Those that are neither starting nor leaving.
 * @example
 * listServing(fleet.listLive()).length > 0;
 */
export function listServing(members: readonly FleetMember[]): readonly FleetInstance[] {
    return members.map(member => member.instance).filter(instance => instance.state === "serving");
}
