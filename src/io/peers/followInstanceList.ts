/**
 * @module
 * Polls the platform's list of instances, which may be outdated or unreachable.
 */
import { millisecondsPerSecond } from "../../core/constants.js";
import type { ListedInstance, ReadInstances } from "../../core/ports/platformPort.js";
import type { Clock } from "../../core/time/clock.js";

/** The most recently read list. */
export interface InstanceListFollower {
    readonly current: () => readonly ListedInstance[];
    readonly stop: () => void;
}

/** Dependencies of {@link followInstanceList}. */
export interface InstanceListDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    /** Undefined when the instance has no setting for the list. */
    readonly readInstances: ReadInstances | undefined;
    /** Returns how many instances read the list and share what they find. */
    readonly countInstances: () => number;
    readonly onRead: (instances: readonly ListedInstance[]) => void;
}

/** Mean time between two reads by any instance of the fleet; limits the load on the platform. */
const fleetReadIntervalMs = 250;

/**
 * Starts polling. In a larger fleet each instance reads the list less often and receives the rest from its peers.
 *
 * @param dependencies - The reader and the clock.
 * @returns The follower.
 */
export function followInstanceList(dependencies: InstanceListDependencies): InstanceListFollower {
    const { clock, readInstances } = dependencies;
    let instances: readonly ListedInstance[] = [];
    let isStopped = false;
    let cancel: () => void = () => undefined;

    async function read(): Promise<void> {
        const result = await readInstances!();
        if (isStopped) {
            return;
        }
        if (result.isOk) {
            instances = result.value;
            dependencies.onRead(instances);
        }
        const periodMs = Math.max(millisecondsPerSecond, dependencies.countInstances() * fleetReadIntervalMs);
        const spread = 0.5 + dependencies.random();
        cancel = clock.after(result.isOk ? periodMs * spread : millisecondsPerSecond, () => void read());
    }

    if (readInstances !== undefined) {
        void read();
    }
    return {
        current: () => instances,
        stop: () => {
            isStopped = true;
            cancel();
        },
    };
}
