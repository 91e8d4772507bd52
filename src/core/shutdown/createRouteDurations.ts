/**
 * @module
 * How long the requests of each route took on this instance, and how long a further one may take. The time to the first
 * byte of an answer and the time per output token are kept apart, since prompts of one route ask for answers of very
 * different lengths.
 */

/** Measures one request. Times are milliseconds on the instance's clock. */
export interface RequestTiming {
    /** Records that the answer has begun. */
    readonly start: (nowMs: number) => void;
    /** Records that the request has ended; one that did not end completely is not counted. */
    readonly end: (nowMs: number, isComplete: boolean) => void;
}

/** Durations by route. */
export interface RouteDurations {
    /** Records that a request was received completely. `outputTokens`: 0 when its length is not known. */
    readonly begin: (route: string, outputTokens: number, nowMs: number) => RequestTiming;
    /** Milliseconds that a request of the route may take; undefined when none has ended. */
    readonly predictMs: (route: string, outputTokens: number, nowMs: number) => number | undefined;
}

interface Sample {
    /** Milliseconds until the answer began. */
    readonly waitMs: number;
    /** Milliseconds from then to its end, for each output token. */
    readonly perTokenMs: number;
}

interface RouteHistory {
    /** The last samples, in no order. */
    readonly samples: Sample[];
    next: number;
    /** Times at which the requests in progress began. */
    readonly active: Set<{ readonly sinceMs: number; }>;
}

/** Number of requests of a route that are remembered. */
const maxSamples = 64;

/** Number of routes that are remembered. */
const maxRoutes = 2_000;

/** Factor by which a request may take longer than any that is remembered. */
const safetyFactor = 1.5;

/** Time by which a request may take longer in addition, in milliseconds. */
const safetyMs = 250;

function addSample(history: RouteHistory, sample: Sample): void {
    history.samples[history.next] = sample;
    history.next = (history.next + 1) % maxSamples;
}

/**
 * Creates durations of no requests.
 *
 * @returns The durations.
 * @example
 * const timing = durations.begin("letters", 80, clock.now());
 * timing.start(clock.now());
 * timing.end(clock.now(), true);
 * durations.predictMs("letters", 160, clock.now()); // undefined before the first request has ended
 */
export function createRouteDurations(): RouteDurations {
    const histories = new Map<string, RouteHistory>();

    function findHistory(route: string): RouteHistory {
        const known = histories.get(route);
        if (known !== undefined) {
            return known;
        }
        const oldest = histories.keys().next().value;
        if (oldest !== undefined && histories.size >= maxRoutes) {
            histories.delete(oldest);
        }
        const history: RouteHistory = { samples: [], next: 0, active: new Set() };
        histories.set(route, history);
        return history;
    }

    return {
        begin: (route, outputTokens, nowMs) => {
            const history = findHistory(route);
            const request = { sinceMs: nowMs };
            history.active.add(request);
            let startedMs: number | undefined;
            return {
                start: atMs => {
                    startedMs ??= atMs;
                },
                end: (atMs, isComplete) => {
                    history.active.delete(request);
                    if (isComplete && startedMs !== undefined) {
                        const perTokenMs = (atMs - startedMs) / Math.max(1, outputTokens);
                        addSample(history, { waitMs: startedMs - nowMs, perTokenMs });
                    }
                },
            };
        },
        predictMs: (route, outputTokens, nowMs) => {
            const history = histories.get(route);
            if (history === undefined || history.samples.length === 0) {
                return undefined;
            }
            const waitMs = Math.max(0, ...history.samples.map(sample => sample.waitMs));
            const perTokenMs = Math.max(0, ...history.samples.map(sample => sample.perTokenMs));
            const longestActiveMs = Math.max(0, ...[...history.active].map(request => nowMs - request.sinceMs));
            const longestMs = Math.max(longestActiveMs, waitMs + perTokenMs * Math.max(1, outputTokens));
            return longestMs * safetyFactor + safetyMs;
        },
    };
}
