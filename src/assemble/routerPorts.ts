/**
 * @module
 * The ports that an adapter implements for the router, and the context that all parts of an instance share.
 */
import type { Result } from "true-myth/result";
import type { WriteLog } from "../core/logEvents/logEventTable.js";
import type { KeyedRecord, RecordStore } from "../core/ports/recordStore.js";
import type { QuotaBounds } from "../core/quotas/quotaTypes.js";
import type { UpstreamRecord } from "../core/registry/upstreamRecord.js";
import type { RoutingTable } from "../core/routes/routingTable.js";
import type { StoreEra } from "../core/store/createStoreEra.js";
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
    /** Memory beyond which the platform ends the process, in bytes. */
    readonly memoryBytes: number;
    /** Descriptors that the platform allows the process, of which it reserves some for files. */
    readonly maxDescriptors: number;
    /** Maximum time from the stop signal to the end of the process. */
    readonly graceMs: number;
    /** Time after which a draining upstream must get no new requests. */
    readonly drainMs: number;
    /** Time after which a confirmed configuration must be in force. */
    readonly configMs: number;
    /** Time after the loss of open connections within which the instance must be up to date with the store again. */
    readonly reconnectLimitMs: number;
    /** Minimum time between the orders of two holders of the rollout lease. */
    readonly leaseSeparationMs: number;
    /** Time after which no request may start on weights older than the target. */
    readonly weightsLimitMs: number;
    /** Time after which all engines have to have weights at least as new as a target, in milliseconds. */
    readonly allWeightsLimitMs: number;
    /** Retries allowed per request, over the fleet. */
    readonly retryRatio: number;
    /** Retries allowed in a window in addition to the ratio, over the fleet. */
    readonly retrySlack: number;
    readonly retryWindowMs: number;
    /** Maximum time to live of a list of entries at callers. */
    readonly maxEntryTtlMs: number;
    /** How far the fleet may pass a customer's quota. */
    readonly quotaBounds: QuotaBounds;
}

/** An update from the operator. */
export type OperatorUpdate =
    | { readonly kind: "table"; readonly table: RoutingTable; readonly problems: readonly string[]; }
    | { readonly kind: "weights"; readonly model: string; readonly version: number; };

/** Names of topics in the store. */
export interface RouterTopics {
    readonly operator: string;
    readonly upstreams: string;
    /** Heartbeat addresses of instances, by instance. */
    readonly instances: string;
    /** Claims of the rollout lease. */
    readonly lease: string;
    /** Topic with keys: prompt parts that end engines. */
    readonly quarantine: string;
}

/** Query parameters of a request for the list of entries. */
export interface EntryQuery {
    readonly failureDomain: string | undefined;
}

/** The ports that an adapter implements. */
export interface RouterPorts {
    readonly store: RecordStore;
    /** The era that the store states in its answers. */
    readonly storeEra: StoreEra;
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
    readonly formatEntries: (addresses: readonly string[], ttlMs: number) => string;
}

/** Context shared by all parts of an instance. */
export interface InstanceContext {
    readonly settings: RouterSettings;
    readonly ports: RouterPorts;
    readonly clock: Clock;
    /** When the process started, on its clock in milliseconds; before the instance is assembled. */
    readonly startedMs: number;
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    readonly writeLog: WriteLog;
    readonly metrics: RouterMetrics;
    /** Number of dropped log lines since the start, by event. */
    readonly listDropped: () => ReadonlyMap<string, number>;
    /** Returns memory that is no longer held to the system. */
    readonly collectGarbage: () => void;
    /** Collects memory that is no longer held of what was made lately; all of it if left out. */
    readonly collectYoungGarbage?: () => void;
}
