/**
 * @module
 * The exchange by which a restarted instance takes its state from a peer: several peers in parallel, the first good
 * answer wins.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { catalogueFromSnapshot } from "../../core/catalogue/snapshot.js";
import type { RestartStateProvider } from "../../core/lifecycle/restartState.js";
import type { Member } from "../../core/membership/memberTypes.js";
import type { Clock } from "../../core/time/clock.js";
import type { PeerClients } from "./createPeerClient.js";
import type { RestartState } from "./peerRouter.js";

/** What the exchange needs. */
export interface RestartExchangeDependencies {
    readonly clock: Clock;
    readonly clients: PeerClients;
    /** Peer addresses to ask, the preferred ones first. */
    readonly listContacts: () => readonly string[];
    readonly slots: readonly RestartStateProvider[];
    readonly adoptCatalogue: (catalogue: Catalogue) => void;
    readonly takeMembers: (members: readonly Member[]) => void;
    /** True once the instance needs no exchange any more. */
    readonly isLoaded: () => boolean;
    /** Called once a good answer was taken, and before that with undefined when one round has ended without any. */
    readonly onSettled: (peer: string | undefined) => void;
}

/** The running exchange. */
export interface RestartExchange {
    /** True once a good answer was taken or one round has ended without any. */
    readonly isSettled: () => boolean;
    readonly stop: () => void;
}

/** Peers that are asked at the same time. */
const parallelPeers = 3;
const retryDelayMs = 250;

/**
 * Starts the exchange; it goes on until a peer has given a catalogue or the log has.
 *
 * @param dependencies - The peers and what takes their state.
 * @returns The running exchange.
 */
export function takeRestartState(dependencies: RestartExchangeDependencies): RestartExchange {
    const { clock, clients } = dependencies;
    let round = 0;
    let isTaken = false;
    let isSettled = false;
    let isStopped = false;
    let cancelRetry: () => void = () => undefined;

    function take(peer: string, state: RestartState): void {
        dependencies.takeMembers(state.members);
        if (state.catalogue === undefined) {
            return;
        }
        dependencies.adoptCatalogue(catalogueFromSnapshot(state.catalogue));
        if (isTaken) {
            return;
        }
        isTaken = true;
        isSettled = true;
        for (const part of state.parts) {
            dependencies.slots.find(slot => slot.name === part.name)?.apply(part.payload);
        }
        dependencies.onSettled(peer);
    }

    async function ask(peer: string): Promise<void> {
        const state = await clients.connect(peer).peer.exchange.query();
        if (!isStopped) {
            take(peer, state);
        }
    }

    async function runRound(): Promise<void> {
        const contacts = dependencies.listContacts();
        const first = contacts.length === 0 ? 0 : (round * parallelPeers) % contacts.length;
        round += 1;
        const chosen = [...contacts.slice(first), ...contacts.slice(0, first)].slice(0, parallelPeers);
        await Promise.allSettled(chosen.map(ask));
        if (!isSettled && !isStopped) {
            isSettled = true;
            dependencies.onSettled(undefined);
        }
        if (!isTaken && !isStopped && !dependencies.isLoaded()) {
            cancelRetry = clock.after(retryDelayMs, () => void runRound());
        }
    }

    void runRound();
    return {
        isSettled: () => isSettled,
        stop: () => {
            isStopped = true;
            cancelRetry();
        },
    };
}
