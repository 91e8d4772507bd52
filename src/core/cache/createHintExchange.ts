/**
 * @module
 * Tells the instances that serve the same customers what this instance has sent where, in bounded bytes.
 */
import { encodeHints, hintCharacters, type SharedHint, upstreamCharacters } from "./_lib/hintCodec.js";

/** Options of {@link createHintExchange}. */
export interface HintExchangeOptions {
    /** Largest payload for one peer, in bytes. */
    readonly maxBytes: number;
    /** Peers that are kept in mind at the most. */
    readonly maxPeers: number;
}

/** Own sends that peers have not been told yet. */
export interface HintExchange {
    /** Notes blocks that an upstream is about to hold, for each of the peers. */
    readonly enqueue: (peers: readonly string[], hint: PlacedBlocks) => void;
    /** Peers for whom there is a payload. */
    readonly listPeers: () => readonly string[];
    /** The payload for a peer, at most `maxBytes` bytes; its hints are not told again. */
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
    /** Block hashes with one of these bits set are left out; more of them the more there is to tell. */
    leftOutMask: bigint;
}

interface UnsentHint {
    readonly upstream: string;
    readonly incarnation: string;
    readonly block: bigint;
    readonly atMs: number;
}

/** Largest payload that instances accept from each other, in bytes. */
export const maxHintPayloadBytes = 1 << 14;

/** Upstreams of one payload at the most. */
const maxUpstreams = 16;

/**
 * Creates an exchange that has nothing to tell. When there is more to tell than fits, every second block hash is left
 * out, then three in four and so on: a chain hash vouches for the blocks before it.
 *
 * @param options - Bounds of bytes and peers.
 * @returns The exchange.
 * @example
 * const exchange = createHintExchange({ maxBytes: 1024, maxPeers: 16 });
 * exchange.note(["entry-2"], { upstream: "engine-1", incarnation: "a/1", blocks, atMs: clock.now() });
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
