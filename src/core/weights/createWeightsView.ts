/**
 * @module
 * Which weights are named as newest, which each engine has, and which engines are loading.
 */
import type { UpstreamRecord } from "../registry/upstreamRecord.js";

/** Newest weights of a model. */
export interface NamedWeights {
    readonly model: string;
    readonly version: number;
    /** Instance's clock when it learned of them, in milliseconds. */
    readonly sinceMs: number;
}

/** The view. */
export interface WeightsView {
    /** Takes a named version; an older one than known is ignored. Returns whether it is newer. */
    readonly noteNamed: (model: string, version: number, nowMs: number) => boolean;
    readonly findNamed: (model: string) => NamedWeights | undefined;
    readonly listNamed: () => readonly NamedWeights[];
    /** When the first version after `version` was named; undefined while it is the newest. */
    readonly outdatedSinceMs: (model: string, version: number) => number | undefined;
    /** Notes a version that an engine was seen to have. */
    readonly noteLoaded: (engine: string, model: string, version: number) => void;
    /** Version of a model that an engine is believed to have; undefined when it does not have the model. */
    readonly versionAt: (record: UpstreamRecord, model: string) => number | undefined;
    /** Replaces the engines that `source` has ordered to load. */
    readonly setLoading: (source: string, engines: readonly string[]) => void;
    readonly isLoading: (engine: string) => boolean;
}

/**
 * Creates an empty view.
 *
 * @returns The view.
 * @example
 * const weights = createWeightsView();
 * weights.noteNamed("adapt", 3, clock.now());
 */
export function createWeightsView(): WeightsView {
    const named = new Map<string, NamedWeights>();
    /** Every version that was named, in ascending order. */
    const history = new Map<string, readonly NamedWeights[]>();
    const seen = new Map<string, number>();
    const loading = new Map<string, ReadonlySet<string>>();
    const seenKey = (engine: string, model: string) => `${engine} ${model}`;

    function versionAt(record: UpstreamRecord, model: string): number | undefined {
        const told = record.weights.find(weights => weights.model === model)?.version;
        const observed = seen.get(seenKey(record.id, model));
        return told === undefined ? observed : Math.max(told, observed ?? told);
    }

    return {
        noteNamed: (model, version, nowMs) => {
            if (version <= (named.get(model)?.version ?? -Infinity)) {
                return false;
            }
            const newest = { model, version, sinceMs: nowMs };
            named.set(model, newest);
            history.set(model, [...history.get(model) ?? [], newest]);
            return true;
        },
        findNamed: model => named.get(model),
        listNamed: () => [...named.values()],
        outdatedSinceMs: (model, version) => history.get(model)?.find(one => one.version > version)?.sinceMs,
        noteLoaded: (engine, model, version) => {
            const key = seenKey(engine, model);
            seen.set(key, Math.max(version, seen.get(key) ?? version));
        },
        versionAt,
        setLoading: (source, engines) => {
            loading.set(source, new Set(engines));
        },
        isLoading: engine => [...loading.values()].some(engines => engines.has(engine)),
    };
}
