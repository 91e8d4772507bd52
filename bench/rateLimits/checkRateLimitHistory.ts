/**
 * @module
 * Checks a history against the users' rule on stated limits, and against what callers are promised.
 */
import { upstreamRequestsPerSecond } from "./createLimitedUpstreams.js";
import { type Arrival, type DeliveredHead, historyTimes, type RateLimitHistory } from "./rateLimitTypes.js";

/** Time without a disturbance after which an instance counts, and after a lower limit; set by the platform. */
const stableWindowMs = 3_000;

/** The rule: length of a window, how often the limit may be exceeded in it, and requests in addition. */
const windowMs = 4_000;
const excessFactor = 1.5;
const excessRequests = 5;

/** Time after the first statement to an instance from which its requests count; set by the users. */
const toldMs = 500;

/** Refused requests of which nine tenths are refused within this time, in milliseconds. */
const promptRefusalMs = 500;
const promptRefusalShare = 0.9;
const minCompared = 20;

/** Fraction of the requests that are served where two thirds of the upstreams are free; of a limit that is used. */
const minServedShare = 0.98;
const minUsedShare = 0.8;

/** Largest fraction of what an upstream can run at which its limit counts as tight. */
const tightShare = 0.5;

/** Time after a change in which requests and use are not compared, in milliseconds. */
const settlingMs = 3_000;

const millisecondsPerSecond = 1_000;

/** A limit as the answers told it, from a time on; undefined for none. */
interface ToldLimit {
    readonly fromMs: number;
    readonly requestsPerSecond: number | undefined;
}

/** Lists what the newest head that had arrived anywhere said, whenever that changed. */
function listTold(heads: readonly DeliveredHead[]): readonly ToldLimit[] {
    const told: ToldLimit[] = [];
    let newestMs = -Infinity;
    for (const { atMs, writtenMs, requestsPerSecond } of heads) {
        if (writtenMs >= newestMs) {
            newestMs = writtenMs;
            if (told.length === 0 || told.at(-1)!.requestsPerSecond !== requestsPerSecond) {
                told.push({ fromMs: atMs, requestsPerSecond });
            }
        }
    }
    return told;
}

/** Spans in which a limit was stated without a break. */
interface LimitedSpan {
    readonly fromMs: number;
    readonly toMs: number;
    readonly told: readonly ToldLimit[];
}

function listSpans(told: readonly ToldLimit[]): readonly LimitedSpan[] {
    const spans: LimitedSpan[] = [];
    let current: ToldLimit[] = [];
    const end: ToldLimit = { fromMs: historyTimes.endMs, requestsPerSecond: undefined };
    for (const one of [...told, end]) {
        if (one.requestsPerSecond !== undefined) {
            current.push(one);
        }
        else if (current.length > 0) {
            spans.push({ fromMs: current[0]!.fromMs, toMs: one.fromMs, told: current });
            current = [];
        }
    }
    return spans;
}

/** The highest limit that was told within the time for a lower one to take effect. */
function findEffective({ told }: LimitedSpan, atMs: number): number {
    const recent = told.filter((one, index) =>
        one.fromMs <= atMs && (told[index + 1]?.fromMs ?? Infinity) > atMs - stableWindowMs
    );
    return Math.max(...recent.map(one => one.requestsPerSecond ?? 0));
}

/** Sums what the limits allow in a window. */
function sumAllowed(span: LimitedSpan, fromMs: number): number {
    const changes = span.told.flatMap(one => [one.fromMs, one.fromMs + stableWindowMs]);
    const toMs = fromMs + windowMs;
    const bounds = [fromMs, ...changes.filter(atMs => atMs > fromMs && atMs < toMs), toMs].sort((a, b) => a - b);
    const sums = bounds.slice(1).map((atMs, index) =>
        (atMs - bounds[index]!) * findEffective(span, (atMs + bounds[index]!) / 2)
    );
    return sums.reduce((sum, one) => sum + one, 0) / millisecondsPerSecond;
}

function isCounted(history: RateLimitHistory, span: LimitedSpan, heads: readonly DeliveredHead[], arrival: Arrival) {
    const { instance, atMs } = arrival;
    const isExcused = history.disturbances.some(one =>
        one.instance === instance && one.fromMs <= atMs && atMs < one.toMs + stableWindowMs
    );
    return !isExcused && heads.some(head =>
        head.instance === instance && head.requestsPerSecond !== undefined
        && head.atMs >= span.fromMs && head.atMs <= atMs - toldMs
    );
}

function findExcess(history: RateLimitHistory, upstream: string): string | undefined {
    const heads = history.heads.filter(head => head.upstream === upstream);
    const arrivals = history.arrivals.filter(arrival => arrival.upstream === upstream);
    for (const span of listSpans(listTold(heads))) {
        const counted = arrivals.filter(one =>
            one.atMs >= span.fromMs + stableWindowMs && one.atMs < span.toMs && isCounted(history, span, heads, one)
        );
        for (const [index, { atMs }] of counted.entries()) {
            const count = counted.slice(index).findIndex(one => one.atMs > atMs + windowMs);
            const inWindow = count === -1 ? counted.length - index : count;
            const allowed = excessFactor * sumAllowed(span, atMs) + excessRequests;
            if (inWindow > allowed) {
                return `${upstream} got ${inWindow} requests in 4 s from ${Math.round(atMs)} ms, allowed ${
                    allowed.toFixed(1)
                }`;
            }
        }
    }
    return undefined;
}

/** Whether limits and the fleet stay as they are, so that use and service can be compared with the limits. */
function isSteady({ plan }: RateLimitHistory): boolean {
    return !plan.hasChanges && plan.restarts + plan.freezes + plan.cuts === 0 && plan.messageLoss === 0
        && plan.lateMessages === 0;
}

/** Sums the limits, as far as the upstreams could run so many requests. */
function sumLimits(history: RateLimitHistory, upstreams: readonly string[]): number {
    const limits = upstreams.map(id => history.phases.get(id)?.[0]?.requestsPerSecond ?? 0);
    return limits.reduce((sum, one) => sum + Math.min(one, upstreamRequestsPerSecond), 0);
}

/** Upstreams whose limit is far below what they could run. */
function listTight({ phases }: RateLimitHistory): readonly string[] {
    return [...phases.keys()].filter(id =>
        (phases.get(id)?.[0]?.requestsPerSecond ?? 0) <= upstreamRequestsPerSecond * tightShare
    );
}

/** Whether callers ask for more than what the limits of all upstreams allow. */
function isScarce(history: RateLimitHistory): boolean {
    const { limitedShare, load, upstreams, hasChanges } = history.plan;
    const demand = load * upstreams * upstreamRequestsPerSecond;
    return limitedShare === "all" && !hasChanges && demand >= 2 * sumLimits(history, [...history.phases.keys()]);
}

/** Fraction of what tight limits allow that was used, when callers ask for more and every upstream is limited. */
export function findUsedShare(history: RateLimitHistory): number | undefined {
    const tight = listTight(history);
    const total = sumLimits(history, tight);
    const fromMs = historyTimes.lastLimitMs + settlingMs;
    if (!isScarce(history) || !isSteady(history) || tight.length === 0) {
        return undefined;
    }
    const used = history.arrivals.filter(one => one.atMs >= fromMs && tight.includes(one.upstream)).length;
    return used / (total * (historyTimes.endMs - fromMs) / millisecondsPerSecond);
}

function findUnused(history: RateLimitHistory): string | undefined {
    const share = findUsedShare(history);
    return share !== undefined && share < minUsedShare
        ? `${share.toFixed(2)} of what the limits allow was used`
        : undefined;
}

function findUnserved(history: RateLimitHistory): string | undefined {
    const { plan, requests } = history;
    const fromMs = historyTimes.lastLimitMs + settlingMs;
    const ended = requests.filter(one => one.atMs > fromMs && one.result !== undefined);
    const served = ended.filter(one => one.result === "answered").length;
    const hasRoom = plan.limitedShare !== "all" && plan.upstreams > 2 && plan.load <= 0.3;
    return hasRoom && isSteady(history) && ended.length >= minCompared && served < ended.length * minServedShare
        ? `${served} of ${ended.length} requests were served beside free upstreams`
        : undefined;
}

function findLateRefusals(history: RateLimitHistory): string | undefined {
    const { requests } = history;
    const fromMs = historyTimes.lastLimitMs + settlingMs;
    const refused = requests.filter(one => one.atMs > fromMs && one.result === "refused");
    const prompt = refused.filter(one => (one.endedMs ?? Infinity) - one.atMs <= promptRefusalMs);
    // Where an upstream's slots bind and not its limit, how long a request will wait is not known before some have waited.
    const isTight = listTight(history).length === history.phases.size;
    return isTight && isScarce(history) && refused.length >= minCompared
            && prompt.length < refused.length * promptRefusalShare
        ? `${refused.length - prompt.length} of ${refused.length} refused requests were held over ${promptRefusalMs} ms`
        : undefined;
}

/** Lists the violations of a history. */
export function checkRateLimitHistory(history: RateLimitHistory): readonly string[] {
    return [
        ...[...history.phases.keys()].map(upstream => findExcess(history, upstream)),
        findUnused(history),
        findUnserved(history),
        findLateRefusals(history),
    ].filter(one => one !== undefined);
}
