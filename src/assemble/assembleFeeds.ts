/**
 * @module
 * Assembles the feeds from the platform's store: the operator's records and the upstreams.
 */
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import type { KeyedRecord, StoreFailure } from "../core/ports/recordStore.js";
import type { UpstreamChange, UpstreamRecord } from "../core/registry/upstreamRecord.js";
import type { StoreReadPlan } from "../core/store/planStoreReads.js";
import { type FollowedTopic, followTopic, type ReadCause } from "../io/store/followTopic.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** The running feeds and the age of their data. */
export interface Feeds {
    /** Milliseconds since the list of upstreams was last read; infinite before the first time. */
    readonly upstreamsAgeMs: () => number;
    /** Milliseconds since the operator's topic was last read. */
    readonly operatorAgeMs: () => number;
    /** Forgets how new the data is, after a pause of the process. */
    readonly forgetAges: () => void;
    readonly stop: () => void;
}

/** When the instance has to read the store. */
export interface ReadNeeds {
    readonly plan: () => StoreReadPlan;
    /** Milliseconds since the operator's records were read, by this instance or by the peer that it copied. */
    readonly operatorAgeMs: () => number;
    /** The same of the list of upstreams. */
    readonly upstreamsAgeMs: () => number;
    /** Detects a pause of the process, in which a record may have waited for any time. */
    readonly checkPause: () => void;
}

/** The ages at which instances that are no readers read the store differ by up to this fraction. */
const staggerFraction = 0.15;

/** Longest delay after failed reads of an instance that is no reader, in milliseconds: there may be hundreds of them. */
const maxFollowerRetryMs = 800;

/** Time without reads after one that failed while a peer's copy is newer, in milliseconds; a jitter of the same is added. */
const backoffMs = 500;

/** Time without an answer after which the store is considered unreachable, in milliseconds. */
const unreachableAfterMs = 5_500;

/** Time beyond the wait of a long poll after which a record may have been appended while nothing was read, in milliseconds. */
const maxAnswerDelayMs = 1_000;

/** The reads of one topic. */
interface ReadTracker {
    readonly recordRead: () => void;
    readonly forgetAge: () => void;
    /** Milliseconds since the last read; infinite before the first. */
    readonly ageMs: () => number;
    readonly recordFailure: (failure: StoreFailure, tookMs: number) => void;
}

/** Tracks the age of the last read of a topic, and logs when reads fail for too long and when they succeed again. */
function trackReads(context: InstanceContext, topic: string): ReadTracker {
    const { clock, metrics, writeLog } = context;
    let lastReadMs = -Infinity;
    let isUnreachable = false;
    const ageMs = () => clock.now() - lastReadMs;
    return {
        ageMs,
        forgetAge: () => {
            lastReadMs = -Infinity;
        },
        recordRead: () => {
            if (isUnreachable) {
                isUnreachable = false;
                writeLog("storeRegained", { topic, ageMs: Math.round(ageMs()) });
            }
            lastReadMs = clock.now();
        },
        recordFailure: ({ cause, reason }, tookMs) => {
            metrics.storeReadFailures.inc({ cause });
            writeLog("storeReadFailed", { topic, cause, reason, tookMs: Math.round(tookMs) });
            if (!isUnreachable && ageMs() > unreachableAfterMs) {
                isUnreachable = true;
                writeLog("storeLost", {
                    topic,
                    reason,
                    ageMs: Number.isFinite(ageMs()) ? Math.round(ageMs()) : undefined,
                });
            }
        },
    };
}

/** Whether a topic has to be read now. */
interface ReadNeed {
    readonly isNeeded: () => boolean;
    readonly recordFailure: ReadTracker["recordFailure"];
}

/** A reader that the store does not serve leaves it alone for a while when the copy of a peer is newer. */
function createReadNeed(
    { clock, random }: InstanceContext,
    reads: ReadTracker,
    plan: () => StoreReadPlan,
    ageMs: () => number,
): ReadNeed {
    const stagger = 1 + random() * staggerFraction;
    let backoffUntilMs = -Infinity;
    return {
        isNeeded: () => {
            const { isReader, maxAgeMs } = plan();
            return ageMs() > maxAgeMs * stagger || (isReader && clock.now() >= backoffUntilMs);
        },
        recordFailure: (failure, tookMs) => {
            if (ageMs() < reads.ageMs()) {
                backoffUntilMs = clock.now() + backoffMs * (1 + random());
            }
            reads.recordFailure(failure, tookMs);
        },
    };
}

/**
 * Starts the feeds.
 *
 * @param context - The instance.
 * @param views - The views that are updated.
 * @param needs - When the store has to be read.
 * @returns The feeds.
 */
export function assembleFeeds(context: InstanceContext, views: InstanceViews, needs: ReadNeeds): Feeds {
    const { ports, clock, random, writeLog } = context;
    const { store, topics } = ports;
    const operatorReads = trackReads(context, topics.operator);
    const upstreamReads = trackReads(context, topics.upstreams);
    /** Whether the operator's records were read before. */
    let hasRead = false;

    const maxRetryDelayMs = () => (needs.plan().isReader ? 0 : maxFollowerRetryMs);
    const operatorNeed = createReadNeed(context, operatorReads, needs.plan, needs.operatorAgeMs);
    const upstreamsNeed = createReadNeed(context, upstreamReads, needs.plan, needs.upstreamsAgeMs);

    function reject(topic: string, record: KeyedRecord, detail: string): void {
        writeLog("recordRejected", { topic, key: record.key, offset: record.offset, detail });
    }

    /** `isAgeKnown`: the record was read as it was appended; `unreadMs`: time since the read before. */
    function applyOperatorRecord(record: KeyedRecord, isAgeKnown: boolean, unreadMs: number): void {
        const decoded = ports.decodeOperatorRecord(record);
        if (decoded.isErr) {
            reject(topics.operator, record, decoded.error);
            return;
        }
        const update = decoded.value;
        if (update?.kind === "table") {
            update.problems.forEach(detail => reject(topics.operator, record, detail));
            views.applyTable(update.table, "store", {
                problems: update.problems.length,
                unreadMs: Number.isFinite(unreadMs) ? Math.round(unreadMs) : undefined,
            });
        }
        else if (update?.kind === "weights") {
            const { model, version } = update;
            views.recordTarget({ model, version, ageMs: isAgeKnown ? 0 : undefined }, "store");
        }
    }

    /** `isPrompt`: each record was received as it was appended. */
    function applyOperatorRecords(records: readonly KeyedRecord[], isPrompt: boolean): void {
        const unreadMs = operatorReads.ageMs();
        operatorReads.recordRead();
        needs.checkPause();
        const wasPaused = !Number.isFinite(operatorReads.ageMs());
        const hasGap = wasPaused || unreadMs > needs.plan().operatorWaitMs + maxAnswerDelayMs;
        if (hasGap && hasRead) {
            views.recordGap();
        }
        hasRead = true;
        const isAgeKnown = isPrompt && !hasGap;
        records.forEach(record => applyOperatorRecord(record, isAgeKnown, unreadMs));
        if (!wasPaused) {
            views.recordTargetsKnown(clock.now());
        }
    }

    function decodeUpstream(record: KeyedRecord): UpstreamRecord | undefined {
        const decoded = ports.decodeUpstreamRecord(record);
        if (decoded.isErr) {
            reject(topics.upstreams, record, decoded.error);
            return undefined;
        }
        return decoded.value;
    }

    /** Decodes a record into changes. A malformed record changes nothing: the upstream's previous record stays. */
    function toChanges(record: KeyedRecord): readonly UpstreamChange[] {
        if (record.value === undefined) {
            return [{ kind: "removed", id: record.key }];
        }
        const decoded = decodeUpstream(record);
        return decoded === undefined ? [] : [{ kind: "put", record: decoded }];
    }

    function applyUpstreamList(records: readonly KeyedRecord[], cause: ReadCause): void {
        const list = records.filter(record => record.value !== undefined)
            .map(decodeUpstream)
            .filter(record => record !== undefined);
        if (cause === "returned") {
            views.registry.applyReturnedList(list, clock.now());
            writeLog("upstreamsReconciled", { listed: list.length, kept: views.registry.list().length });
            return;
        }
        views.registry.applyList(list, clock.now());
    }

    function updateUpstreams(apply: () => void): void {
        upstreamReads.recordRead();
        apply();
        views.notifyChange();
    }

    const followed: readonly FollowedTopic[] = [
        followTopic({
            store,
            clock,
            random,
            topic: topics.operator,
            timing: () => ({ waitMs: needs.plan().operatorWaitMs, intervalMs: 0 }),
            isNeeded: operatorNeed.isNeeded,
            maxRetryDelayMs,
            onNewest: records => applyOperatorRecords(records, false),
            onRecords: applyOperatorRecords,
            onFailure: operatorNeed.recordFailure,
            onError: error => logInternalFailure(writeLog, error),
            onTruncated: () => writeLog("topicTruncated", { topic: topics.operator }),
        }),
        followTopic({
            store,
            clock,
            random,
            topic: topics.upstreams,
            timing: () => ({ waitMs: 0, intervalMs: needs.plan().upstreamsIntervalMs }),
            isNeeded: upstreamsNeed.isNeeded,
            maxRetryDelayMs,
            onNewest: (records, cause) => updateUpstreams(() => applyUpstreamList(records, cause)),
            onRecords: records =>
                updateUpstreams(() => views.registry.applyChanges(records.flatMap(toChanges), clock.now())),
            onFailure: (failure, tookMs) => {
                views.registry.recordOutage(clock.now());
                upstreamsNeed.recordFailure(failure, tookMs);
            },
            onError: error => logInternalFailure(writeLog, error),
            onTruncated: () => writeLog("topicTruncated", { topic: topics.upstreams }),
        }),
    ];
    return {
        upstreamsAgeMs: upstreamReads.ageMs,
        operatorAgeMs: operatorReads.ageMs,
        forgetAges: () => {
            operatorReads.forgetAge();
            upstreamReads.forgetAge();
            views.forgetTargetsKnown();
        },
        stop: () => followed.forEach(one => one.stop()),
    };
}
