/**
 * @module
 * What upstreams have stated in their answers, to this instance or to its peers, until it ends.
 */
import { hashText } from "../_lib/hashText.js";
import { mergeRateLimits, type RateLimitObservation } from "./rateLimitObservation.js";
import { maxReportedAgeMs, type SignalReport } from "./signalReport.js";
import type { AnswerSignals, SignalKind } from "./upstreamSignal.js";

/** An upstream's process. */
export interface UpstreamProcess {
    readonly id: string;
    /** A higher value under the same id means a new process, which has stated nothing yet. */
    readonly startedAtMs: number;
}

/** The head of an answer. Times are milliseconds on the instance's clock. */
export interface ObservedAnswer {
    readonly upstream: UpstreamProcess;
    readonly signals: AnswerSignals;
    /** Whether the upstream ran the request. */
    readonly isRun: boolean;
    readonly sentMs: number;
    readonly receivedMs: number;
}

/** A change of what is known of an upstream. */
export interface SignalChange {
    readonly upstream: string;
    readonly kind: SignalKind;
    /** Undefined when the signal has ended. */
    readonly requestsPerSecond: number | undefined;
    /** Name of the instance that received the answer. */
    readonly source: string;
}

/** What is known of upstreams from their answers. */
export interface SignalView {
    /** Records an answer that this instance received. */
    readonly recordAnswer: (answer: ObservedAnswer) => void;
    /** Applies reports of a peer. */
    readonly applyReports: (reports: readonly SignalReport[], nowMs: number) => void;
    /** Requests per second that an upstream takes from all instances together; undefined when it states no limit. */
    readonly findRateLimit: (upstream: string, nowMs: number) => number | undefined;
    /** Number of upstreams whose rate is limited. */
    readonly countLimited: (nowMs: number) => number;
    /** Lists what is known, also what ended lately. */
    readonly listReports: (nowMs: number) => readonly SignalReport[];
    /** Hash of what is in force; undefined when that is nothing. */
    readonly digest: () => string | undefined;
    readonly remove: (upstream: string) => void;
}

/** Options of {@link createSignalView}. */
export interface SignalViewOptions {
    /** Name of this instance. */
    readonly self: string;
    /** Start of the upstream's process; undefined for an unknown upstream. */
    readonly findStartMs: (upstream: string) => number | undefined;
    readonly onChange: (change: SignalChange) => void;
}

/** Recovery after the end of a limit. */
interface Recovery {
    readonly sinceMs: number;
    readonly requestsPerSecond: number;
}

interface RateLimitState {
    readonly startedAtMs: number;
    readonly observation: RateLimitObservation;
    readonly recovery: Recovery | undefined;
}

/**
 * Lowest rate that is used, in requests per second: only the answer to a request can tell that a limit of zero, or one close
 * to it, has ended.
 */
const minRequestsPerSecond = 1 / 30;

/** Time after the end of a limit in which the rate rises, so that not all instances return at once, in milliseconds. */
const recoveryMs = 4_000;

/** Lowest rate from which it rises, in requests per second, and the time in which it doubles, in milliseconds. */
const minRecoveryRate = 1;
const recoveryDoublingMs = 1_000;

/** Time for which the end of a limit is remembered, in milliseconds: peers may still report the limit. */
const endMemoryMs = 60_000;

/**
 * Error of times that peers report, in milliseconds: the report's way is not known. A report that a limit has ended must not look
 * newer than it is.
 */
const reportDelayMs = 100;

/** Returns the rate that is in force; undefined when the upstream takes any. */
function computeRate({ observation, recovery }: RateLimitState, nowMs: number): number | undefined {
    if (observation.requestsPerSecond !== undefined) {
        return Math.max(observation.requestsPerSecond, minRequestsPerSecond);
    }
    if (recovery === undefined || nowMs - recovery.sinceMs >= recoveryMs) {
        return undefined;
    }
    const doublings = (nowMs - recovery.sinceMs) / recoveryDoublingMs;
    return Math.max(recovery.requestsPerSecond, minRecoveryRate) * 2 ** doublings;
}

function toAgeMs(atMs: number, nowMs: number): number {
    return Math.min(maxReportedAgeMs, Math.max(0, Math.round(nowMs - atMs)));
}

/**
 * Creates a view in which no upstream has stated anything.
 *
 * @param options - The names by which answers are attributed, and the receiver of changes.
 * @returns The view.
 * @example
 * createSignalView(options).findRateLimit("engine-1", clock.now()); // undefined
 */
export function createSignalView(options: SignalViewOptions): SignalView {
    const states = new Map<string, RateLimitState>();
    let cachedDigest: string | undefined;

    function findState(upstream: UpstreamProcess): RateLimitState | undefined {
        const state = states.get(upstream.id);
        return state?.startedAtMs === upstream.startedAtMs ? state : undefined;
    }

    function observe(upstream: UpstreamProcess, next: RateLimitObservation, nowMs: number): void {
        const known = findState(upstream);
        if (known === undefined && next.requestsPerSecond === undefined) {
            return;
        }
        const observation = known === undefined ? next : mergeRateLimits(known.observation, next);
        const before = known?.observation.requestsPerSecond;
        const { requestsPerSecond, source } = observation;
        const isUnchanged = known !== undefined && before === requestsPerSecond;
        const recovery = before === undefined ? known?.recovery : { sinceMs: nowMs, requestsPerSecond: before };
        states.set(upstream.id, {
            startedAtMs: upstream.startedAtMs,
            observation,
            recovery: requestsPerSecond === undefined ? recovery : undefined,
        });
        if (!isUnchanged) {
            cachedDigest = undefined;
            options.onChange({ upstream: upstream.id, kind: "rateLimit", requestsPerSecond, source });
        }
    }

    function applyReport(report: SignalReport, nowMs: number): void {
        const { upstream: id, startedAtMs, requestsPerSecond, source } = report;
        if (options.findStartMs(id) !== startedAtMs) {
            return;
        }
        const delayMs = requestsPerSecond === undefined ? reportDelayMs : 0;
        const sentMs = nowMs - report.sentAgeMs - delayMs;
        const receivedMs = nowMs - report.receivedAgeMs;
        observe({ id, startedAtMs }, { requestsPerSecond, sentMs, receivedMs, source }, nowMs);
    }

    function removeForgotten(nowMs: number): void {
        for (const [upstream, { recovery }] of states) {
            if (recovery !== undefined && nowMs - recovery.sinceMs > endMemoryMs) {
                states.delete(upstream);
            }
        }
    }

    function listReports(nowMs: number): readonly SignalReport[] {
        removeForgotten(nowMs);
        return [...states].map(([upstream, { startedAtMs, observation }]) => ({
            upstream,
            startedAtMs,
            kind: "rateLimit",
            requestsPerSecond: observation.requestsPerSecond,
            sentAgeMs: toAgeMs(observation.sentMs, nowMs),
            receivedAgeMs: toAgeMs(observation.receivedMs, nowMs),
            source: observation.source,
        }));
    }

    function computeDigest(): string {
        const inForce = [...states].filter(([, state]) => state.observation.requestsPerSecond !== undefined);
        const texts = inForce.map(([upstream, { observation }]) => `${upstream} ${observation.requestsPerSecond}`);
        return texts.length === 0 ? "" : hashText(texts.toSorted().join("\n")).toString(16);
    }

    return {
        recordAnswer: ({ upstream, signals, isRun, sentMs, receivedMs }) => {
            const limit = signals.stated.find(one => one.kind === "rateLimit");
            const isMalformed = signals.malformed.some(one => one.kind === "rateLimit");
            // A rejection may come from another part of the upstream, so it does not end a limit.
            if (limit !== undefined || (isRun && !isMalformed)) {
                const { requestsPerSecond } = limit ?? { requestsPerSecond: undefined };
                observe(upstream, { requestsPerSecond, sentMs, receivedMs, source: options.self }, receivedMs);
            }
        },
        applyReports: (reports, nowMs) => reports.forEach(report => applyReport(report, nowMs)),
        findRateLimit: (upstream, nowMs) => {
            const state = states.get(upstream);
            return state === undefined ? undefined : computeRate(state, nowMs);
        },
        countLimited: nowMs => [...states.values()].filter(state => computeRate(state, nowMs) !== undefined).length,
        listReports,
        digest: () => {
            cachedDigest ??= computeDigest();
            return cachedDigest === "" ? undefined : cachedDigest;
        },
        remove: upstream => {
            states.delete(upstream);
            cachedDigest = undefined;
        },
    };
}
