/**
 * @module
 * Membership of the fleet: probes with relays, suspicion that the suspect can contradict, and news that rides on
 * messages. Driven by messages and timers alone.
 */
import type { Clock } from "../time/clock.js";
import { shuffle } from "./_lib/shuffle.js";
import { createAttachmentExchange } from "./createAttachmentExchange.js";
import { createGossipQueue } from "./createGossipQueue.js";
import { createLocalHealth } from "./createLocalHealth.js";
import { createMemberTable, hashMember } from "./createMemberTable.js";
import { createPauseDetector } from "./createPauseDetector.js";
import { createRecentTimes } from "./createRecentTimes.js";
import { createSuspicions } from "./createSuspicions.js";
import { createUrgentGossip } from "./createUrgentGossip.js";
import { createViewRepair } from "./createViewRepair.js";
import type { Member, MembershipView } from "./memberTypes.js";
import type { PeerAttachment } from "./peerAttachment.js";
import type { PeerTransport, ProbeAnswer, ProbeRequest, RelayAnswer, RelayRequest } from "./peerMessages.js";
import { directTimeoutMs, startProber } from "./startProber.js";
import { supersedes } from "./supersedes.js";

/** What this instance says of itself. */
export type MemberIdentity = Pick<Member, "instance" | "failureDomain" | "callerAddress" | "peerAddress">;

/** What happened to the view, for logs and metrics. */
export type MembershipEvent =
    | { readonly kind: "accused" | "changed"; readonly member: Member; }
    | { readonly kind: "refuted"; readonly member: Member; }
    | { readonly kind: "paused"; readonly pausedMs: number; };

/** What membership needs. */
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
    /** Takes members that a peer listed; its verdicts on members that run in this view are not taken. */
    readonly takeMembers: (members: readonly Member[]) => void;
    /** Sends messages to a few peers soon, for news of an attachment that may not wait for the next probe. */
    readonly hurry: () => void;
    /** Tells the fleet that this instance leaves. */
    readonly leave: () => void;
    /** Tells the fleet that this instance is gone, and stops. */
    readonly stop: () => void;
}

/** Share of suspects from which the view is doubtful. */
const doubtfulSuspectShare = 1 / 3;

/** Time for which a contradicted suspicion makes the next one harder, in milliseconds. */
const refutationMemoryMs = 60_000;

function isVerdict(member: Member): boolean {
    return member.state === "suspect" || member.state === "dead";
}

/**
 * Creates and starts membership. The incarnation starts at the wall clock, so that it rises across a restart.
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
    const urgent = createUrgentGossip({ clock, random, tell: receivers => tell(receivers) });
    const heardMs = new Map<string, number>();
    const refutations = createRecentTimes(clock, refutationMemoryMs);
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
                take({ ...suspect, state: "dead" });
            }
        },
    });
    const pause = createPauseDetector(clock, pausedMs => {
        health.notePause();
        prober.dropVerdicts();
        suspicions.restart();
        onEvent({ kind: "paused", pausedMs });
    });
    const repair = createViewRepair({
        clock,
        onAgreement: queue.clear,
        readHash: hashView,
        readMembers: (address, onAnswer) => transport.readMembers(address, onAnswer),
        takeMembers,
    });
    const prober = startProber({
        clock,
        random,
        health,
        listPresent: table.listPresent,
        sendProbe,
        sendRelay: (relay, target, onAnswer) => transport.relay(relay.peerAddress, { target }, onAnswer),
        lastHeardMs: instance => heardMs.get(instance),
        countRefutations: refutations.count,
        accuse,
        checkPause: () => void pause.check(),
        contactAbsent,
    });

    function hashView(): string {
        return (table.hash() ^ hashMember(self)).toString(36);
    }

    function accuse(target: Member): void {
        const held = table.find(target.instance);
        if (held === undefined || held.incarnation !== target.incarnation || held.state === "dead") {
            return;
        }
        const suspect: Member = { ...held, state: "suspect" };
        if (supersedes(suspect, held)) {
            onEvent({ kind: "accused", member: suspect });
            take(suspect);
        }
        // The suspect itself must hear it to be able to contradict.
        sendProbe(suspect, () => undefined);
    }

    function refute(update: Member): void {
        self = { ...self, incarnation: Math.max(update.incarnation, self.incarnation) + 1 };
        queue.add(self);
        urgent.request();
        onEvent({ kind: "refuted", member: self });
    }

    /** Takes a statement about a member and passes it on if it is news. */
    function take(update: Member): void {
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
        repair.noteChange();
        suspicions.clear(update.instance);
        if (update.state === "suspect") {
            suspicions.start(update);
        }
        if (update.state === "dead") {
            heardMs.delete(update.instance);
        }
        onEvent({ kind: "changed", member: update });
    }

    /** A verdict of death from others on a member that runs in this view first makes it a suspect. */
    function takeNews(update: Member): void {
        const held = table.find(update.instance);
        const isSurprising = update.state === "dead" && held?.state === "alive"
            && held.incarnation === update.incarnation && update.instance !== self.instance;
        take(isSurprising ? { ...update, state: "suspect" } : update);
    }

    /** What a whole list says need not be told on: others read the list themselves. */
    function takeListed(member: Member, held: Member | undefined): void {
        if (held === undefined ? member.state === "dead" : !supersedes(member, held)) {
            return;
        }
        put(member, held);
    }

    function takeMembers(members: readonly Member[]): void {
        for (const member of members) {
            const held = table.find(member.instance);
            if (member.instance === self.instance) {
                take(member);
            }
            else if (!isVerdict(member) || (held !== undefined && held.incarnation < member.incarnation)) {
                takeListed(member, held);
            }
        }
    }

    /** News for one peer; what this view wrongly or rightly says of the peer itself comes first. */
    function takeNewsFor(peer: Member | undefined): readonly Member[] {
        const updates = queue.take();
        return peer !== undefined && isVerdict(peer) && !updates.some(one => one.instance === peer.instance)
            ? [peer, ...updates]
            : updates;
    }

    function createProbe(peer: Member | undefined): ProbeRequest {
        return {
            from: self,
            viewHash: hashView(),
            updates: takeNewsFor(peer),
            attachments: peer === undefined ? [] : attachments.collect(peer.instance),
        };
    }

    function takeAnswer(address: string, answer: ProbeAnswer): void {
        pause.check();
        heardMs.set(answer.instance, clock.now());
        answer.updates.forEach(takeNews);
        attachments.receive(answer.instance, answer.attachments);
        repair.noteAnswer(address, answer.viewHash);
    }

    function sendProbe(target: Member, onAnswer: (isReached: boolean) => void): void {
        transport.probe(target.peerAddress, createProbe(table.find(target.instance) ?? target), answer => {
            if (answer !== undefined && !isStopped) {
                takeAnswer(target.peerAddress, answer);
            }
            onAnswer(answer?.instance === target.instance);
        });
    }

    function tell(receivers: number): void {
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
                takeAnswer(address, answer);
                transport.readMembers(address, members => takeMembers(members ?? []));
            }
        });
    }

    function handleProbe(req: ProbeRequest): ProbeAnswer {
        pause.check();
        repair.noteRequest(req.viewHash);
        heardMs.set(req.from.instance, clock.now());
        take(req.from);
        req.updates.forEach(takeNews);
        attachments.receive(req.from.instance, req.attachments);
        return {
            instance: self.instance,
            viewHash: hashView(),
            updates: takeNewsFor(table.find(req.from.instance)),
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
        const isDoubtful = health.isDoubtful() || suspects > present.length * doubtfulSuspectShare;
        return { self, members: [self, ...present, ...table.listDead()], isDoubtful };
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
    return { view, handleProbe, handleRelay, takeMembers, hurry: urgent.request, leave, stop };
}
