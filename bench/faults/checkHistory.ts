/**
 * @module
 * Checks the history of a fault run, with one result for each guarantee.
 */
import { configurationBoundMs, drainSignalBoundMs } from "../../src/core/constants.js";
import type { CallerAttempt, CallerRequest, FaultHistory, UpstreamRun } from "./historyTypes.js";

/** Result of the check of one guarantee. */
export interface GuaranteeResult {
    readonly guarantee: string;
    readonly checked: number;
    /** One line for each violation. */
    readonly violations: readonly string[];
    /** Slowest case in milliseconds, for guarantees about time. */
    readonly slowestMs: number | undefined;
}

interface Finding {
    readonly violation: string | undefined;
    readonly elapsedMs?: number | undefined;
}

function summarize(guarantee: string, findings: readonly Finding[]): GuaranteeResult {
    const violations = findings.flatMap(finding => finding.violation === undefined ? [] : [finding.violation]);
    const times = findings.flatMap(finding => finding.elapsedMs === undefined ? [] : [finding.elapsedMs]);
    const slowestMs = times.length === 0 ? undefined : Math.max(...times);
    return { guarantee, checked: findings.length, violations, slowestMs };
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

function checkCacheScope(history: FaultHistory): GuaranteeResult {
    const customers = new Map(history.requests.map(req => [req.nonce, req.customer]));
    const findings = history.runs.filter(run => run.cacheSalt !== "").map((run): Finding => {
        const nonce = /nonce-[0-9a-z-]+/.exec(run.body)?.[0] ?? "";
        const [customer, , version] = run.cacheSalt.split("/");
        const isOwn = customer === customers.get(nonce) && version === run.weightsVersion;
        return { violation: isOwn ? undefined : `${nonce} ran at ${run.upstream} under salt ${run.cacheSalt}` };
    });
    return summarize("cache scope", findings);
}

function checkStreams(history: FaultHistory): GuaranteeResult {
    const texts = new Map<string, Set<string>>();
    for (const run of history.runs.filter(one => one.wasRun)) {
        texts.set(run.streamId, (texts.get(run.streamId) ?? new Set()).add(run.text));
    }
    const findings = listModelAttempts(history).map(({ req, attempt }): Finding => {
        if (attempt.end === "silentEnd") {
            return { violation: `${req.nonce}: a stream ended without end marker or error event` };
        }
        const isComplete = attempt.end !== "whole"
            || attempt.streamIds.every(id => texts.get(id)?.has(attempt.text) ?? false);
        return {
            violation: isComplete ? undefined : `${req.nonce}: the answer differs from what the engine generated`,
        };
    });
    return summarize("streams whole and in order", findings);
}

function checkSameAnswer(history: FaultHistory): GuaranteeResult {
    const findings = history.requests.filter(req => req.kind !== "read").map((req): Finding => {
        const texts = new Set(req.attempts.filter(attempt => attempt.end === "whole").map(attempt => attempt.text));
        return { violation: texts.size > 1 ? `${req.nonce}: retries got ${texts.size} different answers` : undefined };
    });
    return summarize("one answer per key", findings);
}

function checkReadiness(history: FaultHistory): GuaranteeResult {
    const findings = history.outages.filter(outage => outage.kind !== "paused").map((outage): Finding => ({
        violation: outage.readyAfterMs === undefined
            ? `daemon ${outage.daemon} did not become ready after ${outage.kind}`
            : undefined,
        elapsedMs: outage.readyAfterMs,
    }));
    return summarize("restart serves at once", findings);
}

function checkOwnAnswer(history: FaultHistory): GuaranteeResult {
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

function checkNotRun(history: FaultHistory): GuaranteeResult {
    const runsByNonce = findRunsByNonce(history);
    const findings = history.requests
        .filter(req => req.attempts.some(attempt => attempt.outcome === "notRun"))
        .map((req): Finding => {
            // Only a request whose every attempt was refused as "not run" must not have run at all.
            const isAllNotRun = req.attempts.every(attempt =>
                attempt.outcome === "notRun" || attempt.end === "connectFailed"
            );
            const wasRun = runsByNonce.get(req.nonce)?.some(run => run.wasRun) ?? false;
            return { violation: isAllNotRun && wasRun ? `${req.nonce}: refused as not run, but it ran` : undefined };
        });
    return summarize("\"not run\" is true", findings);
}

function checkAtMostOnce(history: FaultHistory): GuaranteeResult {
    const runsByNonce = findRunsByNonce(history);
    const findings = history.requests.filter(req => req.kind === "booking").map((req): Finding => {
        const runs = runsByNonce.get(req.nonce)?.filter(run => run.wasRun).length ?? 0;
        return { violation: runs > 1 ? `${req.nonce}: ran ${runs} times` : undefined };
    });
    return summarize("at most once", findings);
}

function checkDraining(history: FaultHistory): GuaranteeResult {
    const findings = history.leaving.map((draining): Finding => {
        const late = history.runs.filter(run => run.upstream === draining.upstream)
            .filter(run => run.atMs > draining.fromMs + drainSignalBoundMs && run.atMs < draining.untilMs);
        const lastMs = Math.max(
            0,
            ...history.runs
                .filter(run =>
                    run.upstream === draining.upstream && run.atMs >= draining.fromMs && run.atMs < draining.untilMs
                )
                .map(run => run.atMs - draining.fromMs),
        );
        const violation =
            `${draining.upstream} got ${late.length} requests more than 3 s after its ${draining.signal} signal`;
        return { violation: late.length > 0 ? violation : undefined, elapsedMs: lastMs };
    });
    return summarize("leaving upstream gets no new work", findings);
}

function checkPlannedStops(history: FaultHistory): GuaranteeResult {
    const stops = history.outages.filter(outage => outage.kind === "plannedStop");
    const findings = stops.map((stop): Finding => {
        const aborted = history.requests.flatMap(req => req.attempts).filter(attempt =>
            attempt.daemon === stop.daemon && attempt.endMs >= stop.fromMs && attempt.endMs <= stop.untilMs
            && attempt.isListValid && (attempt.end === "reset" || attempt.end === "connectFailed")
        );
        return {
            violation: aborted.length > 0
                ? `the stop of daemon ${stop.daemon} aborted ${aborted.length} requests`
                : undefined,
        };
    });
    return summarize("planned stop cuts nothing", findings);
}

function checkConfiguration(history: FaultHistory): GuaranteeResult {
    const accepted = history.changes.filter(change => change.outcome === "accepted").map((change): Finding => {
        const times = change.inForceAfterMs.map(time => time ?? Number.POSITIVE_INFINITY);
        const slowest = Math.max(0, ...times);
        const violation = `change ${change.changeId} was not in force everywhere within 4 s (${slowest} ms)`;
        return { violation: slowest > configurationBoundMs ? violation : undefined, elapsedMs: slowest };
    });
    const last = new Map<string, number>();
    const reverted = history.readings.map((reading): Finding => {
        const incarnation = `${reading.daemon}/${reading.life}`;
        const before = last.get(incarnation) ?? 0;
        last.set(incarnation, Math.max(before, reading.revision));
        const violation = `daemon ${reading.daemon} went from revision ${before} to ${reading.revision}`;
        return { violation: reading.revision < before ? violation : undefined };
    });
    return summarize("configuration in force, never reverts", [...accepted, ...reverted]);
}

/**
 * Checks a history.
 *
 * @param history - What the run recorded.
 * @returns One result for each guarantee.
 */
export function checkHistory(history: FaultHistory): readonly GuaranteeResult[] {
    return [
        checkCacheScope(history),
        checkStreams(history),
        checkSameAnswer(history),
        checkReadiness(history),
        checkOwnAnswer(history),
        checkNotRun(history),
        checkAtMostOnce(history),
        checkDraining(history),
        checkPlannedStops(history),
        checkConfiguration(history),
    ];
}
