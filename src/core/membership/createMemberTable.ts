/**
 * @module
 * Table of the known members except this instance.
 */
import { hashText } from "../_lib/hashText.js";
import type { Member } from "./memberTypes.js";

/** The known members except this instance. */
export interface MemberTable {
    readonly find: (instance: string) => Member | undefined;
    /** Members that are not dead. */
    readonly listPresent: () => readonly Member[];
    readonly listDead: () => readonly Member[];
    readonly put: (member: Member, nowMs: number) => void;
    /** Removes dead members after their retention time or beyond the maximum number. */
    readonly prune: (nowMs: number) => void;
    /** Hash of the present members, independent of their order. */
    readonly hash: () => bigint;
}

/** Time for which a dead member is kept and contacted again. */
const deadRetentionMs = 2 * 60 * 60 * 1000;

/** Maximum number of dead members that are kept. */
const maxDeadMembers = 1000;

interface DeadMember {
    readonly member: Member;
    readonly changedMs: number;
}

/**
 * Hashes the part of a present member's state that all instances should agree on.
 *
 * @param member - The member.
 * @returns The hash, 0 for a dead member.
 * @example
 * hashMember(member) ^ hashMember(other);
 */
export function hashMember(member: Member): bigint {
    if (member.state === "dead") {
        return 0n;
    }
    return hashText(`${member.instance}/${member.incarnation}/${member.state}`);
}

/**
 * Creates an empty table.
 *
 * @returns The table.
 * @example
 * createMemberTable().listPresent(); // []
 */
export function createMemberTable(): MemberTable {
    const present = new Map<string, Member>();
    const dead = new Map<string, DeadMember>();
    let hash = 0n;
    let listed: readonly Member[] | undefined;

    function put(member: Member, nowMs: number): void {
        const held = present.get(member.instance);
        hash ^= (held === undefined ? 0n : hashMember(held)) ^ hashMember(member);
        listed = undefined;
        present.delete(member.instance);
        dead.delete(member.instance);
        if (member.state === "dead") {
            dead.set(member.instance, { member, changedMs: nowMs });
        }
        else {
            present.set(member.instance, member);
        }
    }

    function prune(nowMs: number): void {
        for (const [instance, held] of dead) {
            if (nowMs - held.changedMs < deadRetentionMs && dead.size <= maxDeadMembers) {
                return;
            }
            dead.delete(instance);
        }
    }

    return {
        find: instance => present.get(instance) ?? dead.get(instance)?.member,
        listPresent: () => {
            listed ??= [...present.values()];
            return listed;
        },
        listDead: () => [...dead.values()].map(held => held.member),
        put,
        prune,
        hash: () => hash,
    };
}
