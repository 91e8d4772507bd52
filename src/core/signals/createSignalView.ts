/**
 * @module
 * What upstreams have stated in their answers, to this instance or to its peers, until it ends. Placement, reports to peers and
 * the operator's list read it here.
 */
import { hashText } from "../_lib/hashText.js";
import { computeRate, isForgettable, observeRateLimit, type RateLimitState } from "./rateLimitState.js";
import { type SignalReport, toReportedAgeMs } from "./signalReport.js";
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
    readonly change: "stated" | "ended";
    /** The limit; undefined when it has ended, and for other kinds. */
    readonly requestsPerSecond?: number | undefined;
    /** Time for which the upstream wants no request, in milliseconds. */
    readonly delayMs?: number;
    /** Name of the instance that received the answer. */
    readonly source: string;
}

/** Why an upstream wants no request at all. */
export interface Closure {
    readonly kind: "leaving" | "retryAfter";
    /** When it ends; infinite for an upstream that leaves. */
    readonly untilMs: number;
}

/** What is known of upstreams from their answers. */
export interface SignalView {
    /** Records an answer that this instance received. */
    readonly recordAnswer: (answer: ObservedAnswer) => void;
    /** Applies reports of a peer. */
    readonly applyReports: (reports: readonly SignalReport[], nowMs: number) => void;
    /** Requests per second that an upstream takes from all instances together; undefined when it states no limit. */
    readonly findRateLimit: (upstream: string, nowMs: number) => number | undefined;
    /** Why an upstream wants no request of this instance now; undefined when it wants some. */
    readonly findClosure: (upstream: string, nowMs: number) => Closure | undefined;
    /** Number of upstreams whose rate is limited. */
    readonly countLimited: (nowMs: number) => number;
    /** Lists what is known, also what ended lately. */
    readonly listReports: (nowMs: number) => readonly SignalReport[];
    /** Hash of what is in force and concerns all instances; undefined when that is nothing. */
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

/** From which answer something is known. */
interface Origin {
    readonly sentMs: number;
    readonly receivedMs: number;
    readonly source: string;
}

interface UpstreamState {
    readonly startedAtMs: number;
    rateLimit: RateLimitState | undefined;
    leaving: Origin | undefined;
    retryAfter: Origin & { readonly untilMs: number; } | undefined;
}

/**
 * Error of times that peers report, in milliseconds: the report's way is not known. A report that a limit has ended must not look
 * newer than it is.
 */
const reportDelayMs = 100;

/**
 * Creates a view in which no upstream has stated anything.
 *
 * @param options - The names by which answers are attributed, and the receiver of changes.
 * @returns The view.
 * @example
 * createSignalView(options).findRateLimit("engine-1", clock.now()); // undefined
 */
export function createSignalView(options: SignalViewOptions): SignalView {
    const states = new Map<string, UpstreamState>();
    let cachedDigest: string | undefined;

    function stateOf({ id, startedAtMs }: UpstreamProcess): UpstreamState {
        const known = states.get(id);
        if (known?.startedAtMs === startedAtMs) {
            return known;
        }
        const state = { startedAtMs, rateLimit: undefined, leaving: undefined, retryAfter: undefined };
        states.set(id, state);
        return state;
    }

    function announce(change: SignalChange): void {
        cachedDigest = undefined;
        options.onChange(change);
    }

    function observeLimit(
        upstream: UpstreamProcess,
        requestsPerSecond: number | undefined,
        origin: Origin,
        nowMs: number,
    ): void {
        if (requestsPerSecond === undefined && states.get(upstream.id)?.rateLimit === undefined) {
            return;
        }
        const state = stateOf(upstream);
        const before = state.rateLimit?.observation.requestsPerSecond;
        state.rateLimit = observeRateLimit(state.rateLimit, { requestsPerSecond, ...origin }, nowMs);
        const after = state.rateLimit?.observation;
        if (after !== undefined && after.requestsPerSecond !== before) {
            announce({
                upstream: upstream.id,
                kind: "rateLimit",
                change: after.requestsPerSecond === undefined ? "ended" : "stated",
                requestsPerSecond: after.requestsPerSecond,
                source: after.source,
            });
        }
    }

    /** An upstream that leaves goes on to do so, whatever its later answers state. */
    function observeLeaving(upstream: UpstreamProcess, origin: Origin): void {
        const state = stateOf(upstream);
        if (state.leaving === undefined) {
            state.leaving = origin;
            announce({ upstream: upstream.id, kind: "leaving", change: "stated", source: origin.source });
        }
    }

    function observeRetryAfter(upstream: UpstreamProcess, delayMs: number, origin: Origin): void {
        const state = stateOf(upstream);
        const beforeMs = state.retryAfter?.untilMs ?? -Infinity;
        state.retryAfter = { ...origin, untilMs: Math.max(origin.receivedMs + delayMs, beforeMs) };
        if (beforeMs <= origin.receivedMs) {
            announce({ upstream: upstream.id, kind: "retryAfter", change: "stated", delayMs, source: origin.source });
        }
    }

    function recordAnswer({ upstream, signals, isRun, sentMs, receivedMs }: ObservedAnswer): void {
        const origin = { sentMs, receivedMs, source: options.self };
        for (const signal of signals.stated) {
            switch (signal.kind) {
                case "rateLimit":
                    observeLimit(upstream, signal.requestsPerSecond, origin, receivedMs);
                    break;
                case "leaving":
                    observeLeaving(upstream, origin);
                    break;
                case "retryAfter":
                    observeRetryAfter(upstream, signal.delayMs, origin);
                    break;
            }
        }
        const statesLimit = [...signals.stated, ...signals.malformed].some(one => one.kind === "rateLimit");
        // A rejection may come from another part of the upstream, so it does not end a limit.
        if (isRun && !statesLimit) {
            observeLimit(upstream, undefined, origin, receivedMs);
        }
    }

    function applyReport(report: SignalReport, nowMs: number): void {
        const { upstream: id, startedAtMs, source } = report;
        if (options.findStartMs(id) !== startedAtMs) {
            return;
        }
        const origin = { sentMs: nowMs - report.sentAgeMs, receivedMs: nowMs - report.receivedAgeMs, source };
        if (report.kind === "leaving") {
            observeLeaving({ id, startedAtMs }, origin);
        }
        else if (report.kind === "rateLimit") {
            const { requestsPerSecond } = report;
            const sentMs = origin.sentMs - (requestsPerSecond === undefined ? reportDelayMs : 0);
            observeLimit({ id, startedAtMs }, requestsPerSecond, { ...origin, sentMs }, nowMs);
        }
    }

    /** Forgets what has ended. */
    function removeEnded(nowMs: number): void {
        for (const [id, state] of states) {
            if (state.rateLimit !== undefined && isForgettable(state.rateLimit, nowMs)) {
                state.rateLimit = undefined;
            }
            if (state.retryAfter !== undefined && state.retryAfter.untilMs <= nowMs) {
                state.retryAfter = undefined;
            }
            if (state.rateLimit === undefined && state.leaving === undefined && state.retryAfter === undefined) {
                states.delete(id);
            }
        }
    }

    function describe(upstream: string, state: UpstreamState, nowMs: number): readonly SignalReport[] {
        const { startedAtMs, rateLimit, leaving, retryAfter } = state;
        const toOrigin = ({ sentMs, receivedMs, source }: Origin) => ({
            upstream,
            startedAtMs,
            sentAgeMs: toReportedAgeMs(sentMs, nowMs),
            receivedAgeMs: toReportedAgeMs(receivedMs, nowMs),
            source,
        });
        const limit = rateLimit?.observation;
        const reports: (SignalReport | undefined)[] = [
            limit && { ...toOrigin(limit), kind: "rateLimit", requestsPerSecond: limit.requestsPerSecond },
            leaving && { ...toOrigin(leaving), kind: "leaving" },
            retryAfter && {
                ...toOrigin(retryAfter),
                kind: "retryAfter",
                remainingMs: toReportedAgeMs(nowMs, retryAfter.untilMs),
            },
        ];
        return reports.filter(report => report !== undefined);
    }

    function computeDigest(): string {
        const texts = [...states].flatMap(([upstream, { rateLimit, leaving }]) => {
            const limit = rateLimit?.observation.requestsPerSecond;
            return [
                ...(limit === undefined ? [] : [`${upstream} ${limit}`]),
                ...(leaving === undefined ? [] : [`${upstream} leaving`]),
            ];
        });
        return texts.length === 0 ? "" : hashText(texts.toSorted().join("\n")).toString(16);
    }

    function findClosure(upstream: string, nowMs: number): Closure | undefined {
        const { leaving, retryAfter } = states.get(upstream) ?? {};
        if (leaving !== undefined) {
            return { kind: "leaving", untilMs: Infinity };
        }
        return retryAfter !== undefined && nowMs < retryAfter.untilMs
            ? { kind: "retryAfter", untilMs: retryAfter.untilMs }
            : undefined;
    }

    function findRateLimit(upstream: string, nowMs: number): number | undefined {
        const rateLimit = states.get(upstream)?.rateLimit;
        return rateLimit === undefined ? undefined : computeRate(rateLimit, nowMs);
    }

    return {
        recordAnswer,
        applyReports: (reports, nowMs) => reports.forEach(report => applyReport(report, nowMs)),
        findRateLimit,
        findClosure,
        countLimited: nowMs => [...states.keys()].filter(id => findRateLimit(id, nowMs) !== undefined).length,
        listReports: nowMs => {
            removeEnded(nowMs);
            return [...states].flatMap(([upstream, state]) => describe(upstream, state, nowMs));
        },
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
