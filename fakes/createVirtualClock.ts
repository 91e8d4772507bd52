/**
 * @module
 * A virtual clock with a seeded scheduler: timers that are due at the same time run in a seeded random order.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Clock } from "../src/core/time/clock.js";

/** A clock that advances only when a test advances it. */
export interface VirtualClock extends Clock {
    /** Runs timers in order until none is due at or before `untilMs`, then sets the time to `untilMs`. */
    readonly runUntil: (untilMs: number) => void;
    /** A seeded random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

interface Timer {
    readonly dueMs: number;
    readonly tieBreak: number;
    readonly action: () => void;
    cancelled: boolean;
}

function isBefore(left: Timer, right: Timer): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.tieBreak < right.tieBreak);
}

function pushTimer(heap: Timer[], timer: Timer): void {
    let index = heap.push(timer) - 1;
    while (index > 0) {
        const parent = (index - 1) >> 1;
        if (!isBefore(heap[index]!, heap[parent]!)) {
            return;
        }
        [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
        index = parent;
    }
}

function popTimer(heap: Timer[]): Timer {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) {
        return first;
    }
    heap[0] = last;
    let index = 0;
    for (;;) {
        let smallest = index;
        for (const child of [2 * index + 1, 2 * index + 2]) {
            if (child < heap.length && isBefore(heap[child]!, heap[smallest]!)) {
                smallest = child;
            }
        }
        if (smallest === index) {
            return first;
        }
        [heap[index], heap[smallest]] = [heap[smallest]!, heap[index]!];
        index = smallest;
    }
}

/**
 * Creates a virtual clock that starts at 0 ms.
 *
 * @param seed - Seed of the tie-break order and of `random`.
 * @returns The clock.
 */
export function createVirtualClock(seed: number): VirtualClock {
    const generator = xoroshiro128plus(seed);
    const heap: Timer[] = [];
    let nowMs = 0;
    const random = () => uniformInt(generator, 0, 0x3fffffff) / 0x40000000;
    return {
        now: () => nowMs,
        wallNow: () => nowMs,
        random,
        after: (delayMs, action) => {
            const timer: Timer = { dueMs: nowMs + Math.max(0, delayMs), tieBreak: random(), action, cancelled: false };
            pushTimer(heap, timer);
            return () => {
                timer.cancelled = true;
            };
        },
        runUntil: untilMs => {
            while (heap.length > 0 && heap[0]!.dueMs <= untilMs) {
                const timer = popTimer(heap);
                nowMs = timer.dueMs;
                if (!timer.cancelled) {
                    timer.action();
                }
            }
            nowMs = Math.max(nowMs, untilMs);
        },
    };
}
