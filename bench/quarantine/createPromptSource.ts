/**
 * @module
 * Prompts of three shared parts, from one that a quarter of the requests have to rare ones, and a part of their own.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { PartPosition } from "./quarantineTypes.js";

/** Numbers of different parts at the three places. */
const variants = [4, 30, 400] as const;

/** A burst of requests with a part that no request had before. */
export interface NewPartBurst {
    readonly id: string;
    readonly position: PartPosition;
    readonly share: number;
}

const indexes: Readonly<Record<PartPosition, number>> = { first: 0, middle: 1, lastShared: 2 };

/** Source of prompts. */
export interface PromptSource {
    /** Draws the shared parts of a prompt. */
    readonly draw: () => readonly string[];
    /** Puts a part into a prompt in place of the one that stands there. */
    readonly put: (parts: readonly string[], id: string, position: PartPosition) => readonly string[];
    readonly startBurst: (burst: NewPartBurst) => void;
}

/** Creates a source. */
export function createPromptSource({ random }: VirtualClock): PromptSource {
    let burst: NewPartBurst | undefined;

    function put(parts: readonly string[], id: string, position: PartPosition): readonly string[] {
        return parts.with(indexes[position], id);
    }

    return {
        draw: () => {
            // Rare parts are rarer still towards the end of their list.
            const parts = variants.map((count, place) => `part-${place}-${Math.floor(random() ** 2 * count)}`);
            return burst !== undefined && random() < burst.share ? put(parts, burst.id, burst.position) : parts;
        },
        put,
        startBurst: started => {
            burst = started;
        },
    };
}
