/**
 * @module
 * Parameters and results of histories in which engines end under requests.
 */
import type { QuarantineChange } from "../../src/core/quarantine/partGuardTypes.js";
import type { Disturbance } from "../support/createModelFleet.js";

/** Where in its prompt a harmful part stands. */
export type PartPosition = "first" | "middle" | "lastShared";

/** A part that ends every engine which begins an answer on it. */
export interface HarmfulPart {
    readonly id: string;
    readonly position: PartPosition;
    /** Fraction of the requests that have it while it occurs. */
    readonly share: number;
}

/** Why engines end in a history without harmful parts. */
export type OtherTrouble =
    | "singleEnds"
    | "someEndAtOnce"
    | "allEndAtOnce"
    | "allEndRepeatedly"
    | "rollingEnds"
    | "lostAnswers"
    | "resetConnections"
    | "endsInBurstOfNewPart";

/** One history. Times are milliseconds from its start. */
export interface HistoryPlan {
    readonly seed: number;
    readonly instances: number;
    readonly engines: number;
    readonly slots: number;
    readonly requestsPerSecond: number;
    readonly harmfulParts: readonly HarmfulPart[];
    readonly trouble: OtherTrouble | undefined;
    /** Whether an engine keeps its id when it starts again. */
    readonly keepsIds: boolean;
    /** Fraction of the messages between instances that are lost. */
    readonly messageLoss: number;
    readonly restarts: number;
    readonly freezes: number;
}

/** Begin and end of the trouble, and end of the history, in milliseconds. */
export const historyTimes = { troubleMs: 6_000, troubleEndMs: 18_000, endMs: 20_000 } as const;

/** A request that reached an engine. */
export interface EngineArrival {
    readonly atMs: number;
    readonly instance: string;
    readonly parts: readonly string[];
}

/** The end of an engine under a harmful part. */
export interface HarmfulEnd {
    readonly atMs: number;
    readonly part: string;
}

/** One request of a caller. */
export interface CallerAttempt {
    readonly atMs: number;
    readonly instance: string;
    readonly parts: readonly string[];
    readonly isFirst: boolean;
    hasBegun: boolean;
}

/** A change of an instance's quarantine, or a judgement. */
export interface RecordedChange extends QuarantineChange {
    readonly atMs: number;
    readonly instance: string;
    /** Whether the part is held back since. */
    readonly isHeld: boolean;
}

/** What happened in a history. */
export interface QuarantineHistory {
    readonly plan: HistoryPlan;
    readonly arrivals: readonly EngineArrival[];
    readonly ends: readonly HarmfulEnd[];
    readonly attempts: readonly CallerAttempt[];
    readonly disturbances: readonly Disturbance[];
    readonly changes: readonly RecordedChange[];
    /** Number of engines that ended for any reason. */
    readonly endedEngines: number;
}
