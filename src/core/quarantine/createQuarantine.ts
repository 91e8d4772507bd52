/**
 * @module
 * The quarantine: prompt parts that end engines, and parts that may. Instances merge their entries; the one that was changed
 * most often counts.
 */
import { hashText } from "../_lib/hashText.js";
import { maxReportedEntries, type QuarantineRecord } from "./quarantineMessage.js";

/** An entry. Times are milliseconds on the instance's clock. */
export interface QuarantineEntry extends Omit<QuarantineRecord, "remainingMs"> {
    /** End of the hold. */
    readonly untilMs: number;
    /** Since when the part is contained or held. */
    readonly sinceMs: number;
}

/** How a part is treated.
 *
 * - `contained`: one request at a time may show whether it ends engines; others wait for the result.
 * - `held`: requests are refused.
 * - `expired`: a hold has passed; one request at a time may show whether it still ends engines, others are refused. */
export type PartTreatment = "free" | "contained" | "held" | "expired";

/** The end of an engine under a probe. */
export interface ProbeEnd {
    readonly engine: string;
    /** Whether the engine ended before the probe's first event. */
    readonly isConclusive: boolean;
    /** Engines that ended lately without the part, for unknown reasons. */
    readonly otherEnds: number;
}

/** The quarantine. */
export interface Quarantine {
    readonly findTreatment: (part: string, nowMs: number) => PartTreatment;
    /** Returns since when a part is contained or held; undefined when it is not. */
    readonly findSinceMs: (part: string) => number | undefined;
    readonly isEmpty: () => boolean;
    /** Contains a part that probably ends engines. */
    readonly contain: (part: string, engines: readonly string[], nowMs: number) => void;
    /** Holds a part; each further hold of it lasts longer. */
    readonly hold: (part: string, engines: readonly string[], nowMs: number) => void;
    /** Records that an engine ended under the one request that was let through; returns whether the part is held now. */
    readonly recordFailedProbe: (part: string, probe: ProbeEnd, nowMs: number) => boolean;
    /** Lifts the entry of a part; returns false when there is none. */
    readonly lift: (part: string, nowMs: number) => boolean;
    /** Applies the entries of another instance; returns the parts whose entries have changed. */
    readonly merge: (records: readonly QuarantineRecord[], nowMs: number) => readonly string[];
    /** Lists the entries, lifted ones too. */
    readonly list: (nowMs: number) => readonly QuarantineRecord[];
    /** Hash of the entries; undefined when there are none. */
    readonly digest: () => string | undefined;
}

/** Duration of the first hold, in milliseconds; it doubles with each further one. */
const firstHoldMs = 600_000;

/** Longest hold, in milliseconds. */
const maxHoldMs = 8 * firstHoldMs;

/** What a failed probe counts, by whether it is conclusive. */
const conclusiveWeight = 4;
const inconclusiveWeight = 1;

/** Limit for the failed probes of a part while up to a number of engines have ended without it. */
interface ProbeLimit {
    readonly maxOtherEnds: number;
    /** Sum of the weights from which the part is held. */
    readonly holdingScore: number;
}

/** The more engines end for other reasons, the more probes may have failed by chance. */
const probeLimits: readonly ProbeLimit[] = [
    { maxOtherEnds: 0, holdingScore: 4 },
    { maxOtherEnds: 2, holdingScore: 8 },
    { maxOtherEnds: Infinity, holdingScore: 12 },
];

/** Engines under which a part is held after one conclusive probe or three others, whatever else ends. */
const minCertainEngines = 5;
const certainHoldingScore = 3;

/** Engines that an entry names. */
const maxNamedEngines = 8;

/** Order in which changes that two instances made at the same time count: an answer is a proof, an end is not. */
const statePriority: Readonly<Record<QuarantineRecord["state"], number>> = { contained: 0, held: 1, lifted: 2 };

/**
 * Creates an empty quarantine.
 *
 * @returns The quarantine.
 * @example
 * const quarantine = createQuarantine();
 * quarantine.hold("style-7", ["engine-1", "engine-2"], clock.now());
 * quarantine.findTreatment("style-7", clock.now()); // "held"
 */
export function createQuarantine(): Quarantine {
    const entries = new Map<string, QuarantineEntry>();
    let cachedDigest: string | undefined;

    /** Makes room by removing the oldest entry, a lifted one if there is one. */
    function makeRoom(): void {
        if (entries.size >= maxReportedEntries) {
            const lifted = [...entries.values()].find(entry => entry.state === "lifted");
            const oldest = lifted?.part ?? entries.keys().next().value;
            entries.delete(oldest ?? "");
        }
    }

    function put(entry: Omit<QuarantineEntry, "sinceMs">, nowMs: number): void {
        cachedDigest = undefined;
        const known = entries.get(entry.part);
        if (known === undefined) {
            makeRoom();
        }
        const sinceMs = known === undefined || known.state === "lifted" ? nowMs : known.sinceMs;
        entries.set(entry.part, { ...entry, sinceMs });
    }

    function change(
        part: string,
        changes: Partial<QuarantineEntry> & Pick<QuarantineEntry, "state">,
        nowMs: number,
    ): void {
        const known = entries.get(part);
        put({
            part,
            holds: 0,
            probeScore: 0,
            engines: [],
            untilMs: nowMs,
            ...known,
            ...changes,
            version: (known?.version ?? 0) + 1,
        }, nowMs);
    }

    function hold(part: string, engines: readonly string[], nowMs: number): void {
        const holds = (entries.get(part)?.holds ?? 0) + 1;
        const durationMs = Math.min(maxHoldMs, firstHoldMs * 2 ** (holds - 1));
        change(part, {
            state: "held",
            holds,
            probeScore: 0,
            untilMs: nowMs + durationMs,
            engines: engines.slice(-maxNamedEngines),
        }, nowMs);
    }

    function mergeOne(record: QuarantineRecord, nowMs: number): boolean {
        const known = entries.get(record.part);
        const isNewer = known === undefined || record.version > known.version
            || (record.version === known.version && statePriority[record.state] > statePriority[known.state]);
        if (!isNewer) {
            return false;
        }
        const { remainingMs, ...rest } = record;
        put({ ...rest, untilMs: nowMs + Math.min(maxHoldMs, remainingMs) }, nowMs);
        return true;
    }

    function findTreatment(part: string, nowMs: number): PartTreatment {
        const entry = entries.get(part);
        if (entry === undefined || entry.state === "lifted") {
            return "free";
        }
        if (entry.state === "contained") {
            return "contained";
        }
        return nowMs < entry.untilMs ? "held" : "expired";
    }

    return {
        findTreatment,
        findSinceMs: part => {
            const entry = entries.get(part);
            return entry === undefined || entry.state === "lifted" ? undefined : entry.sinceMs;
        },
        isEmpty: () => entries.size === 0,
        contain: (part, engines, nowMs) => {
            change(part, { state: "contained", probeScore: 0, engines: engines.slice(-maxNamedEngines) }, nowMs);
        },
        hold,
        recordFailedProbe: (part, { engine, isConclusive, otherEnds }, nowMs) => {
            const known = entries.get(part);
            const treatment = findTreatment(part, nowMs);
            if (known === undefined || (treatment !== "contained" && treatment !== "expired")) {
                return false;
            }
            const engines = [...known.engines, engine];
            const probeScore = known.probeScore + (isConclusive ? conclusiveWeight : inconclusiveWeight);
            const isCertain = known.engines.length >= minCertainEngines;
            const limit = isCertain
                ? certainHoldingScore
                : probeLimits.find(one => otherEnds <= one.maxOtherEnds)?.holdingScore ?? Infinity;
            if (treatment === "expired" || probeScore >= limit) {
                hold(part, engines, nowMs);
                return true;
            }
            change(part, { state: "contained", probeScore, engines: engines.slice(-maxNamedEngines) }, nowMs);
            return false;
        },
        lift: (part, nowMs) => {
            if (findTreatment(part, nowMs) === "free") {
                return false;
            }
            change(part, { state: "lifted", probeScore: 0 }, nowMs);
            return true;
        },
        merge: (records, nowMs) => records.filter(record => mergeOne(record, nowMs)).map(record => record.part),
        list: nowMs =>
            [...entries.values()].map(({ untilMs, ...rest }) => ({
                ...rest,
                remainingMs: Math.max(0, untilMs - nowMs),
            })),
        digest: () => {
            if (entries.size === 0) {
                return undefined;
            }
            const text = () => [...entries.values()].map(one => `${one.part} ${one.version} ${one.state}`);
            cachedDigest ??= hashText(text().toSorted().join("\n")).toString(16);
            return cachedDigest;
        },
    };
}
