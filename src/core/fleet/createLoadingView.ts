/**
 * @module
 * Which engines load weights, as the instances that order it have reported lately. A report that is not repeated ends:
 * its sender may have ended, or the next report was lost.
 */
import type { LoadingReport } from "./loadingReport.js";

/** Receives reports of loading engines. */
export interface LoadingView {
    /** Applies what a heartbeat of an instance says. */
    readonly applyHeartbeat: (name: string, loading: readonly string[], nowMs: number) => void;
    /** Applies a report unless a later one has arrived. */
    readonly applyReport: (report: LoadingReport, nowMs: number) => void;
    /** Ends reports that are too old. */
    readonly removeExpired: (nowMs: number) => void;
}

/** Time after which a report ends, in milliseconds; most loads are over by then. */
const reportTtlMs = 1_500;

/**
 * Creates a view without reports.
 *
 * @param setLoading - Receives the engines that load on the order of an instance, whenever they change.
 * @returns The view.
 * @example
 * createLoadingView(weights.setLoading).applyHeartbeat("entry-2", ["engine-1"], clock.now());
 */
export function createLoadingView(setLoading: (name: string, loading: readonly string[]) => void): LoadingView {
    const reportedMs = new Map<string, number>();
    const latest = new Map<string, Pick<LoadingReport, "startedAtMs" | "sequence">>();

    function apply(name: string, loading: readonly string[], nowMs: number): void {
        if (loading.length > 0) {
            reportedMs.set(name, nowMs);
        }
        else if (!reportedMs.delete(name)) {
            return;
        }
        setLoading(name, loading);
    }

    function isLate({ loadingBy, startedAtMs, sequence }: LoadingReport): boolean {
        const known = latest.get(loadingBy);
        return known !== undefined
            && (startedAtMs < known.startedAtMs || (startedAtMs === known.startedAtMs && sequence <= known.sequence));
    }

    return {
        applyHeartbeat: apply,
        applyReport: (report, nowMs) => {
            if (!isLate(report)) {
                latest.set(report.loadingBy, report);
                apply(report.loadingBy, report.loading, nowMs);
            }
        },
        removeExpired: nowMs => {
            for (const [name, atMs] of reportedMs) {
                if (nowMs - atMs > reportTtlMs) {
                    apply(name, [], nowMs);
                }
            }
        },
    };
}
