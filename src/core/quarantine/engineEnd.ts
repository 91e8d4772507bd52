/**
 * @module
 * The end of an engine's process, and the requests that may have caused it.
 */

/** A request that was in progress on an engine when it ended. */
export interface ImplicatedRequest {
    readonly id: string;
    /** Ids of the prompt's parts that other requests may share, from its start. */
    readonly parts: readonly string[];
    /** Whether an event of its answer had arrived. */
    readonly hasEvents: boolean;
    /** Whether it was sent to see whether its engine ends. */
    readonly isProbe: boolean;
}

/** The end of one process of an engine, as seen by one instance or by several. */
export interface EngineEnd {
    readonly engine: string;
    /** Start of the process in Unix milliseconds; an engine may start again under its id. */
    readonly startedAtMs: number;
    /** Requests whose answers had not begun, or only a moment before. */
    readonly requests: readonly ImplicatedRequest[];
}
