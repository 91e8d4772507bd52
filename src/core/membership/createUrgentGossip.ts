/**
 * @module
 * Tells urgent news to a few members at once instead of at the next probe.
 */
import type { CancelTimer, Clock } from "../time/clock.js";

/** Sends of urgent news. */
export interface UrgentGossip {
    /** Asks for a send soon. */
    readonly request: () => void;
    /** Sends at once, whenever the last send was. */
    readonly sendNow: () => void;
    readonly stop: () => void;
}

/** What urgent gossip needs. */
export interface UrgentGossipDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    /** Tells the queued news to some random members. */
    readonly tell: (receivers: number) => void;
}

const maxDelayMs = 50;
const receiversPerSend = 3;

/** Least time between two sends; bounds the cost of mass failures. */
const minIntervalMs = 1_000;

/**
 * Creates the sender.
 *
 * @param dependencies - The clock, randomness and the send itself.
 * @returns The sender.
 * @example
 * createUrgentGossip({ clock, random, tell }).request();
 */
export function createUrgentGossip(dependencies: UrgentGossipDependencies): UrgentGossip {
    const { clock, random } = dependencies;
    let lastSendMs = -minIntervalMs;
    let cancel: CancelTimer | undefined;

    function send(): void {
        cancel = undefined;
        lastSendMs = clock.now();
        dependencies.tell(receiversPerSend);
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
