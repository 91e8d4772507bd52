/**
 * @module
 * Follows the platform's list of instances, which lags and may be out of reach.
 */
import { millisecondsPerSecond } from "../../core/constants.js";
import type { ListedInstance, ReadInstances } from "../../core/ports/platformPort.js";
import type { Clock } from "../../core/time/clock.js";

/** The list as last read. */
export interface InstanceListFollower {
    readonly current: () => readonly ListedInstance[];
    readonly stop: () => void;
}

/** What following needs. */
export interface InstanceListDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    /** Undefined when the instance has no setting for the list. */
    readonly readInstances: ReadInstances | undefined;
    /** Instances that read the list and share what they find. */
    readonly countInstances: () => number;
    readonly onRead: (instances: readonly ListedInstance[]) => void;
}

/** Mean time between two reads of the whole fleet; bounds the load on the platform. */
const fleetReadIntervalMs = 250;

/**
 * Starts following. In a larger fleet each instance reads the list less often and learns the rest from its peers.
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
