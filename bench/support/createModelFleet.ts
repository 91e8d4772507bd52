/**
 * @module
 * Modelled instances that are restarted and paused.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";

/** An instance. */
export interface FleetInstanceModel {
    readonly name: string;
    readonly freezeFor: (durationMs: number) => void;
    /** Ends the process. */
    readonly stop: () => void;
}

/** A span in which an instance was restarted, paused or cut. */
export interface Disturbance {
    readonly instance: string;
    readonly fromMs: number;
    readonly toMs: number;
}

/** The instances. */
export interface ModelFleet<T extends FleetInstanceModel> {
    /** Undefined while an instance is being restarted. */
    readonly instances: readonly (T | undefined)[];
    readonly drawIndex: () => number;
    /** Restarts one of them. */
    readonly restart: () => void;
    /** Pauses one of them. */
    readonly freeze: () => void;
    readonly record: (disturbance: Disturbance) => void;
    readonly disturbances: readonly Disturbance[];
}

/** Options of {@link createModelFleet}. Ranges are in milliseconds. */
export interface ModelFleetOptions<T> {
    readonly names: readonly string[];
    readonly create: (name: string) => T;
    readonly restartDelaysMs: readonly [number, number];
    readonly freezeDurationsMs: readonly [number, number];
}

/** Creates the instances. */
export function createModelFleet<T extends FleetInstanceModel>(
    clock: VirtualClock,
    options: ModelFleetOptions<T>,
): ModelFleet<T> {
    const { random } = clock;
    const between = ([from, to]: readonly [number, number]) => from + random() * (to - from);
    const instances: (T | undefined)[] = options.names.map(options.create);
    const disturbances: Disturbance[] = [];
    const drawIndex = () => Math.floor(random() * instances.length);

    function recordFor(instance: string, durationMs: number): void {
        disturbances.push({ instance, fromMs: clock.now(), toMs: clock.now() + durationMs });
    }

    function restart(): void {
        const index = drawIndex();
        const instance = instances[index];
        if (instance === undefined) {
            return;
        }
        instance.stop();
        instances[index] = undefined;
        const downMs = between(options.restartDelaysMs);
        recordFor(instance.name, downMs);
        clock.after(downMs, () => {
            instances[index] = options.create(instance.name);
        });
    }

    function freeze(): void {
        const instance = instances[drawIndex()];
        if (instance !== undefined) {
            const durationMs = between(options.freezeDurationsMs);
            instance.freezeFor(durationMs);
            recordFor(instance.name, durationMs);
        }
    }

    return {
        instances,
        drawIndex,
        restart,
        freeze,
        record: disturbance => {
            disturbances.push(disturbance);
        },
        disturbances,
    };
}
