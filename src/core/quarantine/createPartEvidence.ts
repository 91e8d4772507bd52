/**
 * @module
 * Evidence against prompt parts: the ends of engines, merged from the reports of all instances. A part that ends engines is
 * in the prompts of each engine that ended because of it, and in no prompt that was answered since.
 */
import type { EngineEnd } from "./engineEnd.js";

/** What speaks against a part. Times are milliseconds on the instance's clock. */
export interface Suspicion {
    readonly part: string;
    /** Engines that ended with the part in a prompt since it was last answered. */
    readonly engines: readonly string[];
    /** Number of different requests with the part on these engines. */
    readonly requests: number;
    /** Number of different requests without the part on all engines that ended in this time. */
    readonly otherRequests: number;
    /** Number of moments at which the engines ended; ends within a short time of each other are one. */
    readonly moments: number;
    /** Share of these engines among all that ended in this time for no known reason. */
    readonly coverage: number;
    readonly firstEndMs: number;
    readonly lastEndMs: number;
}

/** Collects evidence. */
export interface PartEvidence {
    /** Adds what one instance has seen of an engine's end. */
    readonly addEnd: (end: EngineEnd, atMs: number) => void;
    /** Records that a prompt with the part was answered. */
    readonly recordAnswered: (part: string, atMs: number) => void;
    readonly hasEnds: () => boolean;
    /** Returns whether an engine that ended at about `atMs` had another contained or held part in a prompt. */
    readonly hasOtherCause: (
        part: string,
        end: Pick<EngineEnd, "engine"> & { readonly atMs: number; },
        findSinceMs: (part: string) => number | undefined,
    ) => boolean;
    /** Counts the engines that ended since `sinceMs` without the part in a prompt, for reasons that are not known. */
    readonly countOtherEnds: (
        part: string,
        sinceMs: number,
        findSinceMs: (part: string) => number | undefined,
    ) => number;
    /**
     * Lists suspicions, the strongest one first. `findSinceMs` returns since when a part is contained or held: the ends since
     * then of engines that had it in a prompt speak against no other part.
     */
    readonly listSuspicions: (
        nowMs: number,
        findSinceMs: (part: string) => number | undefined,
    ) => readonly Suspicion[];
}

interface RecordedEnd {
    readonly engine: string;
    atMs: number;
    /** Shared parts by request. */
    readonly requests: Map<string, readonly string[]>;
}

interface Candidate {
    readonly part: string;
    readonly ends: readonly RecordedEnd[];
    /** Place in the prompt, as seen first. */
    readonly place: number;
}

/** Time for which an end is remembered, in milliseconds. */
const memoryMs = 900_000;

/** Time within which reports of an engine's end are of the same one, in milliseconds; it needs longer to start again. */
const sameEndMs = 800;

/** Ends that are remembered. */
const maxEnds = 512;

/** Parts whose last answers are remembered. */
const maxAnsweredParts = 4_096;

/** Fewest engines of a suspicion. */
const minEngines = 2;

/** Time between two ends from which they are two moments, in milliseconds: reports of one end arrive apart. */
const momentMs = 100;

function isExplained(end: RecordedEnd, findSinceMs: (part: string) => number | undefined): boolean {
    return [...end.requests.values()].flat().some(part => (findSinceMs(part) ?? Infinity) <= end.atMs);
}

function countMoments(ends: readonly RecordedEnd[]): number {
    let moments = 0;
    let lastMs = -Infinity;
    for (const { atMs } of ends) {
        if (atMs - lastMs >= momentMs) {
            moments += 1;
            lastMs = atMs;
        }
    }
    return moments;
}

function countRequests(ends: readonly RecordedEnd[], part: string, hasPart: boolean): number {
    return ends.reduce(
        (sum, end) => sum + [...end.requests.values()].filter(parts => parts.includes(part) === hasPart).length,
        0,
    );
}

function describe(candidate: Candidate, unexplained: readonly RecordedEnd[]): Suspicion {
    const { part, ends } = candidate;
    const firstEndMs = ends[0]!.atMs;
    const since = unexplained.filter(end => end.atMs >= firstEndMs);
    return {
        part,
        engines: ends.map(end => end.engine),
        requests: countRequests(ends, part, true),
        otherRequests: countRequests(since, part, false),
        moments: countMoments(ends),
        coverage: ends.length / since.length,
        firstEndMs,
        lastEndMs: ends.at(-1)!.atMs,
    };
}

/**
 * Creates a collection without evidence.
 *
 * @returns The collection.
 * @example
 * const evidence = createPartEvidence();
 * evidence.addEnd(end, clock.now());
 * evidence.listSuspicions(clock.now(), () => undefined)[0]?.part;
 */
export function createPartEvidence(): PartEvidence {
    let ends: RecordedEnd[] = [];
    const answeredMs = new Map<string, number>();

    function removeOld(nowMs: number): void {
        ends = ends.slice(-maxEnds).filter(end => nowMs - end.atMs <= memoryMs);
        for (const part of answeredMs.keys()) {
            if (answeredMs.size <= maxAnsweredParts) {
                break;
            }
            answeredMs.delete(part);
        }
    }

    function findEnd(engine: string, atMs: number): RecordedEnd | undefined {
        return ends.find(one => one.engine === engine && Math.abs(one.atMs - atMs) < sameEndMs);
    }

    function listCandidates(
        unexplained: readonly RecordedEnd[],
        isFree: (part: string) => boolean,
    ): readonly Candidate[] {
        const byPart = new Map<string, { readonly ends: Set<RecordedEnd>; place: number; }>();
        for (const end of unexplained) {
            for (const parts of end.requests.values()) {
                for (const [place, part] of parts.entries()) {
                    if (isFree(part) && end.atMs > (answeredMs.get(part) ?? -Infinity)) {
                        const known = byPart.get(part) ?? { ends: new Set(), place };
                        known.ends.add(end);
                        byPart.set(part, known);
                    }
                }
            }
        }
        return [...byPart]
            .filter(([, known]) => known.ends.size >= minEngines)
            .map(([part, known]) => ({ part, ends: [...known.ends], place: known.place }));
    }

    return {
        addEnd: ({ engine, requests }, atMs) => {
            let end = findEnd(engine, atMs);
            if (end === undefined) {
                end = { engine, atMs, requests: new Map() };
                ends.push(end);
            }
            end.atMs = Math.min(end.atMs, atMs);
            for (const { id, parts } of requests) {
                end.requests.set(id, parts);
            }
            removeOld(atMs);
        },
        recordAnswered: (part, atMs) => {
            const known = answeredMs.get(part) ?? -Infinity;
            answeredMs.delete(part);
            answeredMs.set(part, Math.max(known, atMs));
        },
        hasEnds: () => ends.length > 0,
        hasOtherCause: (part, { engine, atMs }, findSinceMs) => {
            const requests = [...findEnd(engine, atMs)?.requests.values() ?? []];
            return requests.flat().some(one => one !== part && findSinceMs(one) !== undefined);
        },
        countOtherEnds: (part, sinceMs, findSinceMs) => {
            const isBoundOrSame = (one: string) => one === part || findSinceMs(one) !== undefined;
            return ends.filter(end => end.atMs >= sinceMs && ![...end.requests.values()].flat().some(isBoundOrSame))
                .length;
        },
        listSuspicions: (nowMs, findSinceMs) => {
            removeOld(nowMs);
            const unexplained = ends.filter(end => !isExplained(end, findSinceMs))
                .toSorted((left, right) => left.atMs - right.atMs);
            return listCandidates(unexplained, part => findSinceMs(part) === undefined)
                .map(candidate => ({ candidate, suspicion: describe(candidate, unexplained) }))
                .toSorted((left, right) =>
                    right.suspicion.engines.length - left.suspicion.engines.length
                    || right.suspicion.requests - left.suspicion.requests
                    || left.candidate.place - right.candidate.place
                )
                .map(one => one.suspicion);
        },
    };
}
