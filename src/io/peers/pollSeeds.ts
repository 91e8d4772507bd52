/**
 * @module
 * Learns the fleet by exchanging members and catalogue with the seeds at a fixed period.
 */
import type { Catalogue } from "../../core/catalogue/catalogue.js";
import { catalogueFromSnapshot } from "../../core/catalogue/snapshot.js";
import type { Member, MembershipView } from "../../core/membership/memberTypes.js";
import type { Clock } from "../../core/time/clock.js";
import type { PeerClients } from "./createPeerClient.js";

/** What polling needs. */
export interface SeedPollingDependencies {
    readonly clock: Clock;
    readonly clients: PeerClients;
    readonly seeds: readonly string[];
    readonly self: () => Member;
    readonly adoptCatalogue: (catalogue: Catalogue) => void;
}

/** The members that polling has learned. */
export interface SeedPolling {
    readonly view: () => MembershipView;
    /** Takes a member that called this instance. */
    readonly noteMember: (member: Member) => void;
    readonly stop: () => void;
}

const pollPeriodMs = 1_000;
const suspectAfterMs = 3_000;

/**
 * Starts polling.
 *
 * @param dependencies - Clients, seeds and this instance.
 * @returns The learned members.
 */
export function pollSeeds(dependencies: SeedPollingDependencies): SeedPolling {
    const { clock } = dependencies;
    const heard = new Map<string, { readonly member: Member; readonly atMs: number; }>();
    let isStopped = false;
    let cancelTimer: () => void = () => undefined;

    function noteMember(member: Member): void {
        if (member.instance !== dependencies.self().instance) {
            heard.set(member.instance, { member, atMs: clock.now() });
        }
    }

    async function pollOne(seed: string): Promise<void> {
        const answer = await dependencies.clients.connect(seed).peer.exchange.mutate(dependencies.self());
        answer.members.filter(member => member.peerAddress === seed).forEach(noteMember);
        dependencies.adoptCatalogue(catalogueFromSnapshot(answer.catalogue));
    }

    async function pollAll(): Promise<void> {
        await Promise.allSettled(dependencies.seeds.map(pollOne));
        if (!isStopped) {
            cancelTimer = clock.after(pollPeriodMs, () => void pollAll());
        }
    }

    function judge({ member, atMs }: { readonly member: Member; readonly atMs: number; }): Member {
        const isSilent = clock.now() - atMs > suspectAfterMs;
        return isSilent && member.state === "alive" ? { ...member, state: "suspect" } : member;
    }

    void pollAll();
    return {
        view: () => ({
            self: dependencies.self(),
            members: [dependencies.self(), ...[...heard.values()].map(judge)],
            isDoubtful: false,
        }),
        noteMember,
        stop: () => {
            isStopped = true;
            cancelTimer();
        },
    };
}
