/**
 * @module
 * Claims and renews the rollout lease by conditional appends to its topic.
 */
import type { FleetMember } from "../../core/fleet/createFleetView.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { AppendResult, RecordStore } from "../../core/ports/recordStore.js";
import type { Clock } from "../../core/time/clock.js";
import { leaseValidMs, type RolloutLease } from "../../core/weights/createRolloutLease.js";

/** What keeping the lease needs. */
export interface RolloutLeaseDependencies {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: RecordStore;
    readonly leaseTopic: string;
    readonly lease: RolloutLease;
    readonly listLive: () => readonly FleetMember[];
    /** Notices a pause of the process before anything that must not trust the time before it. */
    readonly checkPause: () => void;
    /** Tells peers at once. */
    readonly notifyPeers: () => void;
    readonly writeLog: WriteLog;
    readonly onClaim: (result: AppendResult["kind"]) => void;
    /** Since when there is work for a holder, in milliseconds; undefined while there is none. */
    readonly workSinceMs: () => number | undefined;
}

/** Part of the lease's validity that is left when it is renewed. */
const renewShare = 0.5;

/** Time for which another instance waits for the preferred one to begin, in milliseconds. */
const stepInMs = 1_500;

/** Time that lies between two instances that step in, in milliseconds. */
const stepSpacingMs = 100;

/**
 * Creates the keeping of the lease.
 *
 * @param deps - The lease and the store.
 * @returns Makes sure that the lease is held with enough time left, and tells whether it is; calls at once share one append.
 */
export function maintainRolloutLease(deps: RolloutLeaseDependencies): () => Promise<boolean> {
    const { clock, lease } = deps;
    let renewal: Promise<boolean> | undefined;

    /** The last holder goes on; without it the instance whose name is first steps in, and after a while any other. */
    function isPreferred(nowMs: number): boolean {
        const live = deps.listLive().map(member => member.instance)
            .filter(instance => instance.state === "serving");
        const holder = lease.holder();
        if (holder === deps.instance) {
            return true;
        }
        const waitedMs = nowMs - (deps.workSinceMs() ?? nowMs);
        if (waitedMs > stepInMs) {
            const rank = live.filter(instance => instance.name < deps.instance).length;
            return waitedMs > stepInMs + rank * stepSpacingMs;
        }
        if (holder !== undefined && live.some(instance => instance.name === holder)) {
            return false;
        }
        return live.every(instance => instance.name > deps.instance);
    }

    async function learnClaims(): Promise<boolean> {
        const read = await deps.store.readPlain(deps.leaseTopic, lease.end());
        const nowMs = clock.now();
        if (read.kind === "failed") {
            return false;
        }
        if (read.kind === "truncated") {
            lease.recordEnd(read.first, nowMs);
            return false;
        }
        for (const record of read.records) {
            lease.recordClaim({ instance: Buffer.from(record.value).toString(), offset: record.offset }, nowMs);
        }
        lease.recordEnd(read.end, nowMs);
        return true;
    }

    async function claim(): Promise<void> {
        const sentMs = clock.now();
        const appended = await deps.store.appendAt(deps.leaseTopic, lease.end(), Buffer.from(deps.instance));
        deps.onClaim(appended.kind);
        if (appended.kind === "appended") {
            lease.recordOwnClaim(appended.offset, sentMs);
            deps.writeLog("leaseTaken", { fence: appended.offset });
            deps.notifyPeers();
        }
        else {
            deps.writeLog("leaseLost", { reason: appended.kind });
            await learnClaims();
        }
    }

    async function renewLease(): Promise<boolean> {
        const nowMs = clock.now();
        if (lease.fence(nowMs) !== undefined && lease.remainingMs(nowMs) > leaseValidMs * renewShare) {
            return true;
        }
        const mustClaim = lease.fence(nowMs) === undefined;
        // The store is asked only when, by what peers tell, nobody can hold the lease.
        if (mustClaim && (!isPreferred(nowMs) || !lease.isFree(nowMs) || !await learnClaims())) {
            return false;
        }
        if (lease.isFree(clock.now())) {
            await claim();
        }
        return lease.fence(clock.now()) !== undefined;
    }

    return () => {
        deps.checkPause();
        renewal ??= renewLease().finally(() => {
            renewal = undefined;
        });
        return renewal;
    };
}
