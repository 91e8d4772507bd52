/**
 * @module
 * Joins the log lines of several instances into the time line of one request.
 */
import { type LogEventName, logEventTable } from "../logEvents/logEventTable.js";
import { describeLogLine } from "./describeLogLine.js";
import type { LogLine } from "./parseLogLine.js";

/** One entry of a time line. */
export interface TimeLineEntry {
    readonly timeMs: number;
    /** Time since the request's first line, in milliseconds. */
    readonly afterMs: number;
    readonly instance: string;
    readonly code: string;
    readonly sentence: string;
    /** Whether the line is about the request itself; otherwise it is about its upstreams or instances. */
    readonly isOwn: boolean;
}

/** Time before and after a request within which changes of its upstreams and instances are shown, in milliseconds. */
const contextMs = 1_000;

const codeOf = (name: LogEventName) => logEventTable[name].code;

/** Changes of an upstream. */
const upstreamCodes: ReadonlySet<string> = new Set(
    (["upstreamChanged", "orderSent", "orderFailed", "loadEnded"] as const).map(codeOf),
);

/** Changes of an instance and of its dependencies. */
const instanceCodes: ReadonlySet<string> = new Set(
    (["processPaused", "storeLost", "storeRegained", "configurationInForce", "weightsNamed"] as const).map(codeOf),
);

const isOwnLine = (line: LogLine, requestId: string) => line.fields["requestId"] === requestId;

/**
 * Returns whether a line may be part of the request's time line, so that a reader can skip the others.
 *
 * @param line - The line.
 * @param requestId - Id of the request.
 * @returns False for lines that are never part of it.
 * @example
 * isTimeLineCandidate(line, "9c41d07be2a35f68");
 */
export function isTimeLineCandidate(line: LogLine, requestId: string): boolean {
    return isOwnLine(line, requestId) || upstreamCodes.has(line.code) || instanceCodes.has(line.code);
}

function listUpstreams(lines: readonly LogLine[]): ReadonlySet<unknown> {
    return new Set(lines.map(line => line.fields["upstream"]).filter(upstream => upstream !== undefined));
}

/**
 * Explains a request.
 *
 * @param lines - Lines of all instances, in any order.
 * @param requestId - Id of the request.
 * @returns The time line; empty when no line names the request.
 * @example
 * explainRequest(lines, "9c41d07be2a35f68").map(entry => entry.sentence);
 */
export function explainRequest(lines: readonly LogLine[], requestId: string): readonly TimeLineEntry[] {
    const own = lines.filter(line => isOwnLine(line, requestId));
    if (own.length === 0) {
        return [];
    }
    const times = own.map(line => line.timeMs);
    const [firstMs, lastMs] = [Math.min(...times), Math.max(...times)];
    const upstreams = listUpstreams(own);
    const instances = new Set(own.map(line => line.instance));

    function isContext(line: LogLine): boolean {
        const isWithinContext = line.timeMs >= firstMs - contextMs && line.timeMs <= lastMs + contextMs;
        const upstream = line.fields["upstream"] ?? line.fields["engine"];
        const isOfUpstream = upstreamCodes.has(line.code) && upstreams.has(upstream);
        return isWithinContext && (isOfUpstream || (instanceCodes.has(line.code) && instances.has(line.instance)));
    }

    return [...own, ...lines.filter(line => !isOwnLine(line, requestId) && isContext(line))]
        .toSorted((left, right) => left.timeMs - right.timeMs)
        .map(line => ({
            timeMs: line.timeMs,
            afterMs: line.timeMs - firstMs,
            instance: line.instance,
            code: line.code,
            sentence: describeLogLine(line),
            isOwn: isOwnLine(line, requestId),
        }));
}
