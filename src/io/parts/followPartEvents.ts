/**
 * @module
 * Follows the change feed of one holder of cached prompt parts.
 */
import type { PartEvent } from "../../core/placement/createPartView.js";
import type { Clock } from "../../core/time/clock.js";
import { repeatStep } from "../_lib/repeatStep.js";

/** A holder of cached prompt parts: an engine, or a cache store. */
export interface PartHolder {
    readonly id: string;
    /** "ip:port". */
    readonly address: string;
    /** Whether requests carry the holder's id, so that another process that reuses its address rejects them. */
    readonly isNamed: boolean;
    /** Maximum number of concurrent reads. */
    readonly maxReaders: number;
    /** Whether all its parts are listed when events were missed. A list holds up the holder's work. */
    readonly isListed: boolean;
}

/** Result of a read. `busy`: too many instances read at the same time. */
export type PartEventsResult =
    | {
        readonly kind: "events";
        /** Changes when the holder restarts. */
        readonly epoch: number;
        /** Sequence number at which the next read continues. */
        readonly next: number;
        /** Whether events before these were missed. */
        readonly hasGap: boolean;
        readonly events: readonly PartEvent[];
    }
    | { readonly kind: "busy"; }
    | { readonly kind: "failed"; readonly reason: string; };

/** Reads events by long polling: waits up to `waitMs` until there are some. */
export type ReadPartEvents = (holder: PartHolder, since: number, waitMs: number) => Promise<PartEventsResult>;

/** Lists all parts of a holder, as events after which the next read continues. */
export type ListParts = (holder: PartHolder) => Promise<PartEventsResult>;

/** Options of {@link followPartEvents}. */
export interface FollowPartEventsOptions {
    readonly holder: PartHolder;
    readonly read: ReadPartEvents;
    readonly list: ListParts;
    readonly clock: Clock;
    readonly onEvents: (events: readonly PartEvent[]) => void;
    /** Called when the holder has restarted or events were missed: its parts are unknown. */
    readonly onReset: () => void;
    /** Called with the number of parts after all were listed. */
    readonly onListed: (parts: number) => void;
    /** Receives what a receiver of events threw; the holder is followed further. */
    readonly onError: (error: unknown) => void;
    /** Called with whether the holder answers. */
    readonly onReachable: (isReachable: boolean) => void;
}

/** Maximum wait of a long poll, in milliseconds. */
const waitMs = 1_000;

/** Delay after events, so that the next ones arrive in a batch, in milliseconds. */
const batchDelayMs = 120;

/** Minimum time between two lists of one holder, in milliseconds; a list holds up the holder's work. */
const minListIntervalMs = 3_000;

/** Delay after a failed read, in milliseconds. */
const retryDelayMs = 500;

/**
 * Starts to follow a holder.
 *
 * @param options - The holder and the receivers of its events.
 * @returns A function that stops following.
 */
export function followPartEvents(options: FollowPartEventsOptions): () => void {
    const { holder, clock } = options;
    let isStopped = false;
    let epoch: number | undefined;
    let since = 0;
    /** Whether the events that were read cover all parts of the holder. */
    let isComplete = !holder.isListed;
    let listAfterMs = -Infinity;

    const pause = (delayMs: number) => new Promise<void>(resolve => clock.after(delayMs, resolve));

    function applyEvents(result: Extract<PartEventsResult, { readonly kind: "events"; }>): void {
        if (result.hasGap || (epoch !== undefined && result.epoch !== epoch)) {
            options.onReset();
        }
        const isFirst = epoch === undefined;
        const isNewEpoch = !isFirst && result.epoch !== epoch;
        isComplete = !holder.isListed || (!result.hasGap && (isFirst || isNewEpoch || isComplete));
        epoch = result.epoch;
        since = result.next;
        if (!isNewEpoch || result.events.length > 0) {
            options.onEvents(result.events);
        }
    }

    /** Events report only changes, so parts that were cached before are listed once. */
    async function listAll(): Promise<void> {
        const result = await options.list(holder);
        if (isStopped || result.kind !== "events") {
            return;
        }
        options.onReset();
        epoch = result.epoch;
        since = result.next;
        isComplete = true;
        options.onEvents(result.events);
        options.onListed(result.events.length);
    }

    async function step(): Promise<void> {
        const result = await options.read(holder, since, waitMs);
        if (isStopped) {
            return;
        }
        options.onReachable(result.kind !== "failed");
        if (result.kind === "events") {
            applyEvents(result);
        }
        if (result.kind === "events" && !isComplete && clock.now() >= listAfterMs) {
            listAfterMs = clock.now() + minListIntervalMs;
            await listAll();
        }
        await pause(result.kind === "events" ? batchDelayMs : retryDelayMs);
    }

    void repeatStep(step, { clock, isStopped: () => isStopped, onError: options.onError });
    return () => {
        isStopped = true;
    };
}
