/**
 * @module
 * Checks a fault run's history against what must always hold, one verdict for each promise.
 */
import { configurationBoundMs, drainSignalBoundMs } from "../../src/core/constants.js";
import type { CallerAttempt, CallerRequest, FaultHistory, UpstreamRun } from "./historyTypes.js";

/** Verdict on one promise. */
export interface PromiseVerdict {
    readonly promise: string;
    readonly checked: number;
    /** One line for each violation. */
    readonly violations: readonly string[];
    /** Slowest case in milliseconds, for promises about time. */
    readonly slowestMs: number | undefined;
}

interface Finding {
    readonly violation: string | undefined;
    readonly tookMs?: number | undefined;
}

function summarize(promise: string, findings: readonly Finding[]): PromiseVerdict {
    const violations = findings.flatMap(finding => finding.violation === undefined ? [] : [finding.violation]);
    const times = findings.flatMap(finding => finding.tookMs === undefined ? [] : [finding.tookMs]);
    const slowestMs = times.length === 0 ? undefined : Math.max(...times);
    return { promise, checked: findings.length, violations, slowestMs };
}

function listModelAttempts(
    history: FaultHistory,
): readonly { readonly req: CallerRequest; readonly attempt: CallerAttempt; }[] {
    return history.requests.filter(req => req.kind === "model")
        .flatMap(req => req.attempts.map(attempt => ({ req, attempt })));
}

function findRunsByNonce(history: FaultHistory): ReadonlyMap<string, readonly UpstreamRun[]> {
    const byNonce = new Map<string, UpstreamRun[]>();
    for (const run of history.runs) {
        const nonce = /nonce-[0-9a-z-]+/.exec(run.body)?.[0] ?? "";
        byNonce.set(nonce, [...byNonce.get(nonce) ?? [], run]);
    }
    return byNonce;
}

function checkCacheScope(history: FaultHistory): PromiseVerdict {
    const customers = new Map(history.requests.map(req => [req.nonce, req.customer]));
    const findings = history.runs.filter(run => run.cacheSalt !== "").map((run): Finding => {
        const nonce = /nonce-[0-9a-z-]+/.exec(run.body)?.[0] ?? "";
        const [customer, , version] = run.cacheSalt.split("/");
        const isOwn = customer === customers.get(nonce) && version === run.weightsVersion;
        return { violation: isOwn ? undefined : `${nonce} ran at ${run.upstream} under salt ${run.cacheSalt}` };
    });
    return summarize("cache scope", findings);
}

function checkStreams(history: FaultHistory): PromiseVerdict {
    const texts = new Map<string, Set<string>>();
    for (const run of history.runs.filter(one => one.wasRun)) {
        texts.set(run.streamId, (texts.get(run.streamId) ?? new Set()).add(run.text));
    }
    const findings = listModelAttempts(history).map(({ req, attempt }): Finding => {
        if (attempt.end === "silentEnd") {
            return { violation: `${req.nonce}: a stream ended without end marker or error event` };
        }
        const isWhole = attempt.end !== "whole"
            || attempt.streamIds.every(id => texts.get(id)?.has(attempt.text) ?? false);
        return { violation: isWhole ? undefined : `${req.nonce}: the answer differs from what the engine generated` };
    });
    return summarize("streams whole and in order", findings);
}

function checkSameAnswer(history: FaultHistory): PromiseVerdict {
    const findings = history.requests.filter(req => req.kind !== "read").map((req): Finding => {
        const texts = new Set(req.attempts.filter(attempt => attempt.end === "whole").map(attempt => attempt.text));
        return { violation: texts.size > 1 ? `${req.nonce}: repeats got ${texts.size} different answers` : undefined };
    });
    return summarize("one answer per key", findings);
}

function checkReadiness(history: FaultHistory): PromiseVerdict {
    const findings = history.outages.filter(outage => outage.kind !== "paused").map((outage): Finding => ({
        violation: outage.readyAfterMs === undefined
            ? `daemon ${outage.daemon} was never ready after ${outage.kind}`
            : undefined,
        tookMs: outage.readyAfterMs,
    }));
    return summarize("restart serves at once", findings);
}

function checkOwnAnswer(history: FaultHistory): PromiseVerdict {
    const runsByNonce = findRunsByNonce(history);
    const findings = history.requests.flatMap(req =>
        req.attempts.filter(attempt => attempt.end === "whole").map((attempt): Finding => {
            const own = runsByNonce.get(req.nonce) ?? [];
            const isOwn = req.kind === "model"
                ? attempt.streamIds.length > 0 && attempt.streamIds.every(id => own.some(run => run.streamId === id))
                : attempt.text.includes(req.nonce);
            return { violation: isOwn ? undefined : `${req.nonce}: got the answer to another request` };
        })
    );
    return summarize("own answer", findings);
}

function checkNotRun(history: FaultHistory): PromiseVerdict {
    const runsByNonce = findRunsByNonce(history);
    const findings = history.requests
        .filter(req => req.attempts.some(attempt => attempt.outcome === "notRun"))
        .map((req): Finding => {
            // Only a request whose every attempt was refused as "not run" proves that nothing may have run.
            const isAllNotRun = req.attempts.every(attempt =>
                attempt.outcome === "notRun" || attempt.end === "connectFailed"
            );
            const wasRun = runsByNonce.get(req.nonce)?.some(run => run.wasRun) ?? false;
            return { violation: isAllNotRun && wasRun ? `${req.nonce}: refused as not run, but it ran` : undefined };
        });
    return summarize("\"not run\" is true", findings);
}

function checkAtMostOnce(history: FaultHistory): PromiseVerdict {
    const runsByNonce = findRunsByNonce(history);
    const findings = history.requests.filter(req => req.kind === "booking").map((req): Finding => {
        const runs = runsByNonce.get(req.nonce)?.filter(run => run.wasRun).length ?? 0;
        return { violation: runs > 1 ? `${req.nonce}: ran ${runs} times` : undefined };
    });
    return summarize("at most once", findings);
}

function checkLeaving(history: FaultHistory): PromiseVerdict {
    const findings = history.leaving.map((leaving): Finding => {
        const late = history.runs.filter(run => run.upstream === leaving.upstream)
            .filter(run => run.atMs > leaving.fromMs + drainSignalBoundMs && run.atMs < leaving.untilMs);
        const lastMs = Math.max(
            0,
            ...history.runs
                .filter(run =>
                    run.upstream === leaving.upstream && run.atMs >= leaving.fromMs && run.atMs < leaving.untilMs
                )
                .map(run => run.atMs - leaving.fromMs),
        );
        const violation =
            `${leaving.upstream} got ${late.length} requests more than 3 s after its ${leaving.signal} signal`;
        return { violation: late.length > 0 ? violation : undefined, tookMs: lastMs };
    });
    return summarize("leaving upstream gets no new work", findings);
}

function checkPlannedStops(history: FaultHistory): PromiseVerdict {
    const stops = history.outages.filter(outage => outage.kind === "plannedStop");
    const findings = stops.map((stop): Finding => {
        const cut = history.requests.flatMap(req => req.attempts).filter(attempt =>
            attempt.daemon === stop.daemon && attempt.endMs >= stop.fromMs && attempt.endMs <= stop.untilMs
            && attempt.isListValid && (attempt.end === "reset" || attempt.end === "connectFailed")
        );
        return {
            violation: cut.length > 0 ? `the stop of daemon ${stop.daemon} cut ${cut.length} requests` : undefined,
        };
    });
    return summarize("planned stop cuts nothing", findings);
}

function checkConfiguration(history: FaultHistory): PromiseVerdict {
    const accepted = history.changes.filter(change => change.outcome === "accepted").map((change): Finding => {
        const times = change.inForceAfterMs.map(time => time ?? Number.POSITIVE_INFINITY);
        const slowest = Math.max(0, ...times);
        const violation = `change ${change.changeId} was not in force everywhere within 4 s (${slowest} ms)`;
        return { violation: slowest > configurationBoundMs ? violation : undefined, tookMs: slowest };
    });
    const last = new Map<string, number>();
    const reverted = history.readings.map((reading): Finding => {
        const life = `${reading.daemon}/${reading.life}`;
        const before = last.get(life) ?? 0;
        last.set(life, Math.max(before, reading.revision));
        const violation = `daemon ${reading.daemon} went from revision ${before} to ${reading.revision}`;
        return { violation: reading.revision < before ? violation : undefined };
    });
    return summarize("configuration in force, never reverts", [...accepted, ...reverted]);
}

/**
 * Checks a history.
 *
 * @param history - What the run recorded.
 * @returns One verdict for each promise.
 */
export function checkHistory(history: FaultHistory): readonly PromiseVerdict[] {
    return [
        checkCacheScope(history),
        checkStreams(history),
        checkSameAnswer(history),
        checkReadiness(history),
        checkOwnAnswer(history),
        checkNotRun(history),
        checkAtMostOnce(history),
        checkLeaving(history),
        checkPlannedStops(history),
        checkConfiguration(history),
    ];
}
