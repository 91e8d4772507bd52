/**
 * @module
 * Membership of the fleet by a SWIM-style protocol: direct and relayed probes, suspicion that the suspect can refute,
 * and gossip piggybacked on messages. Driven only by messages and timers.
 */
import type { Clock } from "../time/clock.js";
import { createPauseDetector } from "../time/createPauseDetector.js";
import { shuffle } from "./_lib/shuffle.js";
import { createAttachmentExchange } from "./createAttachmentExchange.js";
import { createGossipQueue } from "./createGossipQueue.js";
import { createLocalHealth } from "./createLocalHealth.js";
import { createMemberTable, hashMember } from "./createMemberTable.js";
import { createSuspicions } from "./createSuspicions.js";
import { createUrgentGossip } from "./createUrgentGossip.js";
import { createViewRepair } from "./createViewRepair.js";
import { createWindowCounter } from "./createWindowCounter.js";
import type { Member, MembershipView } from "./memberTypes.js";
import type { PeerAttachment } from "./peerAttachment.js";
import type { PeerTransport, ProbeAnswer, ProbeRequest, RelayAnswer, RelayRequest } from "./peerMessages.js";
import { directTimeoutMs, startProber } from "./startProber.js";
import { supersedes } from "./supersedes.js";

/** What this instance announces about itself. */
export type MemberIdentity = Pick<Member, "instance" | "failureDomain" | "callerAddress" | "peerAddress">;

/** A change of the view, for logs and metrics. */
export type MembershipEvent =
    | { readonly kind: "accused" | "changed"; readonly member: Member; }
    | { readonly kind: "refuted"; readonly member: Member; }
    | { readonly kind: "paused"; readonly pausedMs: number; };

/** Dependencies of {@link createMembership}. */
export interface MembershipDependencies {
    readonly clock: Clock;
    /** A number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    readonly identity: MemberIdentity;
    /** Peer addresses from the settings and the platform's instance list. */
    readonly listContacts: () => readonly string[];
    readonly transport: PeerTransport;
    readonly attachments: readonly PeerAttachment[];
    readonly onEvent: (event: MembershipEvent) => void;
}

/** Membership of one instance. */
export interface Membership {
    readonly view: () => MembershipView;
    readonly handleProbe: (req: ProbeRequest) => ProbeAnswer;
    readonly handleRelay: (req: RelayRequest, onAnswer: (answer: RelayAnswer) => void) => void;
    /** Applies a peer's member list; suspect and dead states count only with a higher incarnation than in this view. */
    readonly applyMembers: (members: readonly Member[]) => void;
    /** Schedules messages to a few peers within a short delay, for attachments that must not wait for the next probe. */
    readonly gossipSoon: () => void;
    /** Announces to the fleet that this instance is leaving. */
    readonly leave: () => void;
    /** Announces to the fleet that this instance has stopped, and stops. */
    readonly stop: () => void;
}

/** Share of suspects above which the view is degraded. */
const degradedSuspectShare = 1 / 3;

/** Time for which each refuted suspicion raises the number of failed probes that the next suspicion needs. */
const refutationMemoryMs = 60_000;

function isVerdict(member: Member): boolean {
    return member.state === "suspect" || member.state === "dead";
}

/**
 * Creates and starts membership. The initial incarnation is the wall-clock time, so that it is higher after a restart.
 *
 * @param dependencies - The clock, this instance's identity and the transport.
 * @returns Membership of this instance.
 * @example
 * createMembership({ clock, random, identity, listContacts: () => seeds, transport, attachments: [], onEvent });
 */
export function createMembership(dependencies: MembershipDependencies): Membership {
    const { clock, random, transport, onEvent } = dependencies;
    const table = createMemberTable();
    const health = createLocalHealth();
    const attachments = createAttachmentExchange(dependencies.attachments);
    const queue = createGossipQueue(() => table.listPresent().length + 1);
    const urgent = createUrgentGossip({ clock, random, gossip: receivers => gossip(receivers) });
    const lastReceivedMs = new Map<string, number>();
    const refutations = createWindowCounter(clock, refutationMemoryMs);
    let self: Member = { ...dependencies.identity, incarnation: Math.floor(clock.wallNow()), state: "alive" };
    let isStopped = false;

    const suspicions = createSuspicions({
        clock,
        timeFactor: health.timeFactor,
        onExpired: suspect => {
            if (pause.check() === "resumed") {
                suspicions.start(suspect);
            }
            else {
                mergeUpdate({ ...suspect, state: "dead" });
            }
        },
    });
    const pause = createPauseDetector(clock, pausedMs => {
        health.recordPause();
        prober.discardProbes();
        suspicions.restart();
        onEvent({ kind: "paused", pausedMs });
    });
    const repair = createViewRepair({
        clock,
        onAgreement: queue.clear,
        readHash: hashView,
        readMembers: (address, onAnswer) => transport.readMembers(address, onAnswer),
        applyMembers,
    });
    const prober = startProber({
        clock,
        random,
        health,
        listPresent: table.listPresent,
        sendProbe,
        sendRelay: (relay, target, onAnswer) => transport.relay(relay.peerAddress, { target }, onAnswer),
        lastReceivedMs: instance => lastReceivedMs.get(instance),
        countRefutations: refutations.count,
        markSuspect,
        checkPause: () => void pause.check(),
        contactAbsent,
    });
    pause.start();

    function hashView(): string {
        return (table.hash() ^ hashMember(self)).toString(36);
    }

    function markSuspect(target: Member): void {
        const held = table.find(target.instance);
        if (held === undefined || held.incarnation !== target.incarnation || held.state === "dead") {
            return;
        }
        const suspect: Member = { ...held, state: "suspect" };
        if (supersedes(suspect, held)) {
            onEvent({ kind: "accused", member: suspect });
            mergeUpdate(suspect);
        }
        // The suspect itself must receive the suspicion to be able to refute it.
        sendProbe(suspect, () => undefined);
    }

    function refute(update: Member): void {
        self = { ...self, incarnation: Math.max(update.incarnation, self.incarnation) + 1 };
        queue.add(self);
        urgent.request();
        onEvent({ kind: "refuted", member: self });
    }

    /** Merges an update into the view and queues it for gossip if it is new. */
    function mergeUpdate(update: Member): void {
        if (update.instance === self.instance) {
            if (update.incarnation > self.incarnation || supersedes(update, self)) {
                refute(update);
            }
            return;
        }
        const held = table.find(update.instance);
        if (held === undefined ? update.state === "dead" : !supersedes(update, held)) {
            return;
        }
        put(update, held);
        queue.add(update);
        if (update.state !== "dead") {
            urgent.request();
        }
    }

    function put(update: Member, held: Member | undefined): void {
        if (held?.state === "suspect" && update.incarnation > held.incarnation) {
            refutations.add(update.instance);
        }
        table.put(update, clock.now());
        repair.recordChange();
        suspicions.clear(update.instance);
        if (update.state === "suspect") {
            suspicions.start(update);
        }
        if (update.state === "dead") {
            lastReceivedMs.delete(update.instance);
        }
        onEvent({ kind: "changed", member: update });
    }

    /** A dead state reported by others for a member that is alive in this view only makes it a suspect at first. */
    function applyUpdate(update: Member): void {
        const held = table.find(update.instance);
        const isDeadUnsuspected = update.state === "dead" && held?.state === "alive"
            && held.incarnation === update.incarnation && update.instance !== self.instance;
        mergeUpdate(isDeadUnsuspected ? { ...update, state: "suspect" } : update);
    }

    /** Entries of a full member list are not gossiped: other instances read the list themselves. */
    function applyListed(member: Member, held: Member | undefined): void {
        if (held === undefined ? member.state === "dead" : !supersedes(member, held)) {
            return;
        }
        put(member, held);
    }

    function applyMembers(members: readonly Member[]): void {
        for (const member of members) {
            const held = table.find(member.instance);
            if (member.instance === self.instance) {
                mergeUpdate(member);
            }
            else if (!isVerdict(member) || (held !== undefined && held.incarnation < member.incarnation)) {
                applyListed(member, held);
            }
        }
    }

    /** Returns the updates for one peer; a suspect or dead state of the peer itself comes first, for it to refute. */
    function collectUpdatesFor(peer: Member | undefined): readonly Member[] {
        const updates = queue.take();
        return peer !== undefined && isVerdict(peer) && !updates.some(one => one.instance === peer.instance)
            ? [peer, ...updates]
            : updates;
    }

    function createProbe(peer: Member | undefined): ProbeRequest {
        return {
            from: self,
            viewHash: hashView(),
            updates: collectUpdatesFor(peer),
            attachments: peer === undefined ? [] : attachments.collect(peer.instance),
        };
    }

    function applyProbeAnswer(address: string, answer: ProbeAnswer): void {
        pause.check();
        lastReceivedMs.set(answer.instance, clock.now());
        answer.updates.forEach(applyUpdate);
        attachments.receive(answer.instance, answer.attachments);
        repair.recordAnswer(address, answer.viewHash);
    }

    function sendProbe(target: Member, onAnswer: (isReached: boolean) => void): void {
        transport.probe(target.peerAddress, createProbe(table.find(target.instance) ?? target), answer => {
            if (answer !== undefined && !isStopped) {
                applyProbeAnswer(target.peerAddress, answer);
            }
            onAnswer(answer?.instance === target.instance);
        });
    }

    function gossip(receivers: number): void {
        for (const receiver of shuffle(table.listPresent(), random).slice(0, receivers)) {
            sendProbe(receiver, () => undefined);
        }
    }

    function contactAbsent(): void {
        const known = new Set([...table.listPresent().map(member => member.peerAddress), self.peerAddress]);
        const dead = table.listDead();
        const addresses = [...dependencies.listContacts(), ...dead.map(member => member.peerAddress)]
            .filter(address => !known.has(address));
        const address = addresses[Math.floor(random() * addresses.length)];
        if (address === undefined) {
            return;
        }
        const req = createProbe(dead.find(member => member.peerAddress === address));
        transport.probe(address, req, answer => {
            if (answer !== undefined && !isStopped) {
                applyProbeAnswer(address, answer);
                transport.readMembers(address, members => applyMembers(members ?? []));
            }
        });
    }

    function handleProbe(req: ProbeRequest): ProbeAnswer {
        pause.check();
        repair.recordRequest(req.viewHash);
        lastReceivedMs.set(req.from.instance, clock.now());
        mergeUpdate(req.from);
        req.updates.forEach(applyUpdate);
        attachments.receive(req.from.instance, req.attachments);
        return {
            instance: self.instance,
            viewHash: hashView(),
            updates: collectUpdatesFor(table.find(req.from.instance)),
            attachments: attachments.collect(req.from.instance),
        };
    }

    function handleRelay(req: RelayRequest, onAnswer: (answer: RelayAnswer) => void): void {
        let isAnswered = false;
        function answerOnce(isReached: boolean): void {
            if (!isAnswered) {
                isAnswered = true;
                onAnswer({ isReached });
            }
        }
        clock.after(directTimeoutMs, () => answerOnce(false));
        sendProbe(req.target, answerOnce);
    }

    function view(): MembershipView {
        const present = table.listPresent();
        const suspects = present.filter(member => member.state === "suspect").length;
        const isDegraded = health.isDegraded() || suspects > present.length * degradedSuspectShare;
        return { self, members: [self, ...present, ...table.listDead()], isDegraded };
    }

    function leave(): void {
        self = { ...self, incarnation: self.incarnation + 1, state: "leaving" };
        queue.add(self);
        urgent.sendNow();
    }

    function stop(): void {
        if (isStopped) {
            return;
        }
        self = { ...self, incarnation: self.incarnation + 1, state: "dead" };
        queue.add(self);
        urgent.sendNow();
        isStopped = true;
        prober.stop();
        pause.stop();
        suspicions.stop();
        urgent.stop();
    }

    contactAbsent();
    return { view, handleProbe, handleRelay, applyMembers, gossipSoon: urgent.request, leave, stop };
}
