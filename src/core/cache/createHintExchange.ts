/**
 * @module
 * Queues cache hints about this instance's own sends for the peers that serve the same customers, in bounded memory.
 */
import { encodeHints, hintCharacters, type SharedHint, upstreamCharacters } from "./_lib/hintCodec.js";

/** Options of {@link createHintExchange}. */
export interface HintExchangeOptions {
    /** Largest payload for one peer, in bytes. */
    readonly maxBytes: number;
    /** Maximum number of peers with queued hints. */
    readonly maxPeers: number;
}

/** Hints about own sends that were not yet sent to peers. */
export interface HintExchange {
    /** Queues hints on blocks that an upstream is about to cache, for each of the peers. */
    readonly enqueue: (peers: readonly string[], hint: PlacedBlocks) => void;
    /** Lists the peers that have queued hints. */
    readonly listPeers: () => readonly string[];
    /** Takes the payload for a peer, at most `maxBytes` bytes, and clears the queue of the peer. */
    readonly collect: (peer: string, nowMs: number) => string | undefined;
}

/** Blocks of one request that was sent. */
export interface PlacedBlocks {
    readonly upstream: string;
    readonly incarnation: string;
    readonly blocks: readonly bigint[];
    readonly atMs: number;
}

interface UnsentHints {
    readonly hints: Map<string, UnsentHint>;
    /** Block hashes with one of these bits set are left out; bits are added when the queue exceeds its limit. */
    leftOutMask: bigint;
}

interface UnsentHint {
    readonly upstream: string;
    readonly incarnation: string;
    readonly block: bigint;
    readonly atMs: number;
}

/** Maximum payload that instances accept from each other, in bytes. */
export const maxHintPayloadBytes = 1 << 14;

/** Maximum number of upstreams in one payload. */
const maxUpstreams = 16;

/**
 * Creates an exchange without queued hints. When more hints are queued than fit into a payload, every second block hash
 * is left out, then three in four and so on: a chain hash also identifies the blocks before it.
 *
 * @param options - Limits of bytes and peers.
 * @returns The exchange.
 * @example
 * const exchange = createHintExchange({ maxBytes: 1024, maxPeers: 16 });
 * exchange.enqueue(["entry-2"], { upstream: "engine-1", incarnation: "a/1", blocks, atMs: clock.now() });
 * exchange.collect("entry-2", clock.now());
 */
export function createHintExchange(options: HintExchangeOptions): HintExchange {
    const limit = Math.max(1, Math.floor((options.maxBytes - maxUpstreams * upstreamCharacters) / hintCharacters));
    const unsentByPeer = new Map<string, UnsentHints>();

    function findUnsent(peer: string): UnsentHints | undefined {
        let unsent = unsentByPeer.get(peer);
        if (unsent === undefined && unsentByPeer.size < options.maxPeers) {
            unsent = { hints: new Map(), leftOutMask: 0n };
            unsentByPeer.set(peer, unsent);
        }
        return unsent;
    }

    function discardHalf(unsent: UnsentHints): void {
        unsent.leftOutMask = (unsent.leftOutMask << 1n) | 1n;
        for (const [key, hint] of unsent.hints) {
            if ((hint.block & unsent.leftOutMask) !== 0n) {
                unsent.hints.delete(key);
            }
        }
    }

    function enqueueFor(peer: string, placed: PlacedBlocks): void {
        const unsent = findUnsent(peer);
        if (unsent === undefined) {
            return;
        }
        for (const block of placed.blocks) {
            if ((block & unsent.leftOutMask) === 0n) {
                const { upstream, incarnation, atMs } = placed;
                unsent.hints.set(`${upstream}/${block}`, { upstream, incarnation, block, atMs });
            }
        }
        while (unsent.hints.size > limit) {
            discardHalf(unsent);
        }
    }

    function collect(peer: string, nowMs: number): string | undefined {
        const unsent = unsentByPeer.get(peer);
        unsentByPeer.delete(peer);
        if (unsent === undefined || unsent.hints.size === 0) {
            return undefined;
        }
        const upstreams = new Set<string>();
        const hints: SharedHint[] = [];
        for (const { upstream, incarnation, block, atMs } of unsent.hints.values()) {
            if (upstreams.size < maxUpstreams || upstreams.has(upstream)) {
                upstreams.add(upstream);
                hints.push({ upstream, incarnation, block, ageMs: nowMs - atMs });
            }
        }
        return encodeHints(hints);
    }

    return {
        enqueue: (peers, placed) => peers.forEach(peer => enqueueFor(peer, placed)),
        listPeers: () => [...unsentByPeer.keys()],
        collect,
    };
}
