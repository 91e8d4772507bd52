/**
 * @module
 * Reads the state of a restarted instance from its peers: several peers are asked in parallel, and the restart parts of
 * the first answer with a catalogue are applied.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { catalogueFromSnapshot } from "../../core/catalogue/snapshot.js";
import type { RestartStateProvider } from "../../core/lifecycle/restartState.js";
import type { Member } from "../../core/membership/memberTypes.js";
import type { Clock } from "../../core/time/clock.js";
import type { PeerClients } from "./createPeerClient.js";
import type { RestartState } from "./peerRouter.js";

/** Dependencies of {@link fetchRestartState}. */
export interface RestartExchangeDependencies {
    readonly clock: Clock;
    readonly clients: PeerClients;
    /** Peer addresses to ask, the preferred ones first. */
    readonly listContacts: () => readonly string[];
    readonly providers: readonly RestartStateProvider[];
    readonly adoptCatalogue: (catalogue: Catalogue) => void;
    readonly applyMembers: (members: readonly Member[]) => void;
    /** True once the instance has its catalogue and no longer needs the exchange. */
    readonly isLoaded: () => boolean;
    /** Called with the peer whose answer was applied, and before that with undefined if one round ended without any. */
    readonly onSettled: (peer: string | undefined) => void;
}

/** The running exchange. */
export interface RestartExchange {
    /** True once an answer was applied or one round has ended without any. */
    readonly isSettled: () => boolean;
    readonly stop: () => void;
}

/** Number of peers that are asked in parallel. */
const parallelPeers = 3;
const retryDelayMs = 250;

/**
 * Starts the exchange; it repeats until a catalogue was received from a peer or the log.
 *
 * @param dependencies - The peers, and the functions that apply their state.
 * @returns The running exchange.
 */
export function fetchRestartState(dependencies: RestartExchangeDependencies): RestartExchange {
    const { clock, clients } = dependencies;
    let round = 0;
    let isApplied = false;
    let isSettled = false;
    let isStopped = false;
    let cancelRetry: () => void = () => undefined;

    function applyState(peer: string, state: RestartState): void {
        dependencies.applyMembers(state.members);
        if (state.catalogue === undefined) {
            return;
        }
        dependencies.adoptCatalogue(catalogueFromSnapshot(state.catalogue));
        if (isApplied) {
            return;
        }
        isApplied = true;
        isSettled = true;
        for (const part of state.parts) {
            dependencies.providers.find(provider => provider.name === part.name)?.apply(part.payload);
        }
        dependencies.onSettled(peer);
    }

    async function ask(peer: string): Promise<void> {
        const state = await clients.connect(peer).peer.exchange.query();
        if (!isStopped) {
            applyState(peer, state);
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
        if (!isApplied && !isStopped && !dependencies.isLoaded()) {
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
