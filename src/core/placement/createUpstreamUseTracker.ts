/**
 * @module
 * Tracks the use of upstreams: exact for this instance's own requests, as last reported for those of its peers.
 */
import type { UnreportedUse, UpstreamUse } from "./placementTypes.js";

/** What tells requests in progress apart, such as the request itself: a caller may use an id for two at once. */
export type RequestKey = object | string;

/** A request of this instance at an upstream. */
export interface PlacedRequest {
    readonly upstream: string;
    /** Memory for the parts that no other request shares, in tokens. */
    readonly ownTokens: number;
    /** Identity of the shared prompt. */
    readonly sharedKey: string;
    /** Memory for the shared prompt, in tokens; counted once for all requests that share it. */
    readonly sharedTokens: number;
    /** Prompt tokens that the upstream has to prefill. */
    readonly unreadTokens: number;
}

/** Use of one upstream, as reported to peers. */
export interface ReportedUse extends UpstreamUse {
    readonly upstream: string;
}

/** Called when a request of this instance begins and ends. */
export interface OwnRequestObserver {
    readonly onBegin: (placed: PlacedRequest) => void;
    /** `beganMs`: when it began; undefined when no answer to it began. */
    readonly onEnd: (upstream: string, beganMs: number | undefined) => void;
}

/** Tracker of the use of upstreams. */
export interface UpstreamUseTracker {
    readonly begin: (key: RequestKey, placed: PlacedRequest, nowMs: number) => void;
    /** Records that the answer has begun: the prompt has been prefilled. */
    readonly recordAnswerStart: (key: RequestKey) => void;
    readonly end: (key: RequestKey) => void;
    /** Use by this instance and its peers. */
    readonly read: (upstream: string) => UpstreamUse;
    /** Number of this instance's own requests. */
    readonly countOwn: (upstream: string) => number;
    /**
     * Estimates what peers have placed since their last report. The estimate assumes that each peer has placed as much
     * as this instance.
     */
    readonly estimateUnreported: (upstream: string, nowMs: number) => UnreportedUse;
    /** Whether a request of this instance uses a shared prompt on an upstream. */
    readonly holdsShared: (upstream: string, sharedKey: string) => boolean;
    /** Lists this instance's own use, as reported to its peers. */
    readonly listOwn: () => readonly ReportedUse[];
    /** Replaces the previous report of a peer. */
    readonly updatePeer: (peer: string, uses: readonly ReportedUse[]) => void;
    readonly removePeer: (peer: string) => void;
}

/** Delay until peers have received the report of a placed request: a heartbeat interval and the network latency. */
const reportLagMs = 350;

interface RecentRequest {
    readonly atMs: number;
    readonly ownTokens: number;
    readonly unreadTokens: number;
}

interface OwnState {
    /** Requests placed within the report lag, the oldest first. */
    recent: readonly RecentRequest[];
    requests: number;
    ownTokens: number;
    unreadTokens: number;
    /** Number of requests and tokens by shared prompt. */
    readonly shared: Map<string, { count: number; tokens: number; }>;
}

const noUse: UpstreamUse = { requests: 0, memoryTokens: 0, unreadTokens: 0 };

function addUse(left: UpstreamUse, right: UpstreamUse): UpstreamUse {
    return {
        requests: left.requests + right.requests,
        memoryTokens: left.memoryTokens + right.memoryTokens,
        unreadTokens: left.unreadTokens + right.unreadTokens,
    };
}

function sumOwn(state: OwnState): UpstreamUse {
    let memoryTokens = state.ownTokens;
    for (const part of state.shared.values()) {
        memoryTokens += part.tokens;
    }
    return { requests: state.requests, memoryTokens, unreadTokens: state.unreadTokens };
}

/**
 * Creates a tracker without requests.
 *
 * @param observer - Observes this instance's requests.
 * @returns The tracker.
 * @example
 * const use = createUpstreamUseTracker();
 * use.begin("r-1", { upstream: "e-1", ownTokens: 9, sharedKey: "k", sharedTokens: 60, unreadTokens: 9 }, clock.now());
 * use.read("e-1").memoryTokens; // 69
 */
export function createUpstreamUseTracker(observer?: OwnRequestObserver): UpstreamUseTracker {
    const requests = new Map<RequestKey, PlacedRequest & { readonly beganMs: number; isPrefilled: boolean; }>();
    const own = new Map<string, OwnState>();
    const peers = new Map<string, ReadonlyMap<string, UpstreamUse>>();

    function stateOf(upstream: string): OwnState {
        const known = own.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const state: OwnState = { recent: [], requests: 0, ownTokens: 0, unreadTokens: 0, shared: new Map() };
        own.set(upstream, state);
        return state;
    }

    function begin(key: RequestKey, placed: PlacedRequest, nowMs: number): void {
        requests.set(key, { ...placed, beganMs: nowMs, isPrefilled: false });
        observer?.onBegin(placed);
        const state = stateOf(placed.upstream);
        state.recent = [...listRecent(state, nowMs), {
            atMs: nowMs,
            ownTokens: placed.ownTokens,
            unreadTokens: placed.unreadTokens,
        }];
        state.requests += 1;
        state.ownTokens += placed.ownTokens;
        state.unreadTokens += placed.unreadTokens;
        const shared = state.shared.get(placed.sharedKey) ?? { count: 0, tokens: placed.sharedTokens };
        shared.count += 1;
        state.shared.set(placed.sharedKey, shared);
    }

    const listRecent = (state: OwnState, nowMs: number) => state.recent.filter(one => nowMs - one.atMs < reportLagMs);

    function estimateUnreported(upstream: string, nowMs: number): UnreportedUse {
        const state = own.get(upstream);
        const recent = state === undefined ? [] : listRecent(state, nowMs);
        return {
            memoryTokens: peers.size * recent.reduce((sum, one) => sum + one.ownTokens, 0),
            unreadTokens: peers.size * recent.reduce((sum, one) => sum + one.unreadTokens, 0),
        };
    }

    function recordAnswerStart(key: RequestKey): void {
        const placed = requests.get(key);
        if (placed !== undefined && !placed.isPrefilled) {
            placed.isPrefilled = true;
            stateOf(placed.upstream).unreadTokens -= placed.unreadTokens;
        }
    }

    function releaseShared(state: OwnState, sharedKey: string): void {
        const shared = state.shared.get(sharedKey);
        if (shared !== undefined) {
            shared.count -= 1;
            if (shared.count === 0) {
                state.shared.delete(sharedKey);
            }
        }
    }

    function end(key: RequestKey): void {
        const placed = requests.get(key);
        if (placed === undefined) {
            return;
        }
        observer?.onEnd(placed.upstream, placed.isPrefilled ? placed.beganMs : undefined);
        recordAnswerStart(key);
        requests.delete(key);
        const state = stateOf(placed.upstream);
        state.requests -= 1;
        state.ownTokens -= placed.ownTokens;
        releaseShared(state, placed.sharedKey);
        if (state.requests === 0) {
            own.delete(placed.upstream);
        }
    }

    function read(upstream: string): UpstreamUse {
        const state = own.get(upstream);
        let sum = state === undefined ? noUse : sumOwn(state);
        for (const reported of peers.values()) {
            const use = reported.get(upstream);
            sum = use === undefined ? sum : addUse(sum, use);
        }
        return sum;
    }

    return {
        begin,
        recordAnswerStart,
        end,
        read,
        countOwn: upstream => own.get(upstream)?.requests ?? 0,
        estimateUnreported,
        holdsShared: (upstream, sharedKey) => own.get(upstream)?.shared.has(sharedKey) ?? false,
        listOwn: () => [...own].map(([upstream, state]) => ({ upstream, ...sumOwn(state) })),
        updatePeer: (peer, uses) => {
            peers.set(peer, new Map(uses.map(use => [use.upstream, use])));
        },
        removePeer: peer => {
            peers.delete(peer);
        },
    };
}
