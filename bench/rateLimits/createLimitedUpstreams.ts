/**
 * @module
 * Upstreams that state rate limits in their answers and run whatever arrives while they have free slots.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import type { UpstreamRecord } from "../../src/core/registry/upstreamRecord.js";
import { createRecord } from "../support/proxyFixtures.js";
import type { LimitPhase } from "./rateLimitTypes.js";

/** The head of an answer. */
export interface UpstreamHead {
    readonly writtenMs: number;
    readonly requestsPerSecond: number | undefined;
}

/** A request at an upstream. */
export interface UpstreamCall {
    readonly onHead: (head: UpstreamHead) => void;
    readonly onEnd: () => void;
}

/** The upstreams. */
export interface LimitedUpstreams {
    readonly records: readonly UpstreamRecord[];
    /** Returns false when the upstream's slots and its queue are full. */
    readonly arrive: (id: string, call: UpstreamCall) => boolean;
}

/** Options of {@link createLimitedUpstreams}. */
export interface LimitedUpstreamsOptions {
    readonly count: number;
    readonly phases: ReadonlyMap<string, readonly LimitPhase[]>;
    readonly hasOldHeads: boolean;
}

/** Slots of an upstream, requests that it queues, and the time for which a request uses a slot, in milliseconds. */
const upstreamSlots = 8;
const upstreamQueue = 8;
const minHeadMs = 20;
const maxHeadMs = 400;
const minRestMs = 50;
const maxRestMs = 500;

/** Requests per second that an upstream can run. */
export const upstreamRequestsPerSecond = 16;

/** Id of the upstream with an index. */
export function upstreamId(index: number): string {
    return `e-${index + 1}`;
}

/** Creates idle upstreams. */
export function createLimitedUpstreams(clock: VirtualClock, options: LimitedUpstreamsOptions): LimitedUpstreams {
    const { random } = clock;
    const running = new Map<string, number>();
    const queues = new Map<string, (() => void)[]>();
    const records = Array.from({ length: options.count }, (_, index) => {
        const id = upstreamId(index);
        return createRecord({ id, address: `10.0.0.${index + 1}:80`, slots: upstreamSlots });
    });

    function findLimit(id: string): number | undefined {
        return options.phases.get(id)?.findLast(phase => phase.atMs <= clock.now())?.requestsPerSecond;
    }

    function end(id: string, call: UpstreamCall): void {
        running.set(id, (running.get(id) ?? 1) - 1);
        call.onEnd();
        queues.get(id)?.shift()?.();
    }

    function run(id: string, call: UpstreamCall, arrivedLimit: number | undefined): void {
        running.set(id, (running.get(id) ?? 0) + 1);
        clock.after(minHeadMs + random() * (maxHeadMs - minHeadMs), () => {
            const requestsPerSecond = options.hasOldHeads ? arrivedLimit : findLimit(id);
            call.onHead({ writtenMs: clock.now(), requestsPerSecond });
            clock.after(minRestMs + random() * (maxRestMs - minRestMs), () => end(id, call));
        });
    }

    return {
        records,
        arrive: (id, call) => {
            const queue = queues.get(id) ?? [];
            queues.set(id, queue);
            const start = () => run(id, call, arrivedLimit);
            const arrivedLimit = findLimit(id);
            if ((running.get(id) ?? 0) < upstreamSlots) {
                start();
            }
            else if (queue.length < upstreamQueue) {
                queue.push(start);
            }
            else {
                return false;
            }
            return true;
        },
    };
}
