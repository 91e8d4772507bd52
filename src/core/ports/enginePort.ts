/**
 * @module
 * Port to a model engine.
 */
import type { Result } from "true-myth/result";
import type { PortFailure } from "./portFailure.js";

/** A load report of an engine. */
export interface EngineLoad {
    /** Identity of the engine process; a restart changes it. */
    readonly incarnation: string;
    readonly weightsVersion: string;
    readonly queuedRequests: number;
    readonly runningRequests: number;
    /** Prompt tokens that wait for prefill. */
    readonly queuedPromptTokens: number;
    /** Whether the engine announces that it is draining. */
    readonly leaving: boolean;
}

/** One change of an engine's prefix cache. */
export interface CacheEvent {
    /** Increases by 1 with each event; a gap means lost events. */
    readonly sequence: number;
    readonly action: "stored" | "evicted";
    /** Chain hash of the block, in hexadecimal. */
    readonly block: string;
}

/** A page of cache events. */
export interface CacheEventPage {
    readonly incarnation: string;
    readonly nextSequence: number;
    readonly events: readonly CacheEvent[];
}

/** Desired state that an order asks an engine to reach. */
export interface EngineOrder {
    readonly orderId: string;
    readonly action: "load" | "unload" | "role" | "drain";
    readonly model: string;
    readonly weightsVersion: string;
    readonly role: string;
    /** Log offset of the lease under which the order is given. */
    readonly fencingNumber: number;
    /** Milliseconds for which the order is valid after it was sent. */
    readonly validForMs: number;
}

/** What an engine has loaded. */
export interface EngineState {
    readonly incarnation: string;
    readonly role: string;
    /** Loaded weights as "model@version". */
    readonly loaded: readonly string[];
    /** Weights that are being loaded, as "model@version". */
    readonly loading: readonly string[];
    readonly lastFencingNumber: number;
}

/** A block range to import from or export to the KV store. */
export interface KvTransfer {
    readonly cacheSalt: string;
    /** Chain hashes in order, in hexadecimal. */
    readonly blocks: readonly string[];
}

/** Calls to one engine, each by the upstream's "ip:port" address. */
export interface EnginePort {
    readonly readLoad: (address: string) => Promise<Result<EngineLoad, PortFailure>>;
    readonly readCacheEvents: (address: string, fromSequence: number) => Promise<Result<CacheEventPage, PortFailure>>;
    readonly readState: (address: string) => Promise<Result<EngineState, PortFailure>>;
    readonly sendOrder: (address: string, order: EngineOrder) => Promise<Result<EngineState, PortFailure>>;
    readonly importKv: (address: string, transfer: KvTransfer) => Promise<Result<number, PortFailure>>;
    readonly exportKv: (address: string, transfer: KvTransfer) => Promise<Result<number, PortFailure>>;
    /** Cancels a stream; an unknown stream is not a failure. */
    readonly cancelStream: (address: string, streamId: string) => Promise<Result<undefined, PortFailure>>;
}
