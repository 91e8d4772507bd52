/**
 * @module
 * Work at upstreams: this instance's own requests, known exactly, and those of its peers, as last told.
 */
import type { UpstreamUse } from "./placementTypes.js";

/** A request of this instance at an upstream. */
export interface PlacedRequest {
    readonly upstream: string;
    /** Memory of the parts that no other request has, in tokens. */
    readonly ownTokens: number;
    /** Identity of the shared prompt, with the tokens that all requests which share it take once. */
    readonly sharedKey: string;
    readonly sharedTokens: number;
    readonly unreadTokens: number;
}

/** Use of one upstream, as it is told to peers. */
export interface ReportedUse extends UpstreamUse {
    readonly upstream: string;
}

/** The account of work. */
export interface UpstreamUseTracker {
    readonly begin: (requestId: string, placed: PlacedRequest, nowMs: number) => void;
    /** Notes that the answer has begun, so that the prompt has been read. */
    readonly recordAnswerStart: (requestId: string) => void;
    readonly end: (requestId: string) => void;
    /** Use by this instance and its peers. */
    readonly read: (upstream: string) => UpstreamUse;
    /** Memory that peers have probably taken since they told their use, in tokens: they place as this instance does. */
    readonly estimateUnreportedTokens: (upstream: string, nowMs: number) => number;
    /** Whether a request of this instance holds a shared prompt at an upstream. */
    readonly holdsShared: (upstream: string, sharedKey: string) => boolean;
    /** This instance's own use, for its peers. */
    readonly listOwn: () => readonly ReportedUse[];
    /** Replaces what a peer told before. */
    readonly updatePeer: (peer: string, uses: readonly ReportedUse[]) => void;
    readonly removePeer: (peer: string) => void;
}

/** Time in which peers hear of a placed request, in milliseconds: a heartbeat and the way. */
const newsLagMs = 350;

interface RecentRequest {
    readonly atMs: number;
    readonly ownTokens: number;
}

interface OwnState {
    /** Requests that were placed a short time ago, the oldest first. */
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
 * Creates an empty account.
 *
 * @returns The account.
 * @example
 * const use = createUpstreamUse();
 * use.begin("r-1", { upstream: "e-1", ownTokens: 9, sharedKey: "k", sharedTokens: 60, unreadTokens: 9 }, clock.now());
 */
export function createUpstreamUseTracker(): UpstreamUseTracker {
    const requests = new Map<string, PlacedRequest & { isRead: boolean; }>();
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

    function begin(requestId: string, placed: PlacedRequest, nowMs: number): void {
        requests.set(requestId, { ...placed, isRead: false });
        const state = stateOf(placed.upstream);
        state.recent = [...listRecent(state, nowMs), { atMs: nowMs, ownTokens: placed.ownTokens }];
        state.requests += 1;
        state.ownTokens += placed.ownTokens;
        state.unreadTokens += placed.unreadTokens;
        const shared = state.shared.get(placed.sharedKey) ?? { count: 0, tokens: placed.sharedTokens };
        shared.count += 1;
        state.shared.set(placed.sharedKey, shared);
    }

    const listRecent = (state: OwnState, nowMs: number) => state.recent.filter(one => nowMs - one.atMs < newsLagMs);

    function readUnseenTokens(upstream: string, nowMs: number): number {
        const state = own.get(upstream);
        const recent = state === undefined ? [] : listRecent(state, nowMs);
        return peers.size * recent.reduce((sum, one) => sum + one.ownTokens, 0);
    }

    function noteAnswer(requestId: string): void {
        const placed = requests.get(requestId);
        if (placed !== undefined && !placed.isRead) {
            placed.isRead = true;
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

    function end(requestId: string): void {
        const placed = requests.get(requestId);
        if (placed === undefined) {
            return;
        }
        noteAnswer(requestId);
        requests.delete(requestId);
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
        for (const told of peers.values()) {
            const use = told.get(upstream);
            sum = use === undefined ? sum : addUse(sum, use);
        }
        return sum;
    }

    return {
        begin,
        recordAnswerStart: noteAnswer,
        end,
        read,
        estimateUnreportedTokens: readUnseenTokens,
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
