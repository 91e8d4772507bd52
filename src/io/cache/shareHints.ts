/**
 * @module
 * Sends cache hints about this instance's own sends to peers, with a fixed period and a limit on bytes.
 */
import type { HintExchange } from "../../core/cache/createHintExchange.js";
import type { Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";

/** Dependencies of {@link shareHints}. */
export interface HintSharingDependencies {
    readonly clock: Clock;
    readonly exchange: HintExchange;
    /** Sends a payload to a peer by its instance name; a failure loses the payload, which only costs cache hits. */
    readonly send: (peer: string, payload: string) => Promise<void>;
    readonly onSent: (bytes: number) => void;
}

const periodMs = 250;

/**
 * Starts sharing. A peer that has not yet accepted the previous payload is skipped; hints above its limit are dropped.
 *
 * @param dependencies - The exchange and the function that sends to peers.
 * @returns A function that stops sharing.
 */
export function shareHints(dependencies: HintSharingDependencies): () => void {
    const { clock, exchange } = dependencies;
    const busy = new Set<string>();

    async function sendTo(peer: string): Promise<void> {
        const payload = exchange.collect(peer, clock.now());
        if (payload === undefined) {
            return;
        }
        busy.add(peer);
        dependencies.onSent(payload.length);
        try {
            await dependencies.send(peer, payload);
        }
        catch {
            // Not retried: the peer gets the same hints from answers and cache events.
        }
        busy.delete(peer);
    }

    return repeatEvery(clock, periodMs, () => {
        exchange.listPeers().filter(peer => !busy.has(peer)).forEach(peer => void sendTo(peer));
    });
}
