/**
 * @module
 * The upstreams as this instance believes them, kept through outages of the list's source.
 */
import type { UpstreamChange, UpstreamRecord } from "./upstreamRecord.js";

/** What changed for one upstream. */
export type RegistryEvent =
    | { readonly kind: "added" | "changed" | "restarted"; readonly record: UpstreamRecord; }
    | { readonly kind: "removed"; readonly record: UpstreamRecord; };

/** The registry. Times are milliseconds on the instance's clock. */
export interface UpstreamRegistry {
    readonly list: () => readonly UpstreamRecord[];
    readonly listService: (service: string) => readonly UpstreamRecord[];
    readonly find: (id: string) => UpstreamRecord | undefined;
    /** Takes changes that were read from the source at `nowMs`. */
    readonly applyChanges: (changes: readonly UpstreamChange[], nowMs: number) => void;
    /** Takes the whole list, as read from the source at `nowMs`; what is missing in it is removed. */
    readonly applyList: (records: readonly UpstreamRecord[], nowMs: number) => void;
    /** Takes the whole list of a peer, whose source may be in an outage for it too. */
    readonly applyPeerList: (records: readonly UpstreamRecord[], nowMs: number) => void;
    /** Notes that the source did not answer. */
    readonly recordOutage: (nowMs: number) => void;
    /** Carries out removals whose grace has ended. */
    readonly removeExpired: (nowMs: number) => void;
}

/**
 * Milliseconds after the source's return within which entries that lapsed in the outage come back. The platform states two
 * seconds from its return; the instance sees the return later than that.
 */
const lapseGraceMs = 2_000;

function isSame(left: UpstreamRecord, right: UpstreamRecord): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
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
 * @param onEvent - Receives each change that was taken.
 * @returns The registry.
 * @example
 * const registry = createUpstreamRegistry(event => log(event));
 * registry.takeChanges([{ kind: "put", record }], clock.now());
 */
export function createUpstreamRegistry(onEvent: (event: RegistryEvent) => void): UpstreamRegistry {
    const records = new Map<string, UpstreamRecord>();
    /** Removals that wait, by id, with the time at which they take effect. */
    const pendingRemovals = new Map<string, number>();
    let outageMs: number | undefined;
    let graceUntilMs = -Infinity;
    let byService: ReadonlyMap<string, readonly UpstreamRecord[]> | undefined;

    function put(record: UpstreamRecord): void {
        pendingRemovals.delete(record.id);
        const known = records.get(record.id);
        if (known !== undefined && (record.startedAtMs < known.startedAtMs || isSame(known, record))) {
            return;
        }
        records.set(record.id, record);
        byService = undefined;
        onEvent({ kind: findEventKind(known, record), record });
    }

    function removeNow(id: string): void {
        const record = records.get(id);
        pendingRemovals.delete(id);
        if (record !== undefined) {
            records.delete(id);
            byService = undefined;
            onEvent({ kind: "removed", record });
        }
    }

    function remove(id: string, nowMs: number): void {
        if (nowMs >= graceUntilMs) {
            removeNow(id);
        }
        else if (records.has(id) && !pendingRemovals.has(id)) {
            pendingRemovals.set(id, graceUntilMs);
        }
    }

    function noteReturn(nowMs: number): void {
        if (outageMs !== undefined) {
            outageMs = undefined;
            graceUntilMs = nowMs + lapseGraceMs;
        }
    }

    function settle(nowMs: number): void {
        for (const [id, dueMs] of pendingRemovals) {
            if (nowMs >= dueMs && outageMs === undefined) {
                removeNow(id);
            }
        }
    }

    function takeList(list: readonly UpstreamRecord[], nowMs: number): void {
        const listed = new Set(list.map(record => record.id));
        list.forEach(put);
        [...records.keys()].filter(id => !listed.has(id)).forEach(id => remove(id, nowMs));
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
        applyChanges: (changes, nowMs) => {
            noteReturn(nowMs);
            for (const change of changes) {
                if (change.kind === "put") {
                    put(change.record);
                }
                else {
                    remove(change.id, nowMs);
                }
            }
            settle(nowMs);
        },
        applyList: (list, nowMs) => {
            noteReturn(nowMs);
            takeList(list, nowMs);
            settle(nowMs);
        },
        applyPeerList: takeList,
        recordOutage: nowMs => {
            outageMs ??= nowMs;
        },
        removeExpired: settle,
    };
}
