/**
 * @module
 * Sends urgent updates to a few random members without waiting for the next probe.
 */
import type { CancelTimer, Clock } from "../time/clock.js";

/** Sender of urgent updates. */
export interface UrgentGossip {
    /** Schedules a send after a short random delay, at the minimum interval from the last one. */
    readonly request: () => void;
    /** Sends immediately, regardless of the minimum interval. */
    readonly sendNow: () => void;
    readonly stop: () => void;
}

/** Dependencies of {@link createUrgentGossip}. */
export interface UrgentGossipDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    /** Sends the queued updates to the given number of random members. */
    readonly gossip: (receivers: number) => void;
}

const maxDelayMs = 50;
const receiversPerSend = 3;

/** Minimum time between two sends; limits the cost of mass failures. */
const minIntervalMs = 1_000;

/**
 * Creates the sender.
 *
 * @param dependencies - The clock, the source of randomness and the send function.
 * @returns The sender.
 * @example
 * createUrgentGossip({ clock, random, gossip }).request();
 */
export function createUrgentGossip(dependencies: UrgentGossipDependencies): UrgentGossip {
    const { clock, random } = dependencies;
    let lastSendMs = -minIntervalMs;
    let cancel: CancelTimer | undefined;

    function send(): void {
        cancel = undefined;
        lastSendMs = clock.now();
        dependencies.gossip(receiversPerSend);
    }

    return {
        request: () => {
            const earliestMs = Math.max(clock.now() + random() * maxDelayMs, lastSendMs + minIntervalMs);
            cancel ??= clock.after(earliestMs - clock.now(), send);
        },
        sendNow: () => {
            cancel?.();
            send();
        },
        stop: () => cancel?.(),
    };
}
