/**
 * @module
 * Describes a log line in a sentence.
 */
import { type LogEventName, logEventTable } from "../logEvents/logEventTable.js";
import type { LogLine } from "./parseLogLine.js";

type Fields = LogLine["fields"];

const names: ReadonlyMap<string, LogEventName> = new Map(
    (Object.keys(logEventTable) as LogEventName[]).map(name => [logEventTable[name].code, name]),
);

/** Formats a field as text; a missing one is named as such. */
function text(fields: Fields, name: string): string {
    const value = fields[name];
    return value === undefined || value === ""
        ? `(no ${name})`
        : typeof value === "string"
        ? value
        : JSON.stringify(value);
}

function describeKnownLoad(fields: Fields): string {
    if (fields["expectedRequests"] === undefined) {
        return "";
    }
    const age = fields["loadAgeMs"] === undefined
        ? "though it has stated nothing yet"
        : `by what it stated ${text(fields, "loadAgeMs")} ms before`;
    return `, where ${text(fields, "expectedRequests")} requests were expected ${age}, at ${
        text(fields, "pace")
    } of the`
        + " usual duration of work";
}

function describeHome(fields: Fields): string {
    const rank = fields["homeRank"];
    if (fields["homes"] === undefined) {
        return "";
    }
    return typeof rank === "number"
        ? `; number ${rank + 1} in the prompt's list, of which ${text(fields, "homes")} are homes`
        : `; not in the prompt's list, which has ${text(fields, "homes")} homes`;
}

function describeSent(fields: Fields): string {
    const limit = fields["rateLimit"] === undefined
        ? ""
        : `, by a permit of its limit of ${text(fields, "rateLimit")} requests a second`;
    const head = `sent to ${text(fields, "upstream")} ${text(fields, "afterMs")} ms after it arrived${limit}`
        + describeKnownLoad(fields);
    if (fields["promptTokens"] === undefined) {
        return head;
    }
    const cached = `${text(fields, "heldTokens")} of ${text(fields, "promptTokens")} prompt tokens believed kept there`;
    const fetched = fields["cacheSource"] === undefined
        ? ""
        : `, ${text(fields, "fetchedTokens")} to be fetched from ${text(fields, "cacheSource")}`;
    return `${head}; weights version ${text(fields, "weightsVersion")}; ${cached}${fetched}${describeHome(fields)}`;
}

const outcomes: ReadonlyMap<unknown, (fields: Fields) => string> = new Map<unknown, (fields: Fields) => string>([
    ["notSent", fields => `did not reach ${text(fields, "upstream")}: ${text(fields, "detail")}; it did not run there`],
    [
        "rejected",
        fields =>
            `${text(fields, "upstream")} answered ${text(fields, "status")} and did not run it: ${
                text(fields, "reason")
            }`,
    ],
    [
        "lost",
        fields => `the response of ${text(fields, "upstream")} was lost: ${text(fields, "detail")}; it may have run`,
    ],
    ["expired", fields => `${text(fields, "upstream")} had not completed it by the deadline; it may have run`],
    ["callerGone", fields => `the caller disconnected while it was at ${text(fields, "upstream")}`],
]);

function describeRefused(fields: Fields): string {
    const execution = fields["outcome"] === "notRun" ? "it has not run" : "whether it ran is not known";
    const retry = fields["retryAfterMs"] === undefined
        ? ""
        : `; the caller may return after ${text(fields, "retryAfterMs")} ms`;
    return `refused with ${text(fields, "status")} ${text(fields, "kind")} (${execution}): ${
        text(fields, "detail")
    }${retry}`;
}

function describeServed(fields: Fields): string {
    const unwritten = fields["isWritten"] === false ? "; its connection closed before an answer was written out" : "";
    return `ended as "${text(fields, "result")}" after ${text(fields, "tookMs")} ms; route ${text(fields, "route")}`
        + unwritten;
}

function describeMetQueue(fields: Fields): string {
    return `${text(fields, "upstream")} answered after ${text(fields, "tookMs")} ms: ${
        text(fields, "waiting")
    } requests wait there`
        + ` beside ${text(fields, "running")} that run; ${text(fields, "expectedWaiting")} were expected to wait`;
}

function describeAnswerEnd(fields: Fields): string {
    const judgement = fields["isComplete"] === true ? "counts as complete" : "counts as incomplete";
    const unfinished = `${text(fields, "unfinishedBytes")} bytes of an unfinished event`;
    return `the answer of ${text(fields, "upstream")} (${text(fields, "framing")}) ended with its connection ${
        text(fields, "connection")
    } and ${unfinished}: it ${judgement}`;
}

function describeSignal(fields: Fields): string {
    const subject = `${text(fields, "upstream")} (told to ${text(fields, "source")})`;
    switch (fields["signal"]) {
        case "rateLimit":
            return fields["change"] === "ended"
                ? `${subject} no longer states a rate limit`
                : `${subject} takes ${text(fields, "requestsPerSecond")} requests a second from all instances together`;
        case "leaving":
            return `${subject} leaves and gets no further request`;
        default:
            return `${subject} wants no request for ${text(fields, "delayMs")} ms`;
    }
}

const sentences: Readonly<Partial<Record<LogEventName, (fields: Fields) => string>>> = {
    requestSent: describeSent,
    sendEnded: fields => outcomes.get(fields["outcome"])?.(fields) ?? `a send ended: ${text(fields, "outcome")}`,
    answerEndJudged: describeAnswerEnd,
    queueMet: describeMetQueue,
    requestRepeated: fields => `may be sent again: ${text(fields, "reason")}`,
    requestRefused: describeRefused,
    streamCut: fields => `its stream was aborted so that it does not appear complete: ${text(fields, "detail")}`,
    requestServed: describeServed,
    foreignAnswer: fields =>
        `${text(fields, "upstream")} sent a response to request ${text(fields, "answeredId")}; discarded`,
    upstreamChanged: fields =>
        `${text(fields, "upstream")} at ${text(fields, "address")}: ${text(fields, "change")}`
        + (fields["isDraining"] === true ? ", it is draining" : ""),
    upstreamSignalChanged: describeSignal,
    orderSent: fields => `${text(fields, "engine")} was ordered to load weights version ${text(fields, "version")}`,
    orderFailed: fields => `the order to ${text(fields, "engine")} failed: ${text(fields, "answer")}`,
    loadEnded: fields => `loading of weights at ${text(fields, "engine")} ended: ${text(fields, "end")}`,
    processPaused: fields => `the instance's process was paused for ${text(fields, "pausedMs")} ms`,
    configurationInForce: fields => `configuration version ${text(fields, "version")} came into force`,
    weightsNamed: fields => `weights version ${text(fields, "version")} of ${text(fields, "model")} became the target`,
};

/**
 * Describes a line.
 *
 * @param line - The line.
 * @returns The sentence; for an event without a specific sentence, its message and fields.
 * @example
 * describeLogLine(line); // "refused with 503 overloaded (it has not run): no upstream had free capacity"
 */
export function describeLogLine(line: LogLine): string {
    const name = names.get(line.code);
    const describe = name === undefined ? undefined : sentences[name];
    const omitted = line.fields["leftOut"] === undefined
        ? ""
        : ` [${text(line.fields, "leftOut")} earlier lines of this event were omitted]`;
    return `${describe?.(line.fields) ?? `${line.message} ${JSON.stringify(line.fields)}`}${omitted}`;
}
