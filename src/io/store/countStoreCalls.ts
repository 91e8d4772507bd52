/**
 * @module
 * Counts the calls to the platform's store by purpose.
 */
import type { RecordStore } from "../../core/ports/recordStore.js";

/** Kind of a call to the store. */
export type StoreCall = "newest" | "read" | "append";

/**
 * Wraps a store so that each call is reported before it is made.
 *
 * @param store - The store.
 * @param onCall - Receives the kind and the topic of each call.
 * @returns The store that reports its calls.
 * @example
 * const counted = countStoreCalls(store, (call, topic) => metrics.storeCalls.inc({ call, topic }));
 */
export function countStoreCalls(store: RecordStore, onCall: (call: StoreCall, topic: string) => void): RecordStore {
    return {
        readNewest: topic => {
            onCall("newest", topic);
            return store.readNewest(topic);
        },
        readKeyed: (topic, from, waitMs) => {
            onCall("read", topic);
            return store.readKeyed(topic, from, waitMs);
        },
        readPlain: (topic, from) => {
            onCall("read", topic);
            return store.readPlain(topic, from);
        },
        appendAt: (topic, expectedEnd, value) => {
            onCall("append", topic);
            return store.appendAt(topic, expectedEnd, value);
        },
        putKeyed: (topic, key, value) => {
            onCall("append", topic);
            return store.putKeyed(topic, key, value);
        },
        close: store.close,
    };
}
