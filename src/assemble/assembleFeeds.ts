/**
 * @module
 * Assembles what is read from the platform's store.
 */
import type { KeyedRecord } from "../core/ports/recordStore.js";
import type { UpstreamChange, UpstreamRecord } from "../core/registry/upstreamRecord.js";
import { type FollowedTopic, followTopic } from "../io/store/followTopic.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** What was read, and how long ago. */
export interface Feeds {
    /** Milliseconds since the list of upstreams was last read; infinite before the first time. */
    readonly upstreamsAgeMs: () => number;
    /** Milliseconds since the operator's topic was last read. */
    readonly operatorAgeMs: () => number;
    readonly stop: () => void;
}

/**
 * Time for which the store holds a read of the operator's topic back, in milliseconds. Should the connection have gone
 * silent, heartbeats of peers tell within their interval that there is a newer configuration.
 */
const operatorWaitMs = 4_000;

/** Share of the time in which a leaving upstream must get no new request that lies between two reads of the list. */
const upstreamReadShare = 0.4;

/** Time without an answer after which the store counts as lost, in milliseconds. */
const lostMs = 5_500;

/** Watches whether one topic is read, and logs when that is lost and regained. */
function watchFreshness(
    context: InstanceContext,
    topic: string,
): { noteRead: () => void; ageMs: () => number; noteFailure: (reason: string) => void; } {
    const { clock, writeLog } = context;
    let readMs = -Infinity;
    let isLost = false;
    const ageMs = () => clock.now() - readMs;
    return {
        ageMs,
        noteRead: () => {
            if (isLost) {
                isLost = false;
                writeLog("storeRegained", { topic, ageMs: Math.round(ageMs()) });
            }
            readMs = clock.now();
        },
        noteFailure: reason => {
            if (!isLost && ageMs() > lostMs) {
                isLost = true;
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
 * Starts to read the store.
 *
 * @param context - The instance.
 * @param views - Take what is read.
 * @returns The feeds.
 */
export function assembleFeeds(context: InstanceContext, views: InstanceViews): Feeds {
    const { ports, clock, settings, random, writeLog } = context;
    const { store, topics } = ports;
    const operatorFreshness = watchFreshness(context, topics.operator);
    const upstreamFreshness = watchFreshness(context, topics.upstreams);

    function reject(topic: string, record: KeyedRecord, detail: string): void {
        writeLog("recordRejected", { topic, key: record.key, offset: record.offset, detail });
    }

    /** `isLive`: the record was appended while this instance was reading. */
    function takeOperatorRecord(record: KeyedRecord, isLive: boolean): void {
        const decoded = ports.decodeOperatorRecord(record);
        if (decoded.isErr) {
            reject(topics.operator, record, decoded.error);
            return;
        }
        const news = decoded.value;
        if (news?.kind === "table") {
            news.rejected.forEach(detail => reject(topics.operator, record, detail));
            views.applyTable(news.table, "store");
        }
        else if (news?.kind === "weights") {
            const { model, version } = news;
            views.recordTarget({ model, version, ageMs: isLive ? 0 : undefined }, "store");
        }
    }

    function takeOperatorRecords(records: readonly KeyedRecord[], isLive: boolean): void {
        const hasBeenAway = operatorFreshness.ageMs() > lostMs;
        operatorFreshness.noteRead();
        records.forEach(record => takeOperatorRecord(record, isLive && !hasBeenAway));
    }

    function decodeUpstream(record: KeyedRecord): UpstreamRecord | undefined {
        const decoded = ports.decodeUpstreamRecord(record);
        if (decoded.isErr) {
            reject(topics.upstreams, record, decoded.error);
            return undefined;
        }
        return decoded.value;
    }

    /** A malformed entry names no upstream to use, but does not take back what the upstream itself said before. */
    function toChanges(record: KeyedRecord): readonly UpstreamChange[] {
        if (record.value === undefined) {
            return [{ kind: "removed", id: record.key }];
        }
        const decoded = decodeUpstream(record);
        return decoded === undefined ? [] : [{ kind: "put", record: decoded }];
    }

    function takeUpstreams(take: () => void): void {
        upstreamFreshness.noteRead();
        take();
        views.notifyChange();
    }

    const followed: readonly FollowedTopic[] = [
        followTopic({
            store,
            clock,
            random,
            topic: topics.operator,
            timing: () => ({ waitMs: operatorWaitMs, intervalMs: 0 }),
            onNewest: records => takeOperatorRecords(records, false),
            onRecords: records => takeOperatorRecords(records, true),
            onFailure: operatorFreshness.noteFailure,
            onTruncated: () => writeLog("topicTruncated", { topic: topics.operator }),
        }),
        followTopic({
            store,
            clock,
            random,
            topic: topics.upstreams,
            timing: () => ({ waitMs: 0, intervalMs: settings.drainMs * upstreamReadShare }),
            onNewest: records =>
                takeUpstreams(() => {
                    const list = records.filter(record => record.value !== undefined).map(decodeUpstream);
                    views.registry.applyList(list.filter(record => record !== undefined), clock.now());
                }),
            onRecords: records =>
                takeUpstreams(() => views.registry.applyChanges(records.flatMap(toChanges), clock.now())),
            onFailure: reason => {
                views.registry.recordOutage(clock.now());
                upstreamFreshness.noteFailure(reason);
            },
            onTruncated: () => writeLog("topicTruncated", { topic: topics.upstreams }),
        }),
    ];
    return {
        upstreamsAgeMs: upstreamFreshness.ageMs,
        operatorAgeMs: operatorFreshness.ageMs,
        stop: () => followed.forEach(one => one.stop()),
    };
}
