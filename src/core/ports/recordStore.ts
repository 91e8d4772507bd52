/**
 * @module
 * Port to the platform's store: an ordered log of records by topic, and the newest record of each key. Each result
 * carries the era of the store in which it holds; offsets of different eras are not comparable.
 */

/** One record of a topic with keys. */
export interface KeyedRecord {
    readonly offset: number;
    readonly key: string;
    /** Undefined when the key was removed. */
    readonly value: Uint8Array | undefined;
}

/** Why a call failed. `timeout`: no answer within its time limit; `connection`: the connection could not be opened or
 * broke; `answer`: a status or body that is no result; `era`: the answer belongs to an older era. */
export type StoreFailureCause = "timeout" | "connection" | "answer" | "era";

/** A call that failed without a result. */
export interface StoreFailure {
    readonly kind: "failed";
    readonly cause: StoreFailureCause;
    readonly reason: string;
}

/** Result of reading the newest record of each key. */
export type NewestResult =
    | {
        readonly kind: "newest";
        readonly era: number;
        readonly records: readonly KeyedRecord[];
        readonly end: number;
    }
    | StoreFailure;

/** Records from an offset on. `truncated`: the topic has no such offset; `first` is the lowest one that it has. */
export type ReadResult<R> =
    | {
        readonly kind: "records";
        readonly era: number;
        readonly records: readonly R[];
        readonly next: number;
        readonly end: number;
    }
    | { readonly kind: "truncated"; readonly era: number; readonly first: number; }
    | StoreFailure;

/** A record of a topic without keys. */
export interface PlainRecord {
    readonly offset: number;
    readonly value: Uint8Array;
}

/** Result of a conditional append. `moved`: the topic did not end at the expected offset; nothing was appended. After
 * `failed` the record may have been appended, or may be appended later while the condition still holds. */
export type AppendResult =
    | { readonly kind: "appended"; readonly era: number; readonly offset: number; }
    | { readonly kind: "moved"; readonly era: number; readonly end: number; }
    | StoreFailure;

/** The store. The port does not retry calls. */
export interface RecordStore {
    readonly readNewest: (topic: string) => Promise<NewestResult>;
    readonly readKeyed: (topic: string, from: number, waitMs: number) => Promise<ReadResult<KeyedRecord>>;
    readonly readPlain: (topic: string, from: number) => Promise<ReadResult<PlainRecord>>;
    readonly appendAt: (topic: string, expectedEnd: number, value: Uint8Array) => Promise<AppendResult>;
    readonly putKeyed: (topic: string, key: string, value: Uint8Array | undefined) => Promise<AppendResult>;
    readonly close: () => void;
}
