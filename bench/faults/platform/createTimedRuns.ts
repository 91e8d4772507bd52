/**
 * @module
 * Runs of one upstream. A request waits until a slot is free, a few more at most, and an engine's run begins with its first
 * event. What has not begun is dropped when its connection closes, but not by engines that keep closed runs.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { answerEndless } from "./answerEndless.js";
import { readSharedClock } from "./readSharedClock.js";
import type { RunRecord } from "./stopTypes.js";

/** Bounds of a time that is drawn for each run, in milliseconds. */
export interface DrawnTime {
    readonly minMs: number;
    readonly maxMs: number;
}

/** What the upstream is at the moment. */
export interface UpstreamState {
    readonly id: string;
    /** Version of the weights; 0 if the upstream is no engine. */
    readonly version: number;
    /** Whether it answers requests for runs with 503. */
    readonly rejectsRuns: boolean;
    /** Share of the runs that it breaks off midway. */
    readonly brokenShare: number;
    /** Time from the begin of work to the first event of a stream. */
    readonly firstEvent: DrawnTime;
    /** Whether it answers requests for runs without end. */
    readonly isEndless: boolean;
}

/** Options of {@link createTimedRuns}. */
export interface TimedRunsOptions {
    readonly isEngine: boolean;
    /** Whether it works on a request to its end although its connection has closed. */
    readonly keepsClosedRuns: boolean;
    /** Requests that it works on at once. */
    readonly slots: number;
    readonly random: () => number;
    readonly readState: () => UpstreamState;
    /** Acts as soon as the upstream does not stand still. */
    readonly whenAwake: (act: () => void) => void;
    readonly isStill: () => boolean;
}

/** The runs of an upstream. */
export interface TimedRuns {
    /** Requests that were taken, in order; rejected ones are left out. */
    readonly listRecords: () => readonly RunRecord[];
    readonly take: (req: IncomingMessage, res: ServerResponse, bodyBytes: number) => void;
    /** Rejects what has not begun. */
    readonly rejectWaiting: () => void;
    /** Breaks off a share of the requests that it has. */
    readonly breakOff: (share: number) => void;
    readonly countWaiting: () => number;
    readonly countWorking: () => number;
}

interface Run {
    readonly record: RunRecord;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly bodyBytes: number;
}

/** Header with the time that a run takes, in milliseconds. */
export const workHeader = "x-work-ms";

/** Header with the size of a plain answer, in bytes; it may be left out. */
export const answerBytesHeader = "x-answer-bytes";

/** Interval of the events of a stream, in milliseconds. */
export const eventIntervalMs = 50;

/** Requests that wait for a slot at most. */
const maxWaiting = 8;

/** Prepares the runs of an upstream that has none yet. */
export function createTimedRuns(options: TimedRunsOptions): TimedRuns {
    const { isEngine, keepsClosedRuns, slots, random, readState, whenAwake } = options;
    const records = new Set<RunRecord>();
    const present = new Set<Run>();
    const working = new Set<Run>();
    const waiting = new Set<Run>();

    function reject(run: Run, status: number): void {
        const { req, res, record } = run;
        records.delete(record);
        present.delete(run);
        leave(run);
        const attempt = req.headers["attempt-id"] ?? "";
        res.writeHead(status, {
            "instance-id": readState().id,
            "attempt-id": attempt,
            "not-executed": "1",
            "content-length": "0",
        });
        res.end();
    }

    function breakRunOff(run: Run): void {
        const { record, res } = run;
        record.isBrokenOff ||= !res.writableFinished && !res.destroyed;
        if (res.destroyed) {
            end(run);
        }
        res.destroy();
    }

    /** Frees the slot of a run, or its place among those that wait. */
    function leave(run: Run): void {
        waiting.delete(run);
        if (working.delete(run)) {
            whenAwake(admitWaiting);
        }
    }

    function admitWaiting(): void {
        for (const run of waiting) {
            if (working.size >= slots) {
                return;
            }
            waiting.delete(run);
            work(run);
        }
    }

    function recordBegin({ record }: Run): void {
        record.version = readState().version;
        record.beganMs = readSharedClock();
    }

    function end(run: Run): void {
        if (present.delete(run)) {
            run.record.endMs = readSharedClock();
            leave(run);
        }
    }

    function describeHead({ record }: Run): Record<string, string> {
        return {
            "attempt-id": record.attempt,
            "server-seal": `seal-${record.upstream}`,
            "instance-id": record.upstream,
        };
    }

    function stream(run: Run, workMs: number): void {
        const { req, res } = run;
        const events = Math.max(1, Math.round(workMs / eventIntervalMs));
        let sent = Math.min(Number(req.headers["last-event-id"] ?? 0), events - 1);
        const sendEvent = () => {
            sent += 1;
            if (!res.destroyed) {
                res.write(`id: ${sent}\ndata: word ${sent} of ${events}\n\n`);
            }
            if (sent === events) {
                clearInterval(timer);
                res.end();
                if (res.destroyed) {
                    end(run);
                }
            }
        };
        const timer = setInterval(() => {
            if (!present.has(run)) {
                clearInterval(timer);
            }
            else if (!options.isStill()) {
                sendEvent();
            }
        }, eventIntervalMs);
        recordBegin(run);
        const versions = { "weight-versions": String(run.record.version) };
        if (!res.destroyed) {
            res.writeHead(200, { ...describeHead(run), "content-type": "text/event-stream", ...versions });
        }
        sendEvent();
    }

    function workWithoutEnd(run: Run): void {
        const { record, req } = run;
        recordBegin(run);
        record.isEndless = true;
        const form = answerEndless(req, { random, mayBeginComplete: !isEngine });
        if (form.isRejection) {
            records.delete(record);
        }
    }

    function work(run: Run): void {
        const { req, res, bodyBytes } = run;
        working.add(run);
        if (readState().isEndless) {
            workWithoutEnd(run);
            return;
        }
        const workMs = Number(req.headers[workHeader] ?? 0);
        const { brokenShare, firstEvent } = readState();
        if (random() < brokenShare) {
            setTimeout(() => breakRunOff(run), workMs / 2);
        }
        if (isEngine) {
            const { minMs, maxMs } = firstEvent;
            const begin = () => {
                if (present.has(run)) {
                    stream(run, workMs);
                }
            };
            setTimeout(() => whenAwake(begin), minMs + random() * (maxMs - minMs));
            return;
        }
        recordBegin(run);
        const timer = setTimeout(() => {
            res.writeHead(200, describeHead(run));
            res.end(`${run.record.attempt} ${bodyBytes}`.padEnd(Number(req.headers[answerBytesHeader] ?? 0)));
        }, workMs);
        res.on("close", () => clearTimeout(timer));
    }

    function admit(run: Run): void {
        if (!present.has(run)) {
            return;
        }
        const { headers } = run.req;
        const { id, version, rejectsRuns } = readState();
        const expectedVersion = headers["expect-version"];
        const isOther = headers["expect-instance"] !== id
            || (expectedVersion !== undefined && Number(expectedVersion) !== version);
        if (isOther || rejectsRuns || (working.size >= slots && waiting.size >= maxWaiting)) {
            reject(run, isOther ? 421 : 503);
            return;
        }
        if (working.size < slots) {
            work(run);
            return;
        }
        waiting.add(run);
    }

    function take(req: IncomingMessage, res: ServerResponse, bodyBytes: number): void {
        const record: RunRecord = {
            attempt: String(req.headers["attempt-id"]),
            upstream: readState().id,
            version: 0,
            arrivedMs: readSharedClock(),
            beganMs: undefined,
            endMs: undefined,
            isComplete: false,
            isBrokenOff: false,
            isEndless: false,
        };
        const run = { record, req, res, bodyBytes };
        records.add(record);
        present.add(run);
        res.on("close", () => {
            record.isComplete = res.writableFinished;
            if (!keepsClosedRuns || record.isComplete || record.isBrokenOff) {
                end(run);
            }
        });
        whenAwake(() => admit(run));
    }

    return {
        listRecords: () => [...records],
        take,
        rejectWaiting: () => {
            waiting.clear();
            [...present].filter(run => isEngine && run.record.beganMs === undefined).forEach(run => reject(run, 503));
        },
        breakOff: share => [...present].filter(() => random() < share).forEach(breakRunOff),
        countWaiting: () => waiting.size,
        countWorking: () => working.size,
    };
}
