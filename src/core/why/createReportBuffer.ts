/**
 * @module
 * A bounded buffer of reports on the latest requests, for `reedwardctl why`.
 */
import type { AttemptReport } from "../request/serveModelRequest.js";

/** How one request ended and how its upstreams were chosen. */
export interface RequestReport {
    readonly requestId: string;
    readonly kind: "model" | "service";
    readonly customer: string;
    /** Requested model or service. */
    readonly target: string;
    /** "answered" or an error kind. */
    readonly result: string;
    readonly detail: string;
    readonly upstream?: string | undefined;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** Time from arrival to the end, in milliseconds. */
    readonly durationMs: number;
    /** Time of the end, in milliseconds since the Unix epoch. */
    readonly endedMs: number;
    readonly attempts: readonly AttemptReport[];
}

/** The buffer. */
export interface ReportBuffer {
    readonly add: (report: RequestReport) => void;
    readonly find: (requestId: string) => RequestReport | undefined;
}

/** Maximum number of candidates stored for each attempt, best first. */
export const maxCandidates = 8;

function trim(report: RequestReport): RequestReport {
    const attempts = report.attempts.map(attempt => ({
        ...attempt,
        candidates: [...attempt.candidates].sort((left, right) => left.cost - right.cost).slice(0, maxCandidates),
    }));
    return { ...report, attempts };
}

/**
 * Creates the buffer.
 *
 * @param capacity - Maximum number of reports; the oldest is dropped first.
 * @returns The buffer.
 * @example
 * createReportBuffer(2000).find(requestId)?.result;
 */
export function createReportBuffer(capacity: number): ReportBuffer {
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
