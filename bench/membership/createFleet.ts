/**
 * @module
 * Many memberships on one virtual clock, over a simulated network that loses and delays calls, can be partitioned and
 * counts bytes.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createMembership, type Membership, type MembershipEvent } from "../../src/core/membership/createMembership.js";
import type { Member } from "../../src/core/membership/memberTypes.js";
import type { PeerAttachment } from "../../src/core/membership/peerAttachment.js";
import type { PeerTransport, RelayAnswer } from "../../src/core/membership/peerMessages.js";
import { createPausableClock, type PausableClock } from "./createPausableClock.js";

/** Bytes of a call besides the JSON bodies of its request and answer. */
export interface CallOverhead {
    readonly requestBytes: number;
    readonly answerBytes: number;
}

/** Traffic of one process. */
export interface Traffic {
    sentBytes: number;
    receivedBytes: number;
    sentMessages: number;
}

/** One simulated process. */
export interface FleetProcess {
    readonly index: number;
    readonly instance: string;
    readonly failureDomain: string;
    readonly clock: PausableClock;
    readonly membership: Membership;
    readonly traffic: Traffic;
}

/** Event that a process reported. */
export interface FleetEvent {
    readonly atMs: number;
    readonly observer: string;
    readonly event: MembershipEvent;
}

/** Shape of the fleet. */
export interface FleetOptions {
    readonly size: number;
    readonly seed: number;
    readonly failureDomains: readonly string[];
    /** Share of calls that are lost, 0 to 1. */
    readonly lossShare?: number;
    readonly overhead?: CallOverhead;
    readonly onEvent?: (event: FleetEvent) => void;
    readonly attachments?: (index: number) => readonly PeerAttachment[];
}

/** The fleet with its fault switches. */
export interface Fleet {
    readonly clock: VirtualClock;
    readonly processes: readonly FleetProcess[];
    readonly crash: (index: number) => void;
    /** Crashes the process if it still runs, and starts a new one under the same name. */
    readonly restart: (index: number) => void;
    /** Sets between which senders and receivers messages are lost. */
    readonly setPartition: (isPartitioned: (from: FleetProcess, to: FleetProcess) => boolean) => void;
    readonly setLossShare: (share: number) => void;
    /** Makes relays answer that they did not reach the target, whether they did or not. */
    readonly breakRelays: () => void;
    readonly runFor: (durationMs: number) => void;
    /** Finds a process in the membership view of another. */
    readonly findMember: (observer: number, subject: number) => Member | undefined;
}

const callTimeoutMs = 2_000;
const sameDomainLatencyMs = 0.3;
const crossDomainLatencyMs = 1.5;
const seedCount = 3;

/** Creates the fleet; every process is started and has up to three seeds as contacts. */
export function createFleet(options: FleetOptions): Fleet {
    const clock = createVirtualClock(options.seed);
    const overhead = options.overhead ?? { requestBytes: 0, answerBytes: 0 };
    const processes: FleetProcess[] = [];
    const byAddress = new Map<string, FleetProcess>();
    let lossShare = options.lossShare ?? 0;
    let areRelaysBroken = false;
    let isPartitioned: (from: FleetProcess, to: FleetProcess) => boolean = () => false;

    function deliver(
        from: FleetProcess,
        to: FleetProcess,
        body: unknown,
        overheadBytes: number,
        onArrival: () => void,
    ): void {
        const bytes = JSON.stringify(body ?? {}).length + overheadBytes;
        from.traffic.sentBytes += bytes;
        from.traffic.sentMessages += 1;
        if (isPartitioned(from, to) || clock.random() < lossShare / 2) {
            return;
        }
        const isSameFailureDomain = from.failureDomain === to.failureDomain;
        clock.after(
            (isSameFailureDomain ? sameDomainLatencyMs : crossDomainLatencyMs) * (1 + clock.random()),
            () =>
                to.clock.run(() => {
                    to.traffic.receivedBytes += bytes;
                    onArrival();
                }),
        );
    }

    function call<A>(
        from: () => FleetProcess,
        address: string,
        body: unknown,
        serve: (membership: Membership, answer: (value: A) => void) => void,
        onAnswer: (answer: A | undefined) => void,
    ): void {
        const caller = from();
        const target = byAddress.get(address);
        let isFinished = false;
        function finish(answer: A | undefined): void {
            if (!isFinished) {
                isFinished = true;
                onAnswer(answer);
            }
        }
        caller.clock.after(callTimeoutMs, () => finish(undefined));
        if (target === undefined) {
            return;
        }
        deliver(
            caller,
            target,
            body,
            overhead.requestBytes,
            () =>
                serve(
                    target.membership,
                    answer => deliver(target, caller, answer, overhead.answerBytes, () => finish(answer)),
                ),
        );
    }

    function createTransport(from: () => FleetProcess): PeerTransport {
        return {
            probe: (address, req, onAnswer) =>
                call(from, address, req, (membership, answer) => answer(membership.handleProbe(req)), onAnswer),
            relay: (address, req, onAnswer) =>
                call<RelayAnswer>(
                    from,
                    address,
                    req,
                    (membership, answer) => membership.handleRelay(req, answer),
                    answer => onAnswer(areRelaysBroken && answer !== undefined ? { isReached: false } : answer),
                ),
            readMembers: (address, onAnswer) =>
                call(from, address, {}, (membership, answer) => answer(membership.view().members), onAnswer),
        };
    }

    function start(index: number): void {
        const instance = `entry-${index + 1}`;
        const peerAddress = toAddress(index);
        const processClock = createPausableClock(clock);
        const failureDomain = options.failureDomains[index % options.failureDomains.length]!;
        const traffic: Traffic = { sentBytes: 0, receivedBytes: 0, sentMessages: 0 };
        const process = { index, instance, failureDomain, clock: processClock, traffic } as {
            -readonly [K in keyof FleetProcess]: FleetProcess[K];
        };
        processes[index] = process;
        byAddress.set(peerAddress, process);
        process.membership = createMembership({
            clock: processClock,
            random: clock.random,
            identity: { instance, failureDomain, callerAddress: peerAddress.replace("8081", "8080"), peerAddress },
            listContacts: () =>
                Array.from({ length: Math.min(seedCount, options.size) }, (_, seed) => toAddress(seed))
                    .filter(address => address !== peerAddress),
            transport: createTransport(() => process),
            attachments: options.attachments?.(index) ?? [],
            onEvent: event => options.onEvent?.({ atMs: clock.now(), observer: instance, event }),
        });
    }

    for (let index = 0; index < options.size; index += 1) {
        start(index);
    }
    return {
        clock,
        processes,
        crash: index => processes[index]!.clock.crash(),
        restart: index => {
            processes[index]!.clock.crash();
            start(index);
        },
        setPartition: value => {
            isPartitioned = value;
        },
        setLossShare: share => {
            lossShare = share;
        },
        breakRelays: () => {
            areRelaysBroken = true;
        },
        runFor: durationMs => clock.runUntil(clock.now() + durationMs),
        findMember: (observer, subject) =>
            processes[observer]!.membership.view().members.find(member =>
                member.instance === processes[subject]!.instance
            ),
    };
}

function toAddress(index: number): string {
    return `10.0.${index >> 8}.${index & 255}:8081`;
}
