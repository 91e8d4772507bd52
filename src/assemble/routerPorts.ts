/**
 * @module
 * What an adapter provides to the router, and what all parts of an instance share.
 */
import type { Result } from "true-myth/result";
import type { WriteLog } from "../core/logEvents/logEventTable.js";
import type { KeyedRecord, RecordStore } from "../core/ports/recordStore.js";
import type { UpstreamRecord } from "../core/registry/upstreamRecord.js";
import type { RoutingTable } from "../core/routes/routingTable.js";
import type { Clock } from "../core/time/clock.js";
import type { RouterMetrics } from "../io/metrics/createRouterMetrics.js";
import type { ListParts, ReadPartEvents } from "../io/parts/followPartEvents.js";
import type { ProxyCodec } from "../io/proxy/proxyCodec.js";
import type { EngineOrders } from "../io/weights/runRollout.js";

/** Settings of one instance. Addresses are "ip:port", times are milliseconds. */
export interface RouterSettings {
    readonly instance: string;
    readonly failureDomain: string;
    readonly host: string;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly directoryAddress: string;
    readonly peerAddress: string;
    readonly heartbeatPort: number;
    /** Address on which metrics are served. */
    readonly metricsAddress: string;
    /** Heartbeat addresses of some instances; they may be out of date. */
    readonly contacts: readonly string[];
    /** Time between the request to stop and the end of the process. */
    readonly graceMs: number;
    /** Time within which an upstream that leaves gets no new request. */
    readonly drainMs: number;
    /** Time that must lie between the orders of two holders of the rollout lease. */
    readonly leaseSeparationMs: number;
    /** Time after which no request may begin on weights that are older than named. */
    readonly weightsLimitMs: number;
    /** Repeats allowed for each request, over the fleet. */
    readonly retryRatio: number;
    /** Repeats allowed in a window beside those, over the fleet. */
    readonly retrySlack: number;
    readonly retryWindowMs: number;
    /** Longest time for which callers may keep a list of entries. */
    readonly maxEntryTtlMs: number;
}

/** News from the operator. */
export type OperatorUpdate =
    | { readonly kind: "table"; readonly table: RoutingTable; readonly rejected: readonly string[]; }
    | { readonly kind: "weights"; readonly model: string; readonly version: number; };

/** Names of topics in the store. */
export interface RouterTopics {
    readonly operator: string;
    readonly upstreams: string;
    /** Heartbeat addresses of instances, by instance. */
    readonly instances: string;
    /** Claims of the rollout lease. */
    readonly lease: string;
}

/** A question for the list of entries. */
export interface EntryQuery {
    readonly failureDomain: string | undefined;
}

/** The adapter. */
export interface RouterPorts {
    readonly store: RecordStore;
    readonly topics: RouterTopics;
    readonly decodeOperatorRecord: (record: KeyedRecord) => Result<OperatorUpdate | undefined, string>;
    readonly decodeUpstreamRecord: (record: KeyedRecord) => Result<UpstreamRecord, string>;
    readonly codec: ProxyCodec;
    readonly engines: EngineOrders;
    readonly readPartEvents: ReadPartEvents;
    readonly listParts: ListParts;
    readonly readinessPath: string;
    readonly entriesPath: string;
    readonly readEntryQuery: (query: URLSearchParams) => EntryQuery;
    /** Formats the list of entries as JSON text. */
    readonly formatEntries: (addresses: readonly string[], lifeMs: number) => string;
}

/** What every part of an instance uses. */
export interface InstanceContext {
    readonly settings: RouterSettings;
    readonly ports: RouterPorts;
    readonly clock: Clock;
    /** A number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    readonly writeLog: WriteLog;
    readonly metrics: RouterMetrics;
    /** Log lines left out since the start, by event. */
    readonly listDropped: () => ReadonlyMap<string, number>;
}
