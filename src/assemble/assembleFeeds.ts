/**
 * @module
 * Assembles the feeds from the platform's store: the operator's records and the upstreams.
 */
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import type { KeyedRecord, StoreFailure } from "../core/ports/recordStore.js";
import type { UpstreamChange, UpstreamRecord } from "../core/registry/upstreamRecord.js";
import { computeLongPollMs } from "../core/store/computeLongPollMs.js";
import { type FollowedTopic, followTopic, type ReadCause } from "../io/store/followTopic.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** The running feeds and the age of their data. */
export interface Feeds {
    /** Milliseconds since the list of upstreams was last read; infinite before the first time. */
    readonly upstreamsAgeMs: () => number;
    /** Milliseconds since the operator's topic was last read. */
    readonly operatorAgeMs: () => number;
    readonly stop: () => void;
}

/** Interval between two reads of the upstreams, as a fraction of the time within which draining must take effect. */
const upstreamReadFraction = 0.4;

/** Time without an answer after which the store is considered unreachable, in milliseconds. */
const unreachableAfterMs = 5_500;

/** The reads of one topic. */
interface ReadTracker {
    readonly recordRead: () => void;
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

/**
 * Starts the feeds.
 *
 * @param context - The instance.
 * @param views - The views that are updated.
 * @returns The feeds.
 */
export function assembleFeeds(context: InstanceContext, views: InstanceViews): Feeds {
    const { ports, clock, settings, random, writeLog } = context;
    const { store, topics } = ports;
    const operatorWaitMs = computeLongPollMs(settings.reconnectLimitMs);
    const operatorReads = trackReads(context, topics.operator);
    const upstreamReads = trackReads(context, topics.upstreams);

    function reject(topic: string, record: KeyedRecord, detail: string): void {
        writeLog("recordRejected", { topic, key: record.key, offset: record.offset, detail });
    }

    /** `isLive`: the record was read as it was appended, so its age is known; `unreadMs`: time since the read before. */
    function applyOperatorRecord(record: KeyedRecord, isLive: boolean, unreadMs: number): void {
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
            views.recordTarget({ model, version, ageMs: isLive ? 0 : undefined }, "store");
        }
    }

    function applyOperatorRecords(records: readonly KeyedRecord[], isLive: boolean): void {
        const unreadMs = operatorReads.ageMs();
        const wasUnreachable = unreadMs > unreachableAfterMs;
        operatorReads.recordRead();
        records.forEach(record => applyOperatorRecord(record, isLive && !wasUnreachable, unreadMs));
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
            timing: () => ({ waitMs: operatorWaitMs, intervalMs: 0 }),
            onNewest: records => applyOperatorRecords(records, false),
            onRecords: records => applyOperatorRecords(records, true),
            onFailure: operatorReads.recordFailure,
            onError: error => logInternalFailure(writeLog, error),
            onTruncated: () => writeLog("topicTruncated", { topic: topics.operator }),
        }),
        followTopic({
            store,
            clock,
            random,
            topic: topics.upstreams,
            timing: () => ({ waitMs: 0, intervalMs: settings.drainMs * upstreamReadFraction }),
            onNewest: (records, cause) => updateUpstreams(() => applyUpstreamList(records, cause)),
            onRecords: records =>
                updateUpstreams(() => views.registry.applyChanges(records.flatMap(toChanges), clock.now())),
            onFailure: (failure, tookMs) => {
                views.registry.recordOutage(clock.now());
                upstreamReads.recordFailure(failure, tookMs);
            },
            onError: error => logInternalFailure(writeLog, error),
            onTruncated: () => writeLog("topicTruncated", { topic: topics.upstreams }),
        }),
    ];
    return {
        upstreamsAgeMs: upstreamReads.ageMs,
        operatorAgeMs: operatorReads.ageMs,
        stop: () => followed.forEach(one => one.stop()),
    };
}
