/**
 * @module
 * The fleet as one instance sees it. Each instance sends heartbeats to a bounded number of others. They relay when each
 * instance was last seen, and describe the few instances that changed lately, so that the bytes of an instance do not
 * grow with the fleet.
 */
import { decodeMemberAges } from "./decodeMemberAges.js";
import { deriveDescriptionId } from "./deriveDescriptionId.js";
import { encodeMemberAges } from "./encodeMemberAges.js";
import { findLoadBytes } from "./findLoadBytes.js";
import type { FleetInstance, Heartbeat } from "./heartbeat.js";
import { maxDirectPeers, planHeartbeats } from "./planHeartbeats.js";

/** An instance, and when it was last seen, directly or through others, in milliseconds on the local clock. */
export interface FleetMember {
    readonly instance: FleetInstance;
    readonly lastSeenMs: number;
}

/** A view of the fleet. Times are milliseconds on the local clock. */
export interface FleetView {
    /** Applies a heartbeat; returns false when it comes from an earlier incarnation of its sender. */
    readonly applyHeartbeat: (heartbeat: Heartbeat, nowMs: number) => boolean;
    /** Other instances that were seen within the time-out. */
    readonly listLive: (nowMs: number) => readonly FleetMember[];
    /** Addresses to which the next heartbeat is sent. */
    readonly chooseTargets: (nowMs: number) => readonly string[];
    /** Instances to describe in the next heartbeat; each call counts as one heartbeat. */
    readonly chooseKnown: (nowMs: number) => Heartbeat["known"];
    /** Ids of descriptions that a heartbeat mentions and that are unknown here. */
    readonly listUnknown: (heartbeat: Heartbeat) => readonly number[];
    /** Describes the instances with the given ids that are live. */
    readonly describeInstances: (ids: readonly number[], nowMs: number) => Heartbeat["known"];
    /** When live instances were last seen, for the next heartbeat. */
    readonly describeAges: (nowMs: number) => string;
    /** Adds addresses from settings or the platform's store, which may be out of date. */
    readonly addContacts: (heartbeatAddresses: readonly string[]) => void;
    /** Upper bound on the instances that ran at once within the last minute, this one included. */
    readonly countInstances: (nowMs: number) => number;
    /** Time until the next heartbeat, in milliseconds. */
    readonly nextIntervalMs: () => number;
    /** Time without a sign after which an instance counts as failed, in milliseconds. */
    readonly timeoutMs: () => number;
    /** Bytes for the loads of upstreams in a heartbeat that has so many without them. */
    readonly findLoadBytes: (ownBytes: number) => number;
    /** Whether each heartbeat reaches all other instances directly. */
    readonly isDirect: () => boolean;
    /** Number of other instances that are known or may run at a known address. */
    readonly countAddresses: () => number;
}

/** Options of {@link createFleetView}. */
export interface FleetViewOptions {
    readonly self: Pick<FleetInstance, "name" | "startedAtMs" | "heartbeatAddress">;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** A member, and in how many further heartbeats it is described. */
interface MemberState {
    readonly instance: FleetInstance;
    readonly descriptionId: number;
    lastSeenMs: number;
    remainingDescriptions: number;
}

/** Instances that are described in each heartbeat at most, and in an answer to a peer that asks for descriptions. */
const maxDescribed = 4;
const maxAnswered = 32;

/** Heartbeats in which an instance is described after it was learned of or its state changed. */
const descriptions = 2;

/** States in the order in which an incarnation goes through them; a relay of an earlier one is late. */
const states: readonly FleetInstance["state"][] = ["starting", "serving", "leaving"];

/** Time that a relay may have taken at least, in milliseconds: on no way does an instance look younger than it is. */
const relayDelayMs = 30;

/** Time for which a failed instance still gets heartbeats, so that it learns of others, in milliseconds. */
const retentionMs = 60_000;

/** Probability that a contact which has not answered yet is sent a heartbeat. */
const contactProbability = 0.5;

/** The same while enough other instances are known: most contacts are out of date then. */
const rareContactProbability = 0.05;

function supersedes(next: FleetInstance, known: FleetInstance): boolean {
    if (next.startedAtMs !== known.startedAtMs) {
        return next.startedAtMs > known.startedAtMs;
    }
    return states.indexOf(next.state) >= states.indexOf(known.state);
}

/**
 * Creates an empty view.
 *
 * @param options - This instance, and a source of random numbers.
 * @returns The view.
 * @example
 * createFleetView({ self, random }).listLive(clock.now()); // []
 */
export function createFleetView(options: FleetViewOptions): FleetView {
    const members = new Map<string, MemberState>();
    /** Members by the ids of their descriptions, earlier states of the same incarnation included. */
    const byDescription = new Map<number, MemberState>();
    const contacts = new Set<string>();
    const { self } = options;
    const ownDescriptions = new Set(states.map(state => deriveDescriptionId({ ...self, state })));

    const plan = () => planHeartbeats(members.size);

    function forget({ instance }: MemberState): void {
        members.delete(instance.name);
        states.forEach(state => byDescription.delete(deriveDescriptionId({ ...instance, state })));
    }

    /** Peers that have not heard of the newest state yet still mention an earlier one. */
    function replaceMember(instance: FleetInstance, lastSeenMs: number): void {
        const descriptionId = deriveDescriptionId(instance);
        const member: MemberState = { instance, descriptionId, lastSeenMs, remainingDescriptions: descriptions };
        members.set(instance.name, member);
        states.slice(0, states.indexOf(instance.state) + 1)
            .forEach(state => byDescription.set(deriveDescriptionId({ ...instance, state }), member));
    }

    function recordInstance(instance: FleetInstance, seenMs: number): boolean {
        if (instance.name === self.name) {
            return false;
        }
        const known = members.get(instance.name);
        // A clock that was set back gives a new incarnation an earlier start: accept it once the old one has timed out.
        const isTimedOut = known !== undefined && seenMs - known.lastSeenMs > plan().timeoutMs;
        if (known !== undefined && !isTimedOut && !supersedes(instance, known.instance)) {
            return false;
        }
        contacts.delete(instance.heartbeatAddress);
        if (known?.instance.startedAtMs !== instance.startedAtMs) {
            if (known !== undefined) {
                forget(known);
            }
            replaceMember(instance, seenMs);
        }
        else if (known.instance.state !== instance.state) {
            replaceMember(instance, Math.max(seenMs, known.lastSeenMs));
        }
        else {
            known.lastSeenMs = Math.max(seenMs, known.lastSeenMs);
        }
        return true;
    }

    function recordAges(text: string, nowMs: number): void {
        for (const { id, ageMs } of decodeMemberAges(text)) {
            const member = byDescription.get(id);
            if (member !== undefined) {
                member.lastSeenMs = Math.max(member.lastSeenMs, nowMs - ageMs - relayDelayMs);
            }
        }
    }

    function sampleItems<T>(items: readonly T[], count: number): readonly T[] {
        if (items.length <= count) {
            return items;
        }
        const samples = items.map(item => ({ item, order: options.random() }));
        return samples.toSorted((left, right) => left.order - right.order).slice(0, count).map(sample => sample.item);
    }

    function listRecent(nowMs: number): readonly MemberState[] {
        for (const member of members.values()) {
            if (nowMs - member.lastSeenMs > retentionMs) {
                forget(member);
            }
        }
        return [...members.values()];
    }

    function chooseTargets(nowMs: number): readonly string[] {
        const { fanOut } = plan();
        const addresses = listRecent(nowMs).map(member => member.instance.heartbeatAddress);
        const probability = addresses.length > maxDirectPeers ? rareContactProbability : contactProbability;
        const contacted = [...contacts].filter(() => options.random() < probability);
        return [...sampleItems(addresses, fanOut), ...sampleItems(contacted, fanOut)];
    }

    function listLive(nowMs: number): readonly MemberState[] {
        const { timeoutMs } = plan();
        return [...members.values()].filter(member => nowMs - member.lastSeenMs < timeoutMs);
    }

    function describe({ instance, lastSeenMs }: MemberState, nowMs: number): Heartbeat["known"][number] {
        return { instance, ageMs: Math.max(0, Math.round(nowMs - lastSeenMs)) };
    }

    /** Chooses the instances that changed lately; peers ask for the others that are unknown to them. */
    function chooseKnown(nowMs: number): Heartbeat["known"] {
        const changed = sampleItems(
            listLive(nowMs).filter(member => member.remainingDescriptions > 0),
            maxDescribed,
        );
        changed.forEach(member => {
            member.remainingDescriptions -= 1;
        });
        return changed.map(member => describe(member, nowMs));
    }

    return {
        applyHeartbeat: (heartbeat, nowMs) => {
            for (const { instance, ageMs } of heartbeat.known) {
                recordInstance(instance, nowMs - ageMs - relayDelayMs);
            }
            recordAges(heartbeat.ages, nowMs);
            return recordInstance(heartbeat.from, nowMs);
        },
        listLive,
        chooseTargets,
        chooseKnown,
        listUnknown: heartbeat =>
            decodeMemberAges(heartbeat.ages).map(one => one.id).filter(id =>
                !byDescription.has(id) && !ownDescriptions.has(id)
            ).slice(0, maxAnswered),
        describeInstances: (ids, nowMs) => {
            const asked = new Set(ids.slice(0, maxAnswered).map(id => byDescription.get(id)));
            return listLive(nowMs).filter(member => asked.has(member)).map(member => describe(member, nowMs));
        },
        describeAges: nowMs =>
            encodeMemberAges(
                listLive(nowMs).map(({ descriptionId, lastSeenMs }) => ({
                    id: descriptionId,
                    ageMs: nowMs - lastSeenMs,
                })),
            ),
        addContacts: addresses => {
            const known = new Set([...members.values()].map(member => member.instance.heartbeatAddress));
            addresses.filter(address => address !== self.heartbeatAddress && !known.has(address))
                .forEach(address => contacts.add(address));
        },
        countInstances: nowMs => listRecent(nowMs).length + 1,
        nextIntervalMs: () => plan().intervalMs,
        timeoutMs: () => plan().timeoutMs,
        findLoadBytes: ownBytes => findLoadBytes(plan(), ownBytes),
        isDirect: () => members.size <= maxDirectPeers,
        countAddresses: () => members.size + contacts.size,
    };
}
