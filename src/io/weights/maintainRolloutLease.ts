/**
 * @module
 * Acquires and renews the rollout lease by conditional appends to its topic.
 */
import type { FleetMember } from "../../core/fleet/createFleetView.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { AppendResult, RecordStore } from "../../core/ports/recordStore.js";
import type { Clock } from "../../core/time/clock.js";
import { leaseValidMs, type RolloutLease } from "../../core/weights/createRolloutLease.js";

/** Dependencies of {@link maintainRolloutLease}. */
export interface RolloutLeaseDependencies {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: RecordStore;
    readonly leaseTopic: string;
    readonly lease: RolloutLease;
    readonly listLive: () => readonly FleetMember[];
    /** Detects a pause of the process; called before steps that must not rely on state from before a pause. */
    readonly checkPause: () => void;
    /** Sends a heartbeat to peers at once. */
    readonly notifyPeers: () => void;
    readonly writeLog: WriteLog;
    /** Called with the result of each append. */
    readonly onClaim: (result: AppendResult["kind"]) => void;
    /** When work for a holder arose, in milliseconds; undefined while there is none. */
    readonly workSinceMs: () => number | undefined;
}

/** Share of the lease's validity that is left when it is renewed. */
const renewShare = 0.5;

/** Time for which other instances wait for the preferred one before they acquire the lease, in milliseconds. */
const takeoverDelayMs = 1_500;

/** Time between the attempts of two such instances, in milliseconds. */
const takeoverSpacingMs = 100;

/**
 * Creates the function that acquires and renews the lease.
 *
 * @param deps - The lease and the store.
 * @returns A function that acquires or renews the lease when needed and resolves to whether it is held; concurrent
 * calls share one append.
 */
export function maintainRolloutLease(deps: RolloutLeaseDependencies): () => Promise<boolean> {
    const { clock, lease } = deps;
    let renewal: Promise<boolean> | undefined;

    /** The last holder is preferred; without it the instance with the lowest name, and after a delay any other. */
    function isPreferred(nowMs: number): boolean {
        const live = deps.listLive().map(member => member.instance)
            .filter(instance => instance.state === "serving");
        const holder = lease.holder();
        if (holder === deps.instance) {
            return true;
        }
        const waitedMs = nowMs - (deps.workSinceMs() ?? nowMs);
        if (waitedMs > takeoverDelayMs) {
            const rank = live.filter(instance => instance.name < deps.instance).length;
            return waitedMs > takeoverDelayMs + rank * takeoverSpacingMs;
        }
        if (holder !== undefined && live.some(instance => instance.name === holder)) {
            return false;
        }
        return live.every(instance => instance.name > deps.instance);
    }

    async function readClaims(): Promise<boolean> {
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
            await readClaims();
        }
    }

    async function renewLease(): Promise<boolean> {
        const nowMs = clock.now();
        if (lease.fence(nowMs) !== undefined && lease.remainingMs(nowMs) > leaseValidMs * renewShare) {
            return true;
        }
        const mustClaim = lease.fence(nowMs) === undefined;
        // The store is read only when, according to the peers' reports, no instance can hold the lease.
        if (mustClaim && (!isPreferred(nowMs) || !lease.isFree(nowMs) || !await readClaims())) {
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
