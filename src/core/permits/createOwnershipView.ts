/**
 * @module
 * Which instance owns a subject: the one that ranks first by rendezvous hashing. Instances see others join and leave at different
 * times, so an instance acts as owner only when it has ranked first for longer than views differ.
 */
import { hashText } from "../_lib/hashText.js";
import { scoreRendezvous } from "../_lib/scoreRendezvous.js";

/** Owners of subjects, as this instance sees them. */
export interface OwnershipView {
    /** Takes note of the present candidates; called at each change, or often. */
    readonly update: () => void;
    /** The instance that owns a subject; undefined when there is no candidate. */
    readonly findOwner: (subject: string) => string | undefined;
    /**
     * Time until this instance may act as owner: 0 when it has ranked first for the whole hold-off, undefined when it does not rank
     * first.
     */
    readonly findHoldOffMs: (subject: string) => number | undefined;
    /** Begins the hold-off anew, after a pause of the process. */
    readonly reset: () => void;
}

/** Dependencies of {@link createOwnershipView}. */
export interface OwnershipDependencies {
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    readonly self: string;
    /** Names of the instances that may own subjects. */
    readonly listCandidates: () => readonly string[];
    /** Time for which this instance must have ranked first, in milliseconds. */
    readonly holdOffMs: () => number;
}

/** The candidates from a time on. */
interface CandidateSet {
    readonly sinceMs: number;
    readonly candidates: readonly string[];
    readonly key: string;
    /** Owners that were looked up. */
    readonly owners: Map<string, string | undefined>;
}

function chooseOwner(subject: string, candidates: readonly string[]): string | undefined {
    const key = hashText(subject);
    let best: string | undefined;
    let bestScore = -1n;
    for (const name of candidates) {
        const score = scoreRendezvous(key, name);
        if (score > bestScore) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

function findOwnerIn(set: CandidateSet, subject: string): string | undefined {
    if (!set.owners.has(subject)) {
        set.owners.set(subject, chooseOwner(subject, set.candidates));
    }
    return set.owners.get(subject);
}

/**
 * Creates a view.
 *
 * @param deps - This instance and the candidates.
 * @returns The view.
 * @example
 * createOwnershipView({ ...deps, self: "entry-1", listCandidates: () => ["entry-1"] }).findOwner("engine-1"); // "entry-1"
 */
export function createOwnershipView(deps: OwnershipDependencies): OwnershipView {
    /** The newest one last; at least one of them began before the hold-off, once that is over. */
    let sets: readonly CandidateSet[] = [];

    function update(): CandidateSet {
        const nowMs = deps.now();
        const candidates = deps.listCandidates().toSorted();
        const key = candidates.join(" ");
        const present = sets.at(-1);
        if (present?.key === key) {
            return present;
        }
        const next = { sinceMs: nowMs, candidates, key, owners: new Map<string, string | undefined>() };
        const sinceMs = nowMs - deps.holdOffMs();
        sets = [...sets.filter((_, index) => (sets[index + 1]?.sinceMs ?? nowMs) > sinceMs), next];
        return next;
    }

    return {
        update: () => {
            update();
        },
        findOwner: subject => findOwnerIn(update(), subject),
        findHoldOffMs: subject => {
            update();
            const isFirst = (set: CandidateSet) => findOwnerIn(set, subject) === deps.self;
            const since = sets[sets.findLastIndex(set => !isFirst(set)) + 1];
            return since === undefined ? undefined : Math.max(0, since.sinceMs + deps.holdOffMs() - deps.now());
        },
        reset: () => {
            sets = [];
        },
    };
}
