/**
 * @module
 * Ports to the platform's instance list, weight store and KV store.
 */
import type { Result } from "true-myth/result";
import type { PortFailure } from "./portFailure.js";

/** One row of the platform's list of instances; the list may be out of date. */
export interface ListedInstance {
    readonly address: string;
    readonly role: "entry" | "upstream";
    readonly state: "live" | "leaving";
}

/** Reads the platform's list of live and leaving instances. */
export type ReadInstances = () => Promise<Result<readonly ListedInstance[], PortFailure>>;

/** Reads which weights versions of a model the weight store holds. */
export type ReadWeightVersions = (model: string) => Promise<Result<readonly string[], PortFailure>>;

/** Counts the leading blocks of a chain that the KV store holds. */
export type CountStoredBlocks = (cacheSalt: string, blocks: readonly string[]) => Promise<Result<number, PortFailure>>;
