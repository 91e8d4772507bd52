/**
 * @module
 * A bounded memory of how the latest requests ended, for `reedwardctl why`.
 */
import type { AttemptReport } from "../request/serveModelRequest.js";

/** How one request ended and why it went where it went. */
export interface RequestReport {
    readonly requestId: string;
    readonly kind: "model" | "service";
    readonly customer: string;
    /** Model or service that was asked for. */
    readonly target: string;
    /** "answered" or an error kind. */
    readonly result: string;
    readonly detail: string;
    readonly upstream?: string | undefined;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** Milliseconds from arrival to the end. */
    readonly durationMs: number;
    /** Milliseconds since the Unix epoch at the end. */
    readonly endedMs: number;
    readonly attempts: readonly AttemptReport[];
}

/** The memory. */
export interface ReportRing {
    readonly add: (report: RequestReport) => void;
    readonly find: (requestId: string) => RequestReport | undefined;
}

/** Candidates that are kept of each attempt, best first. */
export const keptCandidates = 8;

function trim(report: RequestReport): RequestReport {
    const attempts = report.attempts.map(attempt => ({
        ...attempt,
        candidates: [...attempt.candidates].sort((left, right) => left.cost - right.cost).slice(0, keptCandidates),
    }));
    return { ...report, attempts };
}

/**
 * Creates the memory.
 *
 * @param capacity - Reports that are kept; the oldest is dropped first.
 * @returns The memory.
 * @example
 * createReportRing(2000).find(requestId)?.result;
 */
export function createReportRing(capacity: number): ReportRing {
    const reports = new Map<string, RequestReport>();
    return {
        add: report => {
            reports.set(report.requestId, trim(report));
            for (const oldest of reports.keys()) {
                if (reports.size <= capacity) {
                    break;
                }
                reports.delete(oldest);
            }
        },
        find: requestId => reports.get(requestId),
    };
}
