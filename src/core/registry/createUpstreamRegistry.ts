/**
 * @module
 * Registry of the upstreams known to this instance; it keeps its records during outages of their source.
 */
import { hashText } from "../_lib/hashText.js";
import type { UpstreamChange, UpstreamRecord } from "./upstreamRecord.js";

/** A change of one upstream. */
export type RegistryEvent =
    | { readonly kind: "added" | "changed" | "restarted"; readonly record: UpstreamRecord; }
    | { readonly kind: "removed"; readonly record: UpstreamRecord; };

/** Registry of upstreams. Times are milliseconds on the instance's clock. */
export interface UpstreamRegistry {
    readonly list: () => readonly UpstreamRecord[];
    readonly listService: (service: string) => readonly UpstreamRecord[];
    readonly find: (id: string) => UpstreamRecord | undefined;
    /** Hash of all records, the same on instances that have the same ones. */
    readonly digest: () => string;
    /** Applies changes that were read from the source at `nowMs`. */
    readonly applyChanges: (changes: readonly UpstreamChange[], nowMs: number) => void;
    /** Applies the complete list, as read from the source at `nowMs`; upstreams that are not in it are removed. */
    readonly applyList: (records: readonly UpstreamRecord[], nowMs: number) => void;
    /**
     * Applies the complete list as read at `nowMs` from an older copy of the source. Upstreams that are not in it are kept
     * for the grace period, and what is known to be newer stays.
     */
    readonly applyReturnedList: (records: readonly UpstreamRecord[], nowMs: number) => void;
    /** Applies the complete list of a peer; the source may be unreachable for the peer too. */
    readonly applyPeerList: (records: readonly UpstreamRecord[], nowMs: number) => void;
    /** Records that the source did not answer. */
    readonly recordOutage: (nowMs: number) => void;
    /** Removes the upstreams whose grace period has ended. */
    readonly removeExpired: (nowMs: number) => void;
}

/**
 * Grace period after an outage of the source, in which entries that expired during the outage are registered again. The
 * platform specifies two seconds from its recovery; the instance observes the recovery later than that.
 */
const removalGraceMs = 2_000;

/** Time for which a removed upstream is remembered, in milliseconds; an older copy of the source may still list it. */
const removalMemoryMs = 60_000;

/** A removed upstream. */
interface Removal {
    readonly startedAtMs: number;
    readonly atMs: number;
}

function isSame(left: UpstreamRecord, right: UpstreamRecord): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
}

function hashRecords(records: readonly UpstreamRecord[]): string {
    const texts = records.map(record => JSON.stringify(record)).toSorted();
    return hashText(texts.join("\n")).toString(16);
}

function findEventKind(known: UpstreamRecord | undefined, record: UpstreamRecord): "added" | "changed" | "restarted" {
    if (known === undefined) {
        return "added";
    }
    return record.startedAtMs > known.startedAtMs ? "restarted" : "changed";
}

/**
 * Creates an empty registry.
 *
 * @param onEvent - Called with each change that was applied.
 * @returns The registry.
 * @example
 * const registry = createUpstreamRegistry(event => log(event));
 * registry.applyChanges([{ kind: "put", record }], clock.now());
 * registry.find(record.id); // record
 */
export function createUpstreamRegistry(onEvent: (event: RegistryEvent) => void): UpstreamRegistry {
    const records = new Map<string, UpstreamRecord>();
    /** Time at which each pending removal takes effect, by id. */
    const pendingRemovals = new Map<string, number>();
    const removals = new Map<string, Removal>();
    let outageSinceMs: number | undefined;
    let graceUntilMs = -Infinity;
    let cachedDigest: string | undefined;
    let byService: ReadonlyMap<string, readonly UpstreamRecord[]> | undefined;

    function put(record: UpstreamRecord): void {
        pendingRemovals.delete(record.id);
        const known = records.get(record.id);
        if (known !== undefined && (record.startedAtMs < known.startedAtMs || isSame(known, record))) {
            return;
        }
        records.set(record.id, record);
        byService = undefined;
        cachedDigest = undefined;
        onEvent({ kind: findEventKind(known, record), record });
    }

    function rememberRemoval({ id, startedAtMs }: UpstreamRecord, nowMs: number): void {
        removals.delete(id);
        removals.set(id, { startedAtMs, atMs: nowMs });
        for (const [removedId, { atMs }] of removals) {
            if (nowMs - atMs <= removalMemoryMs) {
                return;
            }
            removals.delete(removedId);
        }
    }

    function removeNow(id: string, nowMs: number): void {
        const record = records.get(id);
        pendingRemovals.delete(id);
        if (record !== undefined) {
            rememberRemoval(record, nowMs);
            records.delete(id);
            byService = undefined;
            cachedDigest = undefined;
            onEvent({ kind: "removed", record });
        }
    }

    function remove(id: string, nowMs: number): void {
        if (nowMs >= graceUntilMs) {
            removeNow(id, nowMs);
        }
        else if (records.has(id) && !pendingRemovals.has(id)) {
            pendingRemovals.set(id, graceUntilMs);
        }
    }

    function recordRecovery(nowMs: number): void {
        if (outageSinceMs !== undefined) {
            outageSinceMs = undefined;
            graceUntilMs = nowMs + removalGraceMs;
        }
    }

    function removeExpired(nowMs: number): void {
        for (const [id, dueMs] of pendingRemovals) {
            if (nowMs >= dueMs && outageSinceMs === undefined) {
                removeNow(id, nowMs);
            }
        }
    }

    function applyList(list: readonly UpstreamRecord[], nowMs: number): void {
        const listed = new Set(list.map(record => record.id));
        list.forEach(put);
        [...records.keys()].filter(id => !listed.has(id)).forEach(id => remove(id, nowMs));
    }

    /** Merges a record of an older copy with what is known; undefined when the upstream is known to have left. */
    function reconcile(record: UpstreamRecord): UpstreamRecord | undefined {
        const known = records.get(record.id);
        if (known === undefined) {
            const removal = removals.get(record.id);
            return removal !== undefined && removal.startedAtMs >= record.startedAtMs ? undefined : record;
        }
        if (known.startedAtMs !== record.startedAtMs) {
            return record;
        }
        const newer = record.acceptedOrders > known.acceptedOrders ? record : known;
        return { ...newer, isDraining: known.isDraining || record.isDraining };
    }

    function applyReturnedList(list: readonly UpstreamRecord[], nowMs: number): void {
        outageSinceMs = undefined;
        graceUntilMs = nowMs + removalGraceMs;
        applyList(list.map(reconcile).filter(record => record !== undefined), nowMs);
        removeExpired(nowMs);
    }

    function groupByService(): ReadonlyMap<string, readonly UpstreamRecord[]> {
        const groups = new Map<string, UpstreamRecord[]>();
        for (const record of records.values()) {
            const group = groups.get(record.service) ?? [];
            group.push(record);
            groups.set(record.service, group);
        }
        return groups;
    }

    return {
        list: () => [...records.values()],
        listService: service => {
            byService ??= groupByService();
            return byService.get(service) ?? [];
        },
        find: id => records.get(id),
        digest: () => {
            cachedDigest ??= hashRecords([...records.values()]);
            return cachedDigest;
        },
        applyChanges: (changes, nowMs) => {
            recordRecovery(nowMs);
            for (const change of changes) {
                if (change.kind === "put") {
                    put(change.record);
                }
                else {
                    remove(change.id, nowMs);
                }
            }
            removeExpired(nowMs);
        },
        applyList: (list, nowMs) => {
            recordRecovery(nowMs);
            applyList(list, nowMs);
            removeExpired(nowMs);
        },
        applyReturnedList,
        applyPeerList: applyList,
        recordOutage: nowMs => {
            outageSinceMs ??= nowMs;
        },
        removeExpired,
    };
}
