/**
 * @module
 * Relays the newest statements about the load of upstreams with heartbeats, in a bounded number of bytes: mostly the newest
 * ones, which few instances have yet, and some of the others in turn.
 */
import { hashText } from "../_lib/hashText.js";
import { entryBytes, idBits } from "./_lib/loadFormat.js";
import type { UpstreamLoads } from "./createUpstreamLoads.js";
import { decodeLoads } from "./decodeLoads.js";
import { encodeLoads, maxRelayedAgeMs } from "./encodeLoads.js";
import type { LoadStatement } from "./loadTypes.js";

/** An upstream's process. */
export interface RelayedUpstream {
    readonly id: string;
    /** Start of its process in Unix milliseconds. */
    readonly startedAtMs: number;
}

/** Exchange of statements. Times are milliseconds on the instance's clock. */
export interface LoadExchange {
    /** Describes statements for a heartbeat, in at most `maxBytes` characters. */
    readonly describe: (maxBytes: number, nowMs: number) => string;
    /** Applies what a heartbeat relays. */
    readonly receive: (text: string, nowMs: number) => void;
}

/** Dependencies of {@link createLoadExchange}. */
export interface LoadExchangeDependencies {
    readonly loads: Pick<UpstreamLoads, "listStatements" | "recordRelayed">;
    readonly listUpstreams: () => readonly RelayedUpstream[];
    /** Digest of that list. */
    readonly digestUpstreams: () => string;
}

/** Share of the entries that are sent in turn, whatever their age. */
const rotatingShare = 0.25;

/** Characters of base64 for each byte. */
const charactersPerByte = 4 / 3;

function deriveProcessId({ id, startedAtMs }: RelayedUpstream): number {
    return Number(BigInt.asUintN(idBits, hashText(`${id} ${startedAtMs}`)));
}

/**
 * Creates an exchange.
 *
 * @param deps - What is known, and the upstreams.
 * @returns The exchange.
 * @example
 * createLoadExchange(deps).describe(300, clock.now()); // "" while nothing is known
 */
export function createLoadExchange(deps: LoadExchangeDependencies): LoadExchange {
    const { loads } = deps;
    let digest: string | undefined;
    let byId: ReadonlyMap<number, string> = new Map();
    let ids: ReadonlyMap<string, number> = new Map();
    let cursor = 0;

    /** A statement about an earlier process of an upstream has another id. */
    function refreshIds(): void {
        if (deps.digestUpstreams() !== digest) {
            digest = deps.digestUpstreams();
            const listed = deps.listUpstreams().map(one => [one.id, deriveProcessId(one)] as const);
            byId = new Map(listed.map(([upstream, id]) => [id, upstream]));
            // Of upstreams with the same id all instances relay only one.
            ids = new Map(listed.filter(([upstream, id]) => byId.get(id) === upstream));
        }
    }

    function choose(statements: readonly LoadStatement[], count: number): readonly LoadStatement[] {
        if (statements.length <= count) {
            return statements;
        }
        const newestFirst = statements.toSorted((left, right) => right.atMs - left.atMs);
        const rotatingCount = Math.floor(count * rotatingShare);
        const newest = newestFirst.slice(0, count - rotatingCount);
        const chosen = new Set(newest);
        const others = statements.filter(one => !chosen.has(one));
        const start = cursor % Math.max(1, others.length);
        cursor = start + rotatingCount;
        return [...newest, ...[...others.slice(start), ...others.slice(0, start)].slice(0, rotatingCount)];
    }

    return {
        describe: (maxBytes, nowMs) => {
            refreshIds();
            const known = loads.listStatements().filter(one =>
                nowMs - one.atMs <= maxRelayedAgeMs && ids.has(one.upstream)
            );
            const count = Math.floor(maxBytes / charactersPerByte / entryBytes);
            return encodeLoads(choose(known, count), nowMs, upstream => ids.get(upstream) ?? 0);
        },
        receive: (text, nowMs) => {
            if (text !== "") {
                refreshIds();
                loads.recordRelayed(decodeLoads(text, nowMs, id => byId.get(id)));
            }
        },
    };
}
