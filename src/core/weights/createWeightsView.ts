/**
 * @module
 * Which weights are named as newest, which each engine has, and which engines are loading.
 */
import type { UpstreamRecord } from "../registry/upstreamRecord.js";

/** Weights of a model that the operator named. */
export interface TargetWeights {
    readonly model: string;
    readonly version: number;
    /** When they were named, on the instance's clock in milliseconds; at the latest when it learned of them. */
    readonly sinceMs: number;
    /** Whether this instance or one that told it saw them being named; else `sinceMs` is an assumption. */
    readonly isObserved: boolean;
}

/** The view. */
export interface WeightsView {
    /** Takes a named version. Returns whether it is newer than all known ones. */
    readonly recordTarget: (named: TargetWeights) => boolean;
    readonly findTarget: (model: string) => TargetWeights | undefined;
    /** Newest weights of each model. */
    readonly listTargets: () => readonly TargetWeights[];
    /** The latest versions of each model that were named, in ascending order. */
    readonly listHistory: () => readonly TargetWeights[];
    /** When the first version after `version` was named; undefined while it is the newest. */
    readonly outdatedSinceMs: (model: string, version: number) => number | undefined;
    /** Notes a version that an engine was seen to have. */
    readonly recordLoaded: (engine: string, model: string, version: number) => void;
    /** Version of a model that an engine is believed to have; undefined when it does not have the model. */
    readonly findVersion: (record: UpstreamRecord, model: string) => number | undefined;
    /** Replaces the engines that `source` has ordered to load. */
    readonly setLoading: (source: string, engines: readonly string[]) => void;
    readonly isLoading: (engine: string) => boolean;
}

/** Versions of one model that are remembered. */
const maxHistory = 6;

/**
 * Creates an empty view.
 *
 * @returns The view.
 * @example
 * const weights = createWeightsView();
 * weights.noteNamed({ model: "adapt", version: 3, sinceMs: clock.now(), isObserved: true });
 */
export function createWeightsView(): WeightsView {
    /** Versions that were named, in ascending order. */
    const history = new Map<string, readonly TargetWeights[]>();
    const seen = new Map<string, number>();
    const loading = new Map<string, ReadonlySet<string>>();
    const seenKey = (engine: string, model: string) => `${engine} ${model}`;

    function versionAt(record: UpstreamRecord, model: string): number | undefined {
        const told = record.weights.find(weights => weights.model === model)?.version;
        const observed = seen.get(seenKey(record.id, model));
        return told === undefined ? observed : Math.max(told, observed ?? told);
    }

    function noteNamed(named: TargetWeights): boolean {
        const versions = history.get(named.model) ?? [];
        const known = versions.find(one => one.version === named.version);
        if (known !== undefined && (known.isObserved || !named.isObserved)) {
            return false;
        }
        const others = versions.filter(one => one.version !== named.version);
        const all = [...others, named].toSorted((left, right) => left.version - right.version);
        history.set(named.model, all.slice(-maxHistory));
        return known === undefined && all.at(-1) === named;
    }

    const findNamed = (model: string) => history.get(model)?.at(-1);
    return {
        recordTarget: noteNamed,
        findTarget: findNamed,
        listTargets: () => [...history.keys()].map(findNamed).filter(named => named !== undefined),
        listHistory: () => [...history.values()].flat(),
        outdatedSinceMs: (model, version) => history.get(model)?.find(one => one.version > version)?.sinceMs,
        recordLoaded: (engine, model, version) => {
            const key = seenKey(engine, model);
            seen.set(key, Math.max(version, seen.get(key) ?? version));
        },
        findVersion: versionAt,
        setLoading: (source, engines) => {
            loading.set(source, new Set(engines));
        },
        isLoading: engine => [...loading.values()].some(engines => engines.has(engine)),
    };
}
