/**
 * @module
 * Names the engines at which the requests of a shared prompt are to meet: its homes, and where they go when these are full.
 * It answers the load of a large fleet, whose instances know little of what the others have placed and would otherwise have
 * every prompt prefilled at many engines. Each instance finds the same list from the engines in service, without a message.
 */
import { hashText } from "../_lib/hashText.js";
import { sumTokens } from "../placement/_lib/countPromptTokens.js";
import type { Prompt } from "../placement/placementTypes.js";
import { countHomes } from "./countHomes.js";
import { createEngineRanking } from "./createEngineRanking.js";
import { createPromptDemand, type PromptLoad } from "./createPromptDemand.js";
import { stepHomeCount } from "./stepHomeCount.js";

/** The homes of one prompt. */
export interface HomeList {
    /** Engines in the order that all instances share: the homes, and then those that take over when the homes are full. */
    readonly engines: readonly string[];
    /** Number of homes among them. */
    readonly homes: number;
    /** Requests a second of the fleet that the prompt has at least. */
    readonly requestsPerSecond: number;
}

/** Names the homes of prompts. Times are milliseconds on the instance's clock. */
export interface PromptHomes {
    /** Lists the homes among the engines in service; undefined when the prompt shares nothing or there is no engine. */
    readonly list: (prompt: Prompt, engines: readonly string[], nowMs: number) => HomeList | undefined;
    /**
     * Lists the homes anew among a few of the engines, where none of a list may run the prompt. The number of homes stays that
     * of all engines in service, which alone follows the demand.
     */
    readonly listAmong: (prompt: Prompt, list: HomeList, engines: readonly string[]) => HomeList;
    /** Records a request that this instance has placed. */
    readonly recordPlaced: (prompt: Prompt, nowMs: number) => void;
    /** Records for how long a request has occupied an engine, as if it had run alone there, in milliseconds. */
    readonly recordWork: (workMs: number) => void;
}

/** Dependencies of {@link createPromptHomes}. */
export interface PromptHomesDependencies {
    /** Number of instances that share the requests. */
    readonly countInstances: () => number;
    /** Called when the number of a prompt's homes has changed. */
    readonly onChange?: ((change: HomesChange) => void) | undefined;
}

/** A change of the number of a prompt's homes, with the estimate that decided it. */
export interface HomesChange extends Pick<PromptLoad, "requestsPerSecond" | "busyEngines" | "share"> {
    /** Id of the last shared part. */
    readonly part: string;
    readonly homes: number;
    readonly homesBefore: number;
    readonly engines: number;
}

/** Engines after the homes to which all instances turn in the same order. */
const spillEngines = 2;

/** Part of an engine's time that the requests of one prompt may use: the engine has other prompts to serve. */
const promptLoadBound = 0.5;

/** Most homes of a prompt as a multiple of its fair share of the engines. */
const promptSpreadFactor = 2;

/** Engines that may serve the prompts that begin alike, as a multiple of their fair share: room to balance the load. */
const prefixSpreadFactor = 4;

/** Requests from which the share of a prefix is estimated at all, and least requests that are assumed of a prefix. */
const minObserved = 64;
const minPrefixRequests = 8;

/** Counters of a row of the sketch of first parts, of which there are few. */
const prefixSketchWidth = 1_024;

/** Prompts whose number of homes is remembered; those used longest ago are forgotten. */
const maxCounts = 2_048;

const keyOf = (text: string) => Number(hashText(text) & 0xffffffffn);

/**
 * Derives the key of a shared prompt. Weights do not matter: a prompt keeps its homes when its engines load others.
 *
 * @param prompt - The prompt.
 * @returns 32 bits; equal for all requests that share everything but their last part.
 * @example
 * derivePromptKey({ ...prompt, parts: [style, own] }) === derivePromptKey({ ...prompt, parts: [style, other] }); // true
 */
export function derivePromptKey({ model, parts }: Prompt): number {
    return keyOf(`${model} ${parts.slice(0, -1).map(part => part.id).join("/")}`);
}

const derivePrefixKey = ({ model, parts }: Prompt) => keyOf(`${model} ${parts[0]?.id}`);

/** Whether prompts that begin with the same part go on differently. */
function hasCommonPart({ parts }: Prompt): boolean {
    return parts.length > 2;
}

/**
 * Creates the homes of prompts of which none was observed: each has one.
 *
 * @param deps - What is known of the fleet.
 * @returns The homes.
 * @example
 * createPromptHomes({ countInstances: () => 88 }).list(prompt, ["engine-1", "engine-2"], clock.now())?.homes; // 1
 */
export function createPromptHomes(deps: PromptHomesDependencies): PromptHomes {
    const ranking = createEngineRanking();
    const prompts = createPromptDemand();
    const prefixes = createPromptDemand(prefixSketchWidth);
    const counts = new Map<number, number>();

    function stepCount(key: number, needed: number): number {
        const count = stepHomeCount(needed, counts.get(key));
        counts.delete(key);
        if (count > 1) {
            counts.set(key, count);
        }
        const oldest = counts.keys().next().value;
        if (counts.size > maxCounts && oldest !== undefined) {
            counts.delete(oldest);
        }
        return count;
    }

    function countPromptHomes(prompt: Prompt, key: number, load: PromptLoad, engines: number): number {
        const needed = countHomes({
            neededUpstreams: load.busyEngines / promptLoadBound,
            fairShare: load.share * engines,
            maxSpreadFactor: promptSpreadFactor,
        }, engines);
        const homesBefore = counts.get(key) ?? 1;
        const homes = stepCount(key, needed);
        if (homes !== homesBefore) {
            const { requestsPerSecond, busyEngines, share } = load;
            const part = prompt.parts.at(-2)?.id ?? "";
            deps.onChange?.({ part, homes, homesBefore, engines, requestsPerSecond, busyEngines, share });
        }
        return homes;
    }

    /**
     * Lists the engines that serve prompts with this first part: each of them has to keep the part, so that one which few
     * prompts begin with is kept by few. Until its share is known, all engines do.
     */
    function listPrefixEngines(
        key: number,
        engines: readonly string[],
        least: number,
        nowMs: number,
    ): readonly string[] {
        const { share, seen } = prefixes.estimate(key, 1, nowMs);
        const observed = share === 0 ? 0 : seen / share;
        if (observed < minObserved) {
            return engines;
        }
        const fairShare = Math.max(seen, minPrefixRequests) / observed * engines.length;
        const count = stepCount(key, Math.max(least, Math.ceil(fairShare * prefixSpreadFactor)));
        return count >= engines.length / 2 ? engines : ranking.list(key, engines, count);
    }

    function list(prompt: Prompt, engines: readonly string[], nowMs: number): HomeList | undefined {
        if (engines.length === 0 || sumTokens(prompt, 0, -1) === 0) {
            return undefined;
        }
        const key = derivePromptKey(prompt);
        const load = prompts.estimate(key, deps.countInstances(), nowMs);
        const homes = countPromptHomes(prompt, key, load, engines.length);
        const listed = homes + spillEngines;
        const among = hasCommonPart(prompt)
            ? listPrefixEngines(derivePrefixKey(prompt), engines, listed, nowMs)
            : engines;
        return {
            engines: ranking.list(key, among, listed),
            homes: Math.min(homes, engines.length),
            requestsPerSecond: load.requestsPerSecond,
        };
    }

    return {
        list,
        listAmong: (prompt, { homes, requestsPerSecond }, engines) => ({
            engines: ranking.list(derivePromptKey(prompt), engines, homes + spillEngines),
            homes: Math.min(homes, engines.length),
            requestsPerSecond,
        }),
        recordPlaced: (prompt, nowMs) => {
            prompts.record(derivePromptKey(prompt), nowMs);
            if (hasCommonPart(prompt)) {
                prefixes.record(derivePrefixKey(prompt), nowMs);
            }
        },
        recordWork: prompts.recordWork,
    };
}
