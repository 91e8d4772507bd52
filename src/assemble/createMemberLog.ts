/**
 * @module
 * Logs members of the fleet that join, change their state or leave.
 */
import type { FleetInstance } from "../core/fleet/heartbeat.js";
import type { WriteLog } from "../core/logEvents/logEventTable.js";

/**
 * Creates the log of members.
 *
 * @param writeLog - Writes events.
 * @param onGone - Receives the name of a member that has left.
 * @returns A function that receives the members that are live; called often.
 */
export function createMemberLog(
    writeLog: WriteLog,
    onGone: (name: string) => void,
): (live: readonly FleetInstance[]) => void {
    const loggedStates = new Map<string, string>();

    return live => {
        for (const instance of live) {
            const state = `${instance.state} ${instance.startedAtMs}`;
            if (loggedStates.get(instance.name) !== state) {
                loggedStates.set(instance.name, state);
                writeLog("memberChanged", { member: instance.name, state: instance.state });
            }
        }
        const liveNames = new Set(live.map(instance => instance.name));
        for (const name of loggedStates.keys()) {
            if (!liveNames.has(name)) {
                loggedStates.delete(name);
                onGone(name);
                writeLog("memberChanged", { member: name, state: "gone" });
            }
        }
    };
}
