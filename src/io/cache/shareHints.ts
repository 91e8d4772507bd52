/**
 * @module
 * Sends peers what this instance has sent where, at a fixed period and in bounded bytes.
 */
import type { HintExchange } from "../../core/cache/createHintExchange.js";
import type { Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";

/** What sharing needs. */
export interface HintSharingDependencies {
    readonly clock: Clock;
    readonly exchange: HintExchange;
    /** Sends a payload to a peer by its instance name; a failure loses the payload, which only costs hits. */
    readonly send: (peer: string, payload: string) => Promise<void>;
    readonly onSent: (bytes: number) => void;
}

const periodMs = 250;

/**
 * Starts sharing. A peer that has not taken the last payload yet is passed over; what is noted for it is thinned out.
 *
 * @param dependencies - The exchange and the peers.
 * @returns Stops sharing.
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
            // The peer learns the same from answers and cache events.
        }
        busy.delete(peer);
    }

    return repeatEvery(clock, periodMs, () => {
        exchange.listPeers().filter(peer => !busy.has(peer)).forEach(peer => void sendTo(peer));
    });
}
