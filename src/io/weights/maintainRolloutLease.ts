/**
 * @module
 * Acquires and renews the rollout lease by conditional appends to its topic.
 */
import type { FleetMember } from "../../core/fleet/createFleetView.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import type { AppendResult, RecordStore } from "../../core/ports/recordStore.js";
import type { Clock } from "../../core/time/clock.js";
import { createBackoff } from "../../core/time/createBackoff.js";
import { leaseValidMs, type RolloutLease } from "../../core/weights/createRolloutLease.js";
import { decodeLeaseRecord, encodeLeaseRecord } from "../../core/weights/leaseRecord.js";
import { toFencingNumber } from "../../core/weights/toFencingNumber.js";

/** Dependencies of {@link maintainRolloutLease}. */
export interface RolloutLeaseDependencies {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: RecordStore;
    readonly leaseTopic: string;
    readonly lease: RolloutLease;
    readonly listLive: () => readonly FleetMember[];
    readonly isLeaving: () => boolean;
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
const renewShare = 0.25;

/** Time for which other instances wait for the preferred one before they acquire the lease, in milliseconds. */
const takeoverDelayMs = 600;

/** Time between the attempts of two such instances, in milliseconds. */
const takeoverSpacingMs = 100;

/** Delay after a failed read of the claims, and the longest one after several in a row, in milliseconds. */
const readRetryDelayMs = 100;
const maxReadRetryDelayMs = 800;

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
    /** Era in which the claims were last read. */
    let readEra: number | undefined;
    /** End of the topic after a read since a renewal was missing. */
    let searchedEnd: number | undefined;
    /** Work and reason of the last line that said why the lease is awaited. */
    let loggedWait: string | undefined;
    /** Instances that the store turns away leave it alone: others may hold the lease meanwhile. */
    const readBackoff = createBackoff({
        now: clock.now,
        firstDelayMs: readRetryDelayMs,
        maxDelayMs: maxReadRetryDelayMs,
    });

    /** The last holder is preferred; without it the instance with the lowest name, and after a delay any other. */
    function isPreferred(nowMs: number): boolean {
        const ownState = deps.isLeaving() ? "leaving" : "serving";
        const live = deps.listLive().map(member => member.instance)
            .filter(instance => instance.state === ownState);
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

    /** Reads the claims from the known end on. `moved`: the topic begins or ends elsewhere than was known. */
    async function readFromEnd(): Promise<"read" | "failed" | "moved"> {
        const from = lease.end();
        const era = lease.era();
        const read = await deps.store.readPlain(deps.leaseTopic, from);
        const nowMs = clock.now();
        if (read.kind === "failed") {
            return "failed";
        }
        if (lease.era() !== era) {
            return "moved";
        }
        if (read.kind === "truncated") {
            if (read.first > from) {
                lease.recordFirst(read.first, nowMs);
            }
            else {
                lease.reset(nowMs);
            }
            return "moved";
        }
        for (const record of read.records) {
            const decoded = decodeLeaseRecord(Buffer.from(record.value).toString());
            lease.recordClaim({ ...decoded, offset: record.offset }, nowMs);
        }
        lease.recordEnd(read.end, nowMs);
        return "read";
    }

    async function readClaims(): Promise<boolean> {
        const first = await readFromEnd();
        const last = first === "moved" ? await readFromEnd() : first;
        readBackoff.recordResult(last !== "failed");
        readEra = last === "read" ? lease.era() : undefined;
        return last === "read";
    }

    /**
     * A holder may end before its peers have heard of its last claim. They read once when a renewal is missing, since the time
     * until the lease is free counts from when a claim is known.
     */
    async function searchLastClaim(nowMs: number): Promise<void> {
        if (lease.hasLapsed(nowMs) && searchedEnd !== lease.end()) {
            if (await readClaims()) {
                searchedEnd = lease.end();
            }
        }
    }

    async function claim(): Promise<void> {
        const sentMs = clock.now();
        const era = lease.era();
        const end = lease.end();
        const record = Buffer.from(encodeLeaseRecord({ instance: deps.instance, era }));
        const appended = await deps.store.appendAt(deps.leaseTopic, end, record);
        deps.onClaim(appended.kind);
        if (appended.kind === "appended" && appended.era === era) {
            lease.recordOwnClaim({ era, offset: appended.offset }, sentMs);
            deps.writeLog("leaseTaken", { fence: toFencingNumber(era, appended.offset) });
            deps.notifyPeers();
            return;
        }
        // A claim that was sent in one era and appended in the next one does not count.
        deps.writeLog("leaseLost", { reason: appended.kind === "appended" ? "returned" : appended.kind });
        if (appended.kind === "moved" && appended.end < lease.end()) {
            lease.reset(clock.now());
        }
        await readClaims();
    }

    /** Writes one line for each reason while the same work waits. */
    function logWait(reason: "preferred" | "claimed", nowMs: number): void {
        const workSinceMs = deps.workSinceMs();
        const wait = `${workSinceMs} ${lease.holder()} ${reason}`;
        if (workSinceMs !== undefined && wait !== loggedWait) {
            loggedWait = wait;
            const freeInMs = Math.round(lease.freeInMs(nowMs));
            const waitedMs = Math.round(nowMs - workSinceMs);
            deps.writeLog("leaseAwaited", { reason, holder: lease.holder(), end: lease.end(), freeInMs, waitedMs });
        }
    }

    /** The store is read only when, according to the peers' reports, no instance can hold the lease. */
    async function mayClaim(nowMs: number): Promise<boolean> {
        if (!isPreferred(nowMs)) {
            logWait("preferred", nowMs);
            return false;
        }
        if (readBackoff.isWaiting()) {
            return false;
        }
        if (!lease.isFree(nowMs)) {
            logWait("claimed", nowMs);
            await searchLastClaim(nowMs);
        }
        // A claim of the current era shows that no claim was lost.
        if (lease.mayHaveLostClaims(nowMs) && readEra !== lease.era()) {
            await readClaims();
        }
        return lease.isFree(clock.now()) && await readClaims();
    }

    async function renewLease(): Promise<boolean> {
        const nowMs = clock.now();
        if (lease.fence(nowMs) !== undefined && lease.remainingMs(nowMs) > leaseValidMs * renewShare) {
            return true;
        }
        if (lease.fence(nowMs) === undefined && !await mayClaim(nowMs)) {
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
