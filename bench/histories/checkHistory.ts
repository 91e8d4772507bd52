/**
 * @module
 * Checks a recorded history against the guarantees that hold for every request.
 */
import type { History, SentRequest } from "./historyTypes.js";

/** Tolerance for the final answer after the request's deadline or the resumption of its instance. */
const answerSlackMs = 500;

function describe(req: SentRequest): string {
    return `${req.kind} request ${req.requestId} with key ${req.key}`;
}

function checkOneEnd(history: History): readonly string[] {
    return history.requests.flatMap(req => {
        const [first] = req.ends;
        if (req.ends.length !== 1 || first === undefined) {
            return [`${describe(req)} has ${req.ends.length} final answers`];
        }
        const limitMs = Math.max(req.deadlineMs, req.resumedMs) + answerSlackMs;
        if (first.atMs > limitMs && !req.isInstanceLost) {
            return [`${describe(req)} was answered ${first.atMs - limitMs} ms late`];
        }
        return first.end.kind === "closed" && !req.isInstanceLost ? [`${describe(req)} ended with no answer`] : [];
    });
}

function checkAtMostOnce(history: History): readonly string[] {
    const counts = new Map<string, number>();
    for (const run of history.serviceRuns) {
        counts.set(run.key, (counts.get(run.key) ?? 0) + 1);
    }
    return [...counts].filter(([, count]) => count > 1).map(([key, count]) => `key ${key} ran ${count} times`);
}

function checkNotRun(history: History): readonly string[] {
    const ran = new Set([...history.serviceRuns.map(run => run.requestId), ...history.engineRuns]);
    const keysRun = new Set(history.serviceRuns.map(run => run.key));
    return history.requests.flatMap(req => {
        const end = req.ends[0]?.end;
        if (end?.kind !== "refusal") {
            return [];
        }
        if (end.outcome === "notRun" && ran.has(req.requestId)) {
            return [`${describe(req)} was refused as not run by ${end.error}, but it ran`];
        }
        const hasRun = req.kind === "service" ? keysRun.has(req.key) : ran.has(req.requestId);
        return end.outcome === "run" && !hasRun ? [`${describe(req)} was refused as run, but it did not run`] : [];
    });
}

function checkAnswers(history: History): readonly string[] {
    const answers = new Map(history.serviceRuns.map(run => [run.key, run.answer]));
    return history.requests.flatMap(req => {
        const end = req.ends[0]?.end;
        if (end?.kind !== "answer") {
            return [];
        }
        const isService = req.kind === "service";
        const text = isService ? end.text : end.text.replaceAll(": heartbeat\n\n", "");
        const expected = isService ? answers.get(req.key) : history.expectedStreams.get(req.key);
        return text === expected ? [] : [`${describe(req)} got ${JSON.stringify(text)}`];
    });
}

function checkPartialStreams(history: History): readonly string[] {
    return history.requests.flatMap(req => {
        const expected = history.expectedStreams.get(req.key) ?? "";
        const streamed = req.streamed.replaceAll(": heartbeat\n\n", "");
        return expected.startsWith(streamed) ? [] : [`${describe(req)} was sent ${JSON.stringify(streamed)}`];
    });
}

/**
 * Checks a history.
 *
 * @param history - The record of a run that has ended.
 * @returns One line for each violation.
 */
export function checkHistory(history: History): readonly string[] {
    return [
        ...checkOneEnd(history),
        ...checkAtMostOnce(history),
        ...checkNotRun(history),
        ...checkAnswers(history),
        ...checkPartialStreams(history),
    ];
}
