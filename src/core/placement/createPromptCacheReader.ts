/**
 * @module
 * Looks up which engines and cache stores hold parts of a prompt, and what an engine would have to prefill or fetch.
 */
import { chooseHomeStore } from "../homes/chooseHomeStore.js";
import { computeHomeBonus } from "../homes/computeHomeBonus.js";
import { createPromptHomes, derivePromptKey, type HomeList, type HomesChange } from "../homes/createPromptHomes.js";
import { createWorkMeter } from "../homes/createWorkMeter.js";
import type { UpstreamRegistry } from "../registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { WeightsView } from "../weights/createWeightsView.js";
import { countSharedTokens, sumTokens } from "./_lib/countPromptTokens.js";
import { choosePreferredEngine, type PreferredEngine } from "./choosePreferredEngine.js";
import type { HealthView } from "./createHealthView.js";
import { deriveSharedKey, type PartView } from "./createPartView.js";
import {
    type CacheHolder,
    type ChooseSource,
    createSourceChooser,
    type SourceCandidate,
} from "./createSourceChooser.js";
import type { UpstreamUseTracker } from "./createUpstreamUseTracker.js";
import type { Prompt, UpstreamUse } from "./placementTypes.js";

/** A cache store that answers. */
export interface ReachableStore {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    /** Whether this instance reads its events, and so knows which parts it has. */
    readonly isFollowed: boolean;
}

type HolderPlace = Omit<ReachableStore, "isFollowed">;

/** Dependencies of {@link createPromptCacheReader}. */
export interface PromptCacheReaderDependencies {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly registry: UpstreamRegistry;
    readonly use: UpstreamUseTracker;
    readonly parts: PartView;
    readonly health: HealthView;
    readonly weights: WeightsView;
    /** Whether each instance hears from all others at short intervals what they place. */
    readonly isFleetDirect: () => boolean;
    /** Number of instances that share the requests. */
    readonly countInstances: () => number;
    /** Called when the number of a prompt's homes has changed. */
    readonly onHomesChanged?: ((change: HomesChange) => void) | undefined;
    /** Lists the cache stores that answer. */
    readonly listStores: () => readonly ReachableStore[];
}

/** The weights under which a prompt is to run, and the salt that keeps its parts apart from those of other weights. */
export interface CacheScope {
    readonly weightsVersion: number;
    readonly salt: string;
}

/** State of the caches for one prompt under one salt. */
export interface PromptCacheView {
    readonly salt: string;
    readonly sharedKey: string;
    /** Tokens that each engine of the service and each store has cached, or will have when it serves the prompt. */
    readonly heldTokens: ReadonlyMap<string, number>;
    /** Most tokens that any of them has cached or will have. */
    readonly mostHeldTokens: number;
    /** Use of each engine of the service. */
    readonly uses: ReadonlyMap<string, UpstreamUse>;
    /** Chooses among the engines and stores from which parts can be fetched. */
    readonly chooseSource: ChooseSource;
    /** Engine that all instances prefer for the first shared part that is not cached anywhere. */
    readonly preferred: PreferredEngine | undefined;
    /** Where all instances of a large fleet let the requests of the shared prompt meet. */
    readonly homes: HomeList | undefined;
    /** Address of the first home from which parts may be fetched, and its id. */
    readonly homeSource: { readonly id: string; readonly address: string; } | undefined;
    /** The store that keeps the shared prompt in a large fleet. */
    readonly homeStore: ReachableStore | undefined;
}

/** How much of a prompt one engine has cached or can fetch. */
export interface CacheCoverage {
    /** Tokens that the engine has cached. */
    readonly heldTokens: number;
    /** Source of a fetch; undefined when no fetch is worthwhile. */
    readonly source: CacheHolder | undefined;
    /** Tokens to prefill; fetched tokens count at the fraction of the time that a fetch takes. */
    readonly prefillTokens: number;
    /** Tokens among them that another engine has prefilled or is about to: prefilling them twice wastes capacity. */
    readonly repeatedTokens: number;
}

/** Lookup of cached prompts. */
export interface PromptCacheReader {
    /** Reads the state of the caches for a prompt; the preferred engine is one of `ids`. */
    readonly read: (service: string, prompt: Prompt, scope: CacheScope, ids: readonly string[]) => PromptCacheView;
    readonly describeCoverage: (prompt: Prompt, view: PromptCacheView, record: UpstreamRecord) => CacheCoverage;
    /**
     * Finds where an engine should look for shared parts that it lacks: where they are known to be, or else in the store that keeps
     * the prompt, or at its home. A lookup in vain takes about a millisecond, a prefill of the parts tens of them.
     */
    readonly findCacheSource: (
        prompt: Prompt,
        view: PromptCacheView,
        coverage: CacheCoverage,
        engine: string,
    ) => string | undefined;
    /** Finds a store that lacks shared parts of the prompt, to which the engine should write them. */
    readonly findCacheTarget: (
        prompt: Prompt,
        view: PromptCacheView,
        coverage: CacheCoverage,
    ) => ReachableStore | undefined;
    /** Records that a request was placed on an engine with a number of slots. */
    readonly recordPlaced: (req: object, prompt: Prompt, slots: number) => void;
    readonly recordAnswerStart: (req: object) => void;
    readonly recordEnd: (req: object) => void;
}

/** Time to fetch tokens, as a fraction of the time of their prefill. */
const fetchCostFraction = 0.2;

/** Minimum of shared tokens to look up where nobody is known to hold them: the prefill of fewer takes as long as the lookup. */
const minLookupTokens = 512;

/** Minimum of shared tokens for a write to a store. */
const minStoredTokens = 64;

/**
 * Creates the reader.
 *
 * @param deps - The views that it reads.
 * @returns The reader.
 * @example
 * createPromptCacheReader(deps).read("writer", prompt, { weightsVersion: 3, salt }, ["engine-1"]).preferred; // "engine-1"
 */
export function createPromptCacheReader(deps: PromptCacheReaderDependencies): PromptCacheReader {
    const { parts, health, use, weights } = deps;
    const homes = createPromptHomes({ countInstances: deps.countInstances, onChange: deps.onHomesChanged });
    const meter = createWorkMeter(homes.recordWork);

    /** Lists the homes among all engines in service, so that what one request or instance excludes moves none. */
    function listHomes(
        engines: readonly UpstreamRecord[],
        prompt: Prompt,
        ids: readonly string[],
    ): HomeList | undefined {
        const serving = engines.filter(engine => !engine.isDraining && !weights.isLoading(engine.id));
        const usable = new Set(ids);
        const listed = homes.list(prompt, serving.map(engine => engine.id), deps.now());
        // Few engines may have these weights yet: then the homes are among them.
        return listed === undefined || ids.length === 0 || listed.engines.some(id => usable.has(id))
            ? listed
            : homes.listAmong(prompt, listed, ids);
    }

    /** Describes where the requests of the prompt meet; `sources` are the engines from which parts may be fetched. */
    function describeHomes(
        prompt: Prompt,
        ids: readonly string[],
        { engines, sources }: Readonly<Record<"engines" | "sources", readonly UpstreamRecord[]>>,
    ): Pick<PromptCacheView, "homes" | "homeSource" | "homeStore"> {
        const list = deps.isFleetDirect() ? undefined : listHomes(engines, prompt, ids);
        if (list === undefined) {
            return { homes: undefined, homeSource: undefined, homeStore: undefined };
        }
        const first = engines.find(engine => engine.id === list.engines[0]);
        return {
            homes: list,
            homeSource: sources.find(engine => engine.id === first?.id),
            homeStore: chooseHomeStore(derivePromptKey(prompt), first?.failureDomain, deps.listStores()),
        };
    }

    /** An engine that has loaded other weights since has no parts of this scope any more, or not of its weights. */
    function isSource(engine: UpstreamRecord, prompt: Prompt, weightsVersion: number, nowMs: number): boolean {
        return weights.findVersion(engine, prompt.model) === weightsVersion
            && !health.isMisdirected(engine.id) && !health.isEjected(engine.id, nowMs);
    }

    function read(service: string, prompt: Prompt, scope: CacheScope, ids: readonly string[]): PromptCacheView {
        const { salt, weightsVersion } = scope;
        const nowMs = deps.now();
        const engines = deps.registry.listService(service);
        // What was known of a store whose events are not read any more may be long gone.
        const stores = deps.listStores().filter(store => store.isFollowed);
        const uses = new Map(engines.map(({ id }) => [id, use.read(id)]));
        const tokens = new Map(
            [...engines, ...stores].map(({ id }) => [id, parts.countCachedTokens(prompt, salt, id, nowMs)]),
        );
        const describe = ({ id, address, failureDomain }: HolderPlace, isStore: boolean): SourceCandidate => ({
            id,
            address,
            failureDomain,
            isStore,
            heldTokens: tokens.get(id)?.cached ?? 0,
            requests: uses.get(id)?.requests ?? 0,
        });
        const sources = engines.filter(engine => isSource(engine, prompt, weightsVersion, nowMs));
        const holders = [...sources.map(one => describe(one, false)), ...stores.map(one => describe(one, true))];
        const heldTokens = new Map([...tokens].map(([id, { expected }]) => [id, expected]));
        const mostHeldTokens = Math.max(0, ...heldTokens.values());
        return {
            salt,
            sharedKey: deriveSharedKey(prompt, salt),
            heldTokens,
            mostHeldTokens,
            uses,
            chooseSource: createSourceChooser(holders.filter(holder => holder.heldTokens > 0)),
            preferred: deps.isFleetDirect()
                ? choosePreferredEngine(prompt, salt, mostHeldTokens, ids)
                : undefined,
            ...describeHomes(prompt, ids, { engines, sources }),
        };
    }

    /** The engine's own cache counts even when the engine is ejected and no other engine may fetch from it. */
    function describeCoverage(prompt: Prompt, view: PromptCacheView, record: UpstreamRecord): CacheCoverage {
        const { preferred } = view;
        const heldTokens = view.heldTokens.get(record.id) ?? 0;
        const source = view.chooseSource(record, heldTokens);
        const availableTokens = source?.heldTokens ?? heldTokens;
        const fetchCost = (availableTokens - heldTokens) * fetchCostFraction;
        const isPreferred = record.id === preferred?.id;
        const homeBonus = view.homes === undefined
            ? 0
            : computeHomeBonus(view.homes, record.id, countSharedTokens(prompt));
        const bonusTokens = homeBonus + (isPreferred ? preferred.bonusTokens : 0);
        const bestTokens = view.mostHeldTokens + (preferred?.sharedTokens ?? 0);
        const ownBestTokens = isPreferred ? availableTokens + preferred.sharedTokens : availableTokens;
        return {
            heldTokens,
            source,
            prefillTokens: prompt.promptTokens - availableTokens + fetchCost - bonusTokens,
            repeatedTokens: Math.max(0, bestTokens - ownBestTokens),
        };
    }

    /** Whether shared parts are neither known to be cached at the engine nor fetched from where they are. */
    function lacksShared(prompt: Prompt, { heldTokens, source }: CacheCoverage, minTokens: number): boolean {
        return sumTokens(prompt, 0, -1) - (source?.heldTokens ?? heldTokens) >= minTokens;
    }

    function findCacheSource(
        prompt: Prompt,
        { heldTokens, homes: list, homeStore, homeSource }: PromptCacheView,
        { source }: CacheCoverage,
        engine: string,
    ): string | undefined {
        const shared = sumTokens(prompt, 0, -1);
        if (list === undefined || shared < minLookupTokens || (source !== undefined && source.heldTokens >= shared)) {
            return source?.address;
        }
        // An engine may have dropped what it is believed to have.
        if (homeStore !== undefined && (!homeStore.isFollowed || (heldTokens.get(homeStore.id) ?? 0) >= shared)) {
            return homeStore.address;
        }
        return source?.address ?? (homeSource?.id === engine ? undefined : homeSource?.address);
    }

    function findCacheTarget(
        prompt: Prompt,
        view: PromptCacheView,
        coverage: CacheCoverage,
    ): ReachableStore | undefined {
        const shared = sumTokens(prompt, 0, -1);
        if (shared < minStoredTokens) {
            return undefined;
        }
        const { homeStore } = view;
        if (homeStore !== undefined && !homeStore.isFollowed) {
            return lacksShared(prompt, coverage, minLookupTokens) ? homeStore : undefined;
        }
        const stores = view.homes === undefined
            ? deps.listStores().filter(store => store.isFollowed)
            : [homeStore].filter(store => store !== undefined);
        return stores.find(store => (view.heldTokens.get(store.id) ?? 0) < shared);
    }

    return {
        read,
        describeCoverage,
        findCacheSource,
        findCacheTarget,
        recordPlaced: (req, prompt, slots) => {
            if (meter.begin(req, slots, deps.now())) {
                homes.recordPlaced(prompt, deps.now());
            }
        },
        recordAnswerStart: req => meter.recordAnswerStart(req, deps.now()),
        recordEnd: req => meter.end(req, deps.now()),
    };
}
