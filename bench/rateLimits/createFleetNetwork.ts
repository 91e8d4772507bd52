/**
 * @module
 * Instances that learn of each other by heartbeats over a network which loses messages, delivers some late, and is cut.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import { createFleetView } from "../../src/core/fleet/createFleetView.js";
import type { FleetInstance, Heartbeat } from "../../src/core/fleet/heartbeat.js";
import type { Clock } from "../../src/core/time/clock.js";
import { drawTransitMs } from "../support/drawTransitMs.js";

/** A message between two instances beside heartbeats. */
export type PeerMessage = Readonly<Record<string, unknown>>;

/** An instance on the network. */
export interface NetworkMember {
    readonly name: string;
    /** Names of the other live instances that serve. */
    readonly listOthers: () => readonly string[];
    /** Time after which an instance without a sign counts as failed, in milliseconds. */
    readonly timeoutMs: () => number;
    readonly isDirect: () => boolean;
    readonly send: (names: readonly string[], message: PeerMessage) => void;
    /** Ends the process. */
    readonly leave: () => void;
}

/** What a member does with what it receives. */
export interface MemberOptions {
    readonly name: string;
    /** Clock of the process. */
    readonly clock: Clock;
    readonly receive: (from: string, message: PeerMessage) => void;
    /** Digest that heartbeats carry. */
    readonly digest: () => string | undefined;
    readonly compareDigest: (from: string, digest: string | undefined) => void;
    /** Use of upstreams that heartbeats report in a small fleet. */
    readonly listUses: () => Heartbeat["uses"];
    readonly applyUses: (from: string, uses: Heartbeat["uses"]) => void;
}

/** The network. */
export interface FleetNetwork {
    readonly join: (options: MemberOptions) => NetworkMember;
    /** Sets the fraction of an instance's messages that are lost beside the usual loss; 1 cuts it off. */
    readonly setLoss: (name: string, share: number) => void;
    readonly countMessages: () => number;
    readonly countBytes: () => number;
}

/** Options of {@link createFleetNetwork}. */
export interface FleetNetworkOptions {
    readonly messageLoss: number;
    readonly lateMessages: number;
    /** Names of the instances that are started first. */
    readonly names: readonly string[];
}

/** Longest delay of a late message, in milliseconds. */
const maxLateMs = 1_000;

/** Bytes of a datagram's own headers. */
const datagramBytes = 28;

type Delivery = (from: string, content: Heartbeat | PeerMessage, isHeartbeat: boolean) => void;

function describeInstance(name: string, startedAtMs: number): FleetInstance {
    const address = `${name}:1`;
    return {
        name,
        startedAtMs,
        failureDomain: "north",
        callerAddress: address,
        peerAddress: address,
        heartbeatAddress: address,
        state: "serving",
    };
}

/** Creates a network without instances. */
export function createFleetNetwork(clock: VirtualClock, options: FleetNetworkOptions): FleetNetwork {
    const { random } = clock;
    const deliveries = new Map<string, Delivery>();
    const losses = new Map<string, number>();
    let messages = 0;
    let bytes = 0;

    function transmit(from: string, to: string, content: Heartbeat | PeerMessage, isHeartbeat: boolean): void {
        const shares = [options.messageLoss, losses.get(from) ?? 0, losses.get(to) ?? 0];
        if (shares.some(share => random() < share)) {
            return;
        }
        const lateMs = random() < options.lateMessages ? random() * maxLateMs : 0;
        clock.after(drawTransitMs(random) + lateMs, () => deliveries.get(to)?.(from, content, isHeartbeat));
    }

    function join(member: MemberOptions): NetworkMember {
        const { name, clock: ownClock } = member;
        const self = describeInstance(name, clock.now() + 1);
        const view = createFleetView({ self, random });
        view.addContacts(options.names.map(one => `${one}:1`));
        let isLeft = false;

        function composeHeartbeat(): Heartbeat {
            return {
                from: self,
                tableVersion: 1,
                storeAgeMs: 0,
                named: [],
                uses: view.isDirect() ? member.listUses() : [],
                loading: [],
                loaded: [],
                signals: member.digest(),
                known: view.chooseKnown(clock.now()),
                ages: view.describeAges(clock.now()),
            };
        }

        function sendHeartbeats(): void {
            if (isLeft) {
                return;
            }
            const heartbeat = composeHeartbeat();
            view.chooseTargets(clock.now()).forEach(address =>
                transmit(name, address.split(":")[0] ?? "", heartbeat, true)
            );
            ownClock.after(view.nextIntervalMs(), sendHeartbeats);
        }

        /** Members tell and ask for descriptions as instances do. */
        function receiveHeartbeat(heartbeat: Heartbeat): void {
            view.applyHeartbeat(heartbeat, clock.now());
            const { name: from } = heartbeat.from;
            if (heartbeat.wanted !== undefined) {
                const known = view.describeInstances(heartbeat.wanted, clock.now());
                transmit(name, from, { ...composeHeartbeat(), known, isAnswer: true }, true);
            }
            else if (heartbeat.isAnswer !== true) {
                const wanted = view.listUnknown(heartbeat);
                if (wanted.length > 0) {
                    transmit(name, from, { ...composeHeartbeat(), wanted }, true);
                }
            }
            member.compareDigest(from, heartbeat.signals);
            member.applyUses(from, heartbeat.uses);
        }

        const deliver: Delivery = (from, content, isHeartbeat) =>
            ownClock.after(0, () => {
                if (isLeft) {
                    return;
                }
                if (isHeartbeat) {
                    receiveHeartbeat(content as Heartbeat);
                }
                else {
                    member.receive(from, content as PeerMessage);
                }
            });
        deliveries.set(name, deliver);
        ownClock.after(random() * view.nextIntervalMs(), sendHeartbeats);
        return {
            name,
            listOthers: () => view.listLive(clock.now()).map(one => one.instance.name),
            timeoutMs: view.timeoutMs,
            isDirect: view.isDirect,
            send: (names, message) => {
                if (isLeft) {
                    return;
                }
                const size = JSON.stringify(message).length + datagramBytes;
                messages += names.length;
                bytes += names.length * size;
                names.forEach(to => transmit(name, to, message, false));
            },
            leave: () => {
                isLeft = true;
                if (deliveries.get(name) === deliver) {
                    deliveries.delete(name);
                }
            },
        };
    }

    return {
        join,
        setLoss: (name, share) => {
            losses.set(name, share);
        },
        countMessages: () => messages,
        countBytes: () => bytes,
    };
}
