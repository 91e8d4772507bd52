/**
 * @module
 * Follows the events of one holder of prompt parts.
 */
import type { PartEvent } from "../../core/placement/createPartView.js";
import type { Clock } from "../../core/time/clock.js";

/** Something that keeps prompt parts: an engine, or a store of kept cache. */
export interface PartHolder {
    readonly id: string;
    /** "ip:port". */
    readonly address: string;
    /** Whether calls name the holder, so that another process at its address does not answer. */
    readonly isNamed: boolean;
    /** Reads that it answers at once. */
    readonly maxReaders: number;
    /** Whether all that it keeps is read when its events are not known without a gap. It then holds up its work. */
    readonly isListed: boolean;
}

/** Events since a number. `busy`: too many instances read. */
export type PartEventsResult =
    | {
        readonly kind: "events";
        /** Changes when the holder restarts. */
        readonly epoch: number;
        /** Number from which the next read goes on. */
        readonly next: number;
        /** Whether events before these are missing. */
        readonly hasGap: boolean;
        readonly events: readonly PartEvent[];
    }
    | { readonly kind: "busy"; }
    | { readonly kind: "failed"; readonly reason: string; };

/** Reads events; held back up to `waitMs` until there are some. */
export type ReadPartEvents = (holder: PartHolder, since: number, waitMs: number) => Promise<PartEventsResult>;

/** Reads all that a holder keeps, as events from which the next read goes on. */
export type ListParts = (holder: PartHolder) => Promise<PartEventsResult>;

/** Options of {@link followPartEvents}. */
export interface FollowPartEventsOptions {
    readonly holder: PartHolder;
    readonly read: ReadPartEvents;
    readonly list: ListParts;
    readonly clock: Clock;
    readonly isReader: () => boolean;
    readonly onEvents: (events: readonly PartEvent[]) => void;
    /** The holder has restarted, or too much was missed: nothing is known of it. */
    readonly onReset: () => void;
    /** All that the holder keeps was read: so many parts. */
    readonly onListed: (parts: number) => void;
    /** Whether the holder answers. */
    readonly onReachable: (isReachable: boolean) => void;
}

/** Time for which a read is held back, in milliseconds. */
const waitMs = 1_000;

/** Pause after events, so that more come together, in milliseconds. */
const pauseMs = 120;

/** Least time between two lists of one holder, which hold up its work, in milliseconds. */
const listPauseMs = 3_000;

/** Pause after a failed read or while another instance reads, in milliseconds. */
const idlePauseMs = 500;

/**
 * Starts to follow a holder.
 *
 * @param options - The holder and what receives its events.
 * @returns Stops following.
 */
export function followPartEvents(options: FollowPartEventsOptions): () => void {
    const { holder, clock } = options;
    let isStopped = false;
    let epoch: number | undefined;
    let since = 0;
    /** Whether the events that were read say all that the holder keeps. */
    let isComplete = !holder.isListed;
    let listAfterMs = -Infinity;

    const pause = (delayMs: number) => new Promise<void>(resolve => clock.after(delayMs, resolve));

    function take(result: Extract<PartEventsResult, { readonly kind: "events"; }>): void {
        if (result.hasGap || (epoch !== undefined && result.epoch !== epoch)) {
            options.onReset();
        }
        const isFirst = epoch === undefined;
        const isOtherLife = !isFirst && result.epoch !== epoch;
        isComplete = !holder.isListed || (!result.hasGap && (isFirst || isOtherLife || isComplete));
        epoch = result.epoch;
        since = result.next;
        if (!isOtherLife || result.events.length > 0) {
            options.onEvents(result.events);
        }
    }

    /** Events say only what is new: what was kept before them is listed once. */
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
        if (!options.isReader()) {
            await pause(idlePauseMs);
            return;
        }
        const result = await options.read(holder, since, waitMs);
        if (isStopped) {
            return;
        }
        options.onReachable(result.kind !== "failed");
        if (result.kind === "events") {
            take(result);
        }
        if (result.kind === "events" && !isComplete && clock.now() >= listAfterMs) {
            listAfterMs = clock.now() + listPauseMs;
            await listAll();
        }
        await pause(result.kind === "events" ? pauseMs : idlePauseMs);
    }

    async function follow(): Promise<void> {
        while (!isStopped) {
            await step();
        }
    }
    void follow();
    return () => {
        isStopped = true;
    };
}
