/**
 * @module
 * Costs of membership.
 */
import { createVirtualClock } from "../../../fakes/createVirtualClock.js";
import { createMembership, type Membership } from "../../../src/core/membership/createMembership.js";
import type { Member } from "../../../src/core/membership/memberTypes.js";
import type { PeerTransport } from "../../../src/core/membership/peerMessages.js";
import { measureBytes, measureCpuMicroseconds } from "../../_lib/measureCost.js";
import { type SlopeCase, twoYears } from "../slopeCase.js";

const memberCounts = [8, 40, 120, 380] as const;

/** Probes per second that an instance sends; it receives as many on average. */
const probesPerSecond = 1;

const noopTransport: PeerTransport = {
    probe: () => undefined,
    relay: () => undefined,
    readMembers: () => undefined,
};

function createMembers(count: number): readonly Member[] {
    return Array.from({ length: count }, (_, index): Member => ({
        instance: `entry-${index}`,
        incarnation: 1,
        state: "alive",
        failureDomain: `domain-${index % 7}`,
        callerAddress: `10.0.${index >> 8}.${index & 255}:8080`,
        peerAddress: `10.0.${index >> 8}.${index & 255}:8081`,
    }));
}

function createMembershipOf(count: number): Membership {
    const clock = createVirtualClock(1);
    const members = createMembers(count);
    const membership = createMembership({
        clock,
        random: clock.random,
        identity: members[0]!,
        listContacts: () => [],
        transport: noopTransport,
        attachments: [],
        onEvent: () => undefined,
    });
    membership.applyMembers(members.slice(1));
    return membership;
}

function measureProbe(count: number): number {
    const membership = createMembershipOf(count);
    const from = createMembers(count)[1]!;
    return measureCpuMicroseconds(() => {
        JSON.stringify(membership.handleProbe({ from, viewHash: "0", updates: [], attachments: [] }));
    });
}

const copies = 25;

/** Costs of membership. */
export const membershipCases: readonly SlopeCase[] = [
    {
        role: "membership",
        subject: "answering a probe",
        quantity: "cpuMicroseconds",
        sizeName: "member",
        sizes: memberCounts,
        measure: measureProbe,
        twoYearSize: twoYears.daemons,
        twoYearRate: 2 * probesPerSecond,
        isControl: true,
        mechanism: "each instance probes one other per period; updates are piggybacked on probes",
    },
    {
        role: "membership",
        subject: "members in memory",
        quantity: "memoryBytes",
        sizeName: "member",
        sizes: memberCounts,
        measure: count => measureBytes(() => createMembershipOf(count), copies),
        twoYearSize: twoYears.daemons,
        twoYearRate: 1,
        isControl: true,
        mechanism: "one record per member",
    },
];
