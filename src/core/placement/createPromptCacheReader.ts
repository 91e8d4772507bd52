/**
 * @module
 * Where the parts of a prompt are kept, and what an engine would have to read or fetch of it.
 */
import type { UpstreamRegistry } from "../registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import { type CacheHolder, chooseCacheSource } from "./chooseCacheSource.js";
import type { HealthView } from "./createHealthView.js";
import { deriveSharedKey, type PartView } from "./createPartView.js";
import type { UpstreamUseTracker } from "./createUpstreamUseTracker.js";
import type { Prompt, UpstreamUse } from "./placementTypes.js";

/** A store of kept cache. */
export interface ReachableStore {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
}

/** What a prompt reader needs. */
export interface PromptCacheReaderDependencies {
    /** Instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly registry: UpstreamRegistry;
    readonly use: UpstreamUseTracker;
    readonly parts: PartView;
    readonly health: HealthView;
    /** Stores of kept cache that answer. */
    readonly listStores: () => readonly ReachableStore[];
}

/** A holder of parts of one prompt. */
interface KnownHolder {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly heldTokens: number;
    readonly requests: number;
    readonly isStore: boolean;
}

/** Where the parts of one prompt are under one salt. */
export interface PromptCacheView {
    readonly salt: string;
    readonly sharedKey: string;
    /** Tokens that each engine of the service and each store keeps. */
    readonly heldTokens: ReadonlyMap<string, number>;
    /** Work at each engine of the service. */
    readonly uses: ReadonlyMap<string, UpstreamUse>;
    /** Engines and stores from which parts may be fetched. */
    readonly holders: readonly KnownHolder[];
    /** Engine that all instances prefer while nobody keeps the prompt. */
    readonly preferred: string | undefined;
}

/** One engine's part in a prompt. */
export interface CacheCoverage {
    /** Tokens that the engine keeps. */
    readonly heldTokens: number;
    /** From where it fetches more; undefined when nothing worthwhile is kept elsewhere. */
    readonly source: CacheHolder | undefined;
    /** Tokens that it would read; one that it fetches counts for the time that this takes. */
    readonly prefillTokens: number;
}

/** Reads where prompts are. */
export interface PromptCacheReader {
    /** Engines and stores that keep parts of a prompt; `ids` are the engines of which one is its home. */
    readonly read: (service: string, prompt: Prompt, salt: string, ids: readonly string[]) => PromptCacheView;
    readonly describeCoverage: (prompt: Prompt, view: PromptCacheView, record: UpstreamRecord) => CacheCoverage;
    /** A store that lacks shared parts of the prompt. */
    readonly findCacheTarget: (prompt: Prompt, view: PromptCacheView) => ReachableStore | undefined;
}

/** Part of the time of reading tokens that it takes to fetch them. */
const fetchShare = 0.2;

/** Part of a shared prompt's tokens by which its home is preferred while nobody holds it, so that instances agree. */
const homeShare = 0.1;

/** Fewest shared tokens that are worth sending to a store. */
const leastKeptTokens = 64;

/**
 * Adds up the tokens of a prompt's parts.
 *
 * @param prompt - The prompt.
 * @param from - First part.
 * @param to - Part after the last; negative numbers count from the end.
 * @returns Tokens.
 * @example
 * sumTokens(prompt, 0, -1); // of all shared parts
 */
export function sumTokens(prompt: Prompt, from: number, to: number): number {
    return prompt.parts.slice(from, to).reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * Creates the reader.
 *
 * @param deps - The views that it reads.
 * @returns The reader.
 * @example
 * createPromptReader(deps).read("writer", prompt, salt, ["engine-1"]).holders.length;
 */
export function createPromptCacheReader(deps: PromptCacheReaderDependencies): PromptCacheReader {
    const { parts, health, use } = deps;

    function read(service: string, prompt: Prompt, salt: string, ids: readonly string[]): PromptCacheView {
        const nowMs = deps.now();
        const engines = deps.registry.listService(service);
        const stores = deps.listStores();
        const uses = new Map(engines.map(({ id }) => [id, use.read(id)]));
        const heldTokens = new Map(
            [...engines, ...stores].map(({ id }) => [id, parts.countCachedTokens(prompt, salt, id, nowMs)]),
        );
        const describe = ({ id, address, failureDomain }: ReachableStore, isStore: boolean): KnownHolder => ({
            id,
            address,
            failureDomain,
            isStore,
            heldTokens: heldTokens.get(id) ?? 0,
            requests: uses.get(id)?.requests ?? 0,
        });
        const sound = engines.filter(({ id }) => !health.isMisdirected(id) && !health.isEjected(id, nowMs));
        const holders = [...sound.map(one => describe(one, false)), ...stores.map(one => describe(one, true))];
        return {
            salt,
            sharedKey: deriveSharedKey(prompt, salt),
            heldTokens,
            uses,
            holders: holders.filter(holder => holder.heldTokens > 0),
            preferred: parts.rankByRendezvous(prompt, salt, ids)[0],
        };
    }

    /** What the engine keeps itself counts also while nobody fetches from it. */
    function describeShare(prompt: Prompt, view: PromptCacheView, record: UpstreamRecord): CacheCoverage {
        const heldTokens = view.heldTokens.get(record.id) ?? 0;
        const others = view.holders.filter(holder => holder.id !== record.id)
            .map(holder => ({ ...holder, isSameFailureDomain: holder.failureDomain === record.failureDomain }));
        const source = chooseCacheSource(others, heldTokens);
        if (source !== undefined) {
            const fetched = (source.heldTokens - heldTokens) * fetchShare;
            return { heldTokens, source, prefillTokens: prompt.promptTokens - source.heldTokens + fetched };
        }
        const preferred = record.id === view.preferred ? sumTokens(prompt, 0, -1) * homeShare : 0;
        return { heldTokens, source, prefillTokens: prompt.promptTokens - Math.max(heldTokens, preferred) };
    }

    function findTarget(prompt: Prompt, view: PromptCacheView): ReachableStore | undefined {
        const shared = sumTokens(prompt, 0, -1);
        return shared < leastKeptTokens
            ? undefined
            : deps.listStores().find(store => (view.heldTokens.get(store.id) ?? 0) < shared);
    }

    return { read, describeCoverage: describeShare, findCacheTarget: findTarget };
}
