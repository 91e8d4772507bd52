/**
 * @module
 * Target weights of each model, the weights that each engine has, and the engines that are loading.
 */
import type { UpstreamRecord } from "../registry/upstreamRecord.js";

/** Weights that operators want the engines of a model to have. */
export interface TargetWeights {
    readonly model: string;
    readonly version: number;
    /** Local time in milliseconds when they became the target; at the latest when this instance learned of them. */
    readonly sinceMs: number;
    /** Whether this instance or the one that reported them observed the change; else `sinceMs` is an assumption. */
    readonly isObserved: boolean;
}

/** Since when weights are outdated. */
export type OutdatedSince = Pick<TargetWeights, "sinceMs" | "isObserved">;

/** A view of the weights. */
export interface WeightsView {
    /**
     * Records a target version. Returns whether it is newer than all known ones. Of several observations the oldest counts: a
     * report may have waited on the way, so it can only make a version look newer than it is.
     */
    readonly recordTarget: (target: TargetWeights) => boolean;
    /** Newest target of a model. */
    readonly findTarget: (model: string) => TargetWeights | undefined;
    /** Newest target of each model. */
    readonly listTargets: () => readonly TargetWeights[];
    /** The latest target versions of each model, in ascending order. */
    readonly listHistory: () => readonly TargetWeights[];
    /** When a version after `version` first became the target; undefined while `version` is the newest. */
    readonly outdatedSinceMs: (model: string, version: number) => number | undefined;
    /** The same, and whether that time was observed. */
    readonly findOutdated: (model: string, version: number) => OutdatedSince | undefined;
    /** Records a version that an engine was observed to have. */
    readonly recordLoaded: (engine: string, model: string, version: number) => void;
    /** Returns the version that an engine was last known to have; undefined when it does not have the model. */
    readonly findVersion: (record: UpstreamRecord, model: string) => number | undefined;
    /** Replaces the engines that `source` has ordered to load. */
    readonly setLoading: (source: string, engines: readonly string[]) => void;
    readonly isLoading: (engine: string) => boolean;
}

/** Target versions kept for each model, however old they are. */
const minHistory = 6;

/** Target versions kept for each model at most. */
const maxHistory = 32;

/** Time before the newest target from which on all targets are kept, in milliseconds; beyond all limits for outdated weights. */
const historyMs = 30_000;

/** Forgets the targets that no longer decide for how long any version has been outdated. */
function trimHistory(versions: readonly TargetWeights[]): readonly TargetWeights[] {
    const newestMs = Math.max(...versions.map(one => one.sinceMs));
    const recent = versions.findIndex(one => one.sinceMs > newestMs - historyMs);
    // The last one before that time makes the versions before it as outdated as they are.
    const first = Math.min(recent - 1, versions.length - minHistory);
    return versions.slice(Math.max(0, first, versions.length - maxHistory));
}

/** Combines two reports of one target; undefined when the later one adds nothing. */
function mergeTargets(known: TargetWeights, target: TargetWeights): TargetWeights | undefined {
    if (known.isObserved === target.isObserved) {
        return target.sinceMs < known.sinceMs ? target : undefined;
    }
    return target.isObserved ? target : undefined;
}

/**
 * Creates an empty view.
 *
 * @param onTargets - Called after each change of a target or of its time.
 * @returns The view.
 * @example
 * const weights = createWeightsView();
 * weights.recordTarget({ model: "adapt", version: 3, sinceMs: clock.now(), isObserved: true });
 */
export function createWeightsView(onTargets: () => void = () => undefined): WeightsView {
    /** Target versions of each model, in ascending order. */
    const history = new Map<string, readonly TargetWeights[]>();
    const observedVersions = new Map<string, number>();
    const loading = new Map<string, ReadonlySet<string>>();
    const observedKey = (engine: string, model: string) => `${engine} ${model}`;

    function findVersion(record: UpstreamRecord, model: string): number | undefined {
        const reported = record.weights.find(weights => weights.model === model)?.version;
        const observed = observedVersions.get(observedKey(record.id, model));
        return reported === undefined ? observed : Math.max(reported, observed ?? reported);
    }

    function recordTarget(target: TargetWeights): boolean {
        const versions = history.get(target.model) ?? [];
        const known = versions.find(one => one.version === target.version);
        const merged = known === undefined ? target : mergeTargets(known, target);
        if (merged === undefined) {
            return false;
        }
        const others = versions.filter(one => one.version !== target.version);
        const all = [...others, merged].toSorted((left, right) => left.version - right.version);
        history.set(target.model, trimHistory(all));
        onTargets();
        return known === undefined && all.at(-1) === merged;
    }

    /** Versions are named in order, so a version is as old as any later one that was observed. */
    function findOutdated(model: string, version: number): OutdatedSince | undefined {
        const newer = (history.get(model) ?? []).filter(one => one.version > version);
        return newer
            .filter((one, index) => index === 0 || one.isObserved)
            .toSorted((one, other) => one.sinceMs - other.sinceMs)[0];
    }

    const findTarget = (model: string) => history.get(model)?.at(-1);
    return {
        recordTarget,
        findTarget,
        listTargets: () => [...history.keys()].map(findTarget).filter(target => target !== undefined),
        listHistory: () => [...history.values()].flat(),
        outdatedSinceMs: (model, version) => findOutdated(model, version)?.sinceMs,
        findOutdated,
        recordLoaded: (engine, model, version) => {
            const key = observedKey(engine, model);
            observedVersions.set(key, Math.max(version, observedVersions.get(key) ?? version));
        },
        findVersion,
        setLoading: (source, engines) => {
            if (engines.length > 0) {
                loading.set(source, new Set(engines));
            }
            else {
                loading.delete(source);
            }
        },
        isLoading: engine => [...loading.values()].some(engines => engines.has(engine)),
    };
}
