/**
 * @module
 * A model of the platform's log on a virtual clock, with outages, lost answers, delayed appends, truncation and
 * partitions.
 */
import { err, ok, type Result } from "true-myth/result";
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { LogPage } from "../../src/core/ports/logPort.js";
import type { PortFailure } from "../../src/core/ports/portFailure.js";

/** The log with its fault switches. */
export interface LogModel {
    readonly append: (instance: number, payloads: readonly string[], onDone: (isStored: boolean) => void) => void;
    readonly read: (
        instance: number,
        from: number,
        waitMs: number,
        onDone: (page: Result<LogPage, PortFailure>) => void,
    ) => void;
    readonly setDown: (isDown: boolean) => void;
    readonly setPartitioned: (instance: number, isPartitioned: boolean) => void;
    /** Stores the next appends but loses their answers. */
    readonly loseAnswers: (count: number) => void;
    /** Stores the next appends only after the timeout of their sender. */
    readonly delayAppends: (count: number) => void;
    readonly truncate: () => void;
}

const callTimeoutMs = 2_000;
const lateAppendMs = 3_500;
const maxLatencyMs = 8;

/** Creates an empty log. */
export function createLogModel(clock: VirtualClock): LogModel {
    const payloads: string[] = [];
    const partitioned = new Set<number>();
    const waiting = new Set<() => void>();
    let firstKept = 0;
    let isDown = false;
    let pendingLostAnswers = 0;
    let pendingDelayedAppends = 0;

    const latency = () => 1 + clock.random() * maxLatencyMs;
    const isUnreachable = (instance: number) => isDown || partitioned.has(instance);

    function store(records: readonly string[]): void {
        payloads.push(...records);
        [...waiting].forEach(wake => wake());
    }

    function append(instance: number, records: readonly string[], onDone: (isStored: boolean) => void): void {
        clock.after(latency(), () => {
            if (isUnreachable(instance)) {
                clock.after(callTimeoutMs, () => onDone(false));
            }
            else if (pendingDelayedAppends > 0) {
                pendingDelayedAppends -= 1;
                clock.after(lateAppendMs, () => store(records));
                clock.after(callTimeoutMs, () => onDone(false));
            }
            else {
                store(records);
                const isLost = pendingLostAnswers > 0;
                pendingLostAnswers -= isLost ? 1 : 0;
                clock.after(isLost ? callTimeoutMs : latency(), () => onDone(!isLost));
            }
        });
    }

    function answer(instance: number, from: number, onDone: (page: Result<LogPage, PortFailure>) => void): void {
        const start = Math.max(from, firstKept);
        const records = payloads.slice(start).map((payload, index) => ({ offset: start + index, payload }));
        const page: LogPage = { firstKept, end: payloads.length, records };
        clock.after(latency(), () => {
            onDone(isUnreachable(instance) ? err({ kind: "lost", detail: "" }) : ok(page));
        });
    }

    function read(
        instance: number,
        from: number,
        waitMs: number,
        onDone: (page: Result<LogPage, PortFailure>) => void,
    ): void {
        if (isUnreachable(instance)) {
            clock.after(callTimeoutMs, () => onDone(err({ kind: "lost", detail: "" })));
            return;
        }
        if (from < payloads.length) {
            answer(instance, from, onDone);
            return;
        }
        const wake = () => {
            cancel();
            waiting.delete(wake);
            answer(instance, from, onDone);
        };
        const cancel = clock.after(waitMs, wake);
        waiting.add(wake);
    }

    return {
        append,
        read,
        setDown: value => {
            isDown = value;
        },
        setPartitioned: (instance, value) => {
            if (value) {
                partitioned.add(instance);
            }
            else {
                partitioned.delete(instance);
            }
        },
        loseAnswers: count => {
            pendingLostAnswers = count;
        },
        delayAppends: count => {
            pendingDelayedAppends = count;
        },
        truncate: () => {
            firstKept = payloads.length;
        },
    };
}
