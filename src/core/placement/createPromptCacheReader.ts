/**
 * @module
 * Looks up which engines and cache stores hold parts of a prompt, and what an engine would have to prefill or fetch.
 */
import type { UpstreamRegistry } from "../registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import { type CacheHolder, chooseCacheSource } from "./chooseCacheSource.js";
import type { HealthView } from "./createHealthView.js";
import { deriveSharedKey, type PartView } from "./createPartView.js";
import type { UpstreamUseTracker } from "./createUpstreamUseTracker.js";
import type { Prompt, UpstreamUse } from "./placementTypes.js";

/** A cache store that answers. */
export interface ReachableStore {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
}

/** Dependencies of {@link createPromptCacheReader}. */
export interface PromptCacheReaderDependencies {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly registry: UpstreamRegistry;
    readonly use: UpstreamUseTracker;
    readonly parts: PartView;
    readonly health: HealthView;
    /** Lists the cache stores that answer. */
    readonly listStores: () => readonly ReachableStore[];
}

/** An engine or store that caches parts of one prompt. */
interface KnownHolder {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly heldTokens: number;
    readonly requests: number;
    readonly isStore: boolean;
}

/** State of the caches for one prompt under one salt. */
export interface PromptCacheView {
    readonly salt: string;
    readonly sharedKey: string;
    /** Cached tokens by engine of the service and by store. */
    readonly heldTokens: ReadonlyMap<string, number>;
    /** Use of each engine of the service. */
    readonly uses: ReadonlyMap<string, UpstreamUse>;
    /** Engines and stores from which parts can be fetched. */
    readonly holders: readonly KnownHolder[];
    /** Engine that all instances prefer, by rendezvous hashing, while the prompt is not cached anywhere. */
    readonly preferred: string | undefined;
}

/** How much of a prompt one engine has cached or can fetch. */
export interface CacheCoverage {
    /** Tokens that the engine has cached. */
    readonly heldTokens: number;
    /** Source of a fetch; undefined when no fetch is worthwhile. */
    readonly source: CacheHolder | undefined;
    /** Tokens to prefill; fetched tokens count at the fraction of the time that a fetch takes. */
    readonly prefillTokens: number;
}

/** Lookup of cached prompts. */
export interface PromptCacheReader {
    /** Reads the state of the caches for a prompt; the preferred engine is one of `ids`. */
    readonly read: (service: string, prompt: Prompt, salt: string, ids: readonly string[]) => PromptCacheView;
    readonly describeCoverage: (prompt: Prompt, view: PromptCacheView, record: UpstreamRecord) => CacheCoverage;
    /** Finds a store that lacks shared parts of the prompt, to which the engine should write them. */
    readonly findCacheTarget: (prompt: Prompt, view: PromptCacheView) => ReachableStore | undefined;
}

/** Time to fetch tokens, as a fraction of the time of their prefill. */
const fetchCostFraction = 0.2;

/** Bonus of the preferred engine, as a fraction of the shared tokens, so that all instances choose the same engine. */
const preferredFraction = 0.1;

/** Minimum of shared tokens for a write to a store. */
const minStoredTokens = 64;

/**
 * Adds up the tokens of a prompt's parts.
 *
 * @param prompt - The prompt.
 * @param from - Index of the first part.
 * @param to - Index after the last part; negative numbers count from the end.
 * @returns The sum.
 * @example
 * sumTokens({ ...prompt, parts: [{ id: "style", tokens: 800 }, own] }, 0, -1); // 800
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
 * createPromptCacheReader(deps).read("writer", prompt, salt, ["engine-1"]).preferred; // "engine-1"
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
        const healthy = engines.filter(({ id }) => !health.isMisdirected(id) && !health.isEjected(id, nowMs));
        const holders = [...healthy.map(one => describe(one, false)), ...stores.map(one => describe(one, true))];
        return {
            salt,
            sharedKey: deriveSharedKey(prompt, salt),
            heldTokens,
            uses,
            holders: holders.filter(holder => holder.heldTokens > 0),
            preferred: parts.rankByRendezvous(prompt, salt, ids)[0],
        };
    }

    /** The engine's own cache counts even when the engine is ejected and no other engine may fetch from it. */
    function describeCoverage(prompt: Prompt, view: PromptCacheView, record: UpstreamRecord): CacheCoverage {
        const heldTokens = view.heldTokens.get(record.id) ?? 0;
        const others = view.holders.filter(holder => holder.id !== record.id)
            .map(holder => ({ ...holder, isSameFailureDomain: holder.failureDomain === record.failureDomain }));
        const source = chooseCacheSource(others, heldTokens);
        if (source !== undefined) {
            const fetchCost = (source.heldTokens - heldTokens) * fetchCostFraction;
            return { heldTokens, source, prefillTokens: prompt.promptTokens - source.heldTokens + fetchCost };
        }
        const preferredTokens = record.id === view.preferred ? sumTokens(prompt, 0, -1) * preferredFraction : 0;
        return { heldTokens, source, prefillTokens: prompt.promptTokens - Math.max(heldTokens, preferredTokens) };
    }

    function findCacheTarget(prompt: Prompt, view: PromptCacheView): ReachableStore | undefined {
        const shared = sumTokens(prompt, 0, -1);
        return shared < minStoredTokens
            ? undefined
            : deps.listStores().find(store => (view.heldTokens.get(store.id) ?? 0) < shared);
    }

    return { read, describeCoverage, findCacheTarget };
}
