/**
 * @module
 * Issues permits for the upstreams that this instance owns: one token bucket for each upstream serves the whole fleet.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import { createTokenBucket, type TokenBucket } from "./createTokenBucket.js";
import { maxPermitsAtOnce, type PermitAmount, type PermitGrantItem } from "./permitMessage.js";
import { askLifetimeMs, permitTermMs } from "./permitTimes.js";

/** Issues permits. */
export interface PermitIssuer {
    /** Grants permits now or within the lifetime of the ask; asks for upstreams of other owners are ignored. */
    readonly receiveAsk: (from: string, sequence: number, items: readonly PermitAmount[]) => void;
    /** Takes back permits that were not used. */
    readonly receiveReturn: (from: string, items: readonly PermitAmount[]) => void;
    /** Forgets upstreams that are gone. */
    readonly removeUnknown: (isKnown: (upstream: string) => boolean) => void;
    /** Forgets everything, after a pause of the process. */
    readonly clear: () => void;
}

/** Dependencies of {@link createPermitIssuer}. */
export interface PermitIssuerDependencies {
    readonly clock: Clock;
    /** Time until this instance may issue permits of an upstream; undefined when another one owns it. */
    readonly findHoldOffMs: (upstream: string) => number | undefined;
    /** Time for which nobody else has issued permits of an upstream that this instance owns, in milliseconds. */
    readonly holdOffMs: () => number;
    /** Requests per second that an upstream takes; undefined when it is not limited. */
    readonly findRate: (upstream: string) => number | undefined;
    readonly sendGrant: (to: string, sequence: number, items: readonly PermitGrantItem[]) => void;
    /** Receives the number of permits that were granted. */
    readonly onGranted: (permits: number) => void;
}

interface PendingAsk {
    readonly sequence: number;
    readonly permits: number;
    readonly untilMs: number;
}

/** A permit that may still be used. */
interface GrantedPermit {
    readonly to: string;
    readonly untilMs: number;
}

interface UpstreamState {
    readonly bucket: TokenBucket;
    /** The oldest ask first. */
    readonly pending: Map<string, PendingAsk>;
    granted: readonly GrantedPermit[];
    /** When each instance asked last. */
    readonly askedMs: Map<string, number>;
    cancelTimer: CancelTimer | undefined;
}

/** Time since its last ask for which an instance counts as one of those that share the permits, in milliseconds. */
const askerMemoryMs = 1_500;

/**
 * Creates an issuer that has issued nothing.
 *
 * @param deps - The clock, the limits and the way to the other instances.
 * @returns The issuer.
 * @example
 * createPermitIssuer(deps).receiveAsk("entry-2", 1, [{ upstream: "engine-1", permits: 1 }]);
 */
export function createPermitIssuer(deps: PermitIssuerDependencies): PermitIssuer {
    const { clock } = deps;
    const states = new Map<string, UpstreamState>();

    function stateOf(upstream: string): UpstreamState {
        const known = states.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const state: UpstreamState = {
            bucket: createTokenBucket(clock.now() - deps.holdOffMs()),
            pending: new Map(),
            granted: [],
            askedMs: new Map(),
            cancelTimer: undefined,
        };
        states.set(upstream, state);
        return state;
    }

    function drop(upstream: string): void {
        states.get(upstream)?.cancelTimer?.();
        states.delete(upstream);
    }

    /** The rate at which this instance issues permits; undefined when it may not. */
    function findIssuedRate(upstream: string): number | undefined {
        if (deps.findHoldOffMs(upstream) === 0) {
            return deps.findRate(upstream);
        }
        drop(upstream);
        return undefined;
    }

    /** Tells an instance that asks how long this one must wait until it issues permits. */
    function answerEarly(from: string, sequence: number, upstream: string): void {
        const holdOffMs = deps.findHoldOffMs(upstream);
        if (holdOffMs !== undefined && holdOffMs > 0) {
            deps.sendGrant(from, sequence, [{ upstream, permits: 0, waitMs: Math.ceil(holdOffMs), askers: 1 }]);
        }
    }

    function removeExpired(state: UpstreamState): void {
        const nowMs = clock.now();
        state.pending.forEach(({ untilMs }, from) => (untilMs <= nowMs ? state.pending.delete(from) : undefined));
        state.askedMs.forEach((atMs, from) => nowMs - atMs > askerMemoryMs ? state.askedMs.delete(from) : undefined);
        state.granted = state.granted.filter(one => one.untilMs > nowMs);
    }

    function describeGrant(upstream: string, state: UpstreamState, permits: number, ahead: number): PermitGrantItem {
        const rate = deps.findRate(upstream) ?? Infinity;
        const waitMs = Math.ceil(state.bucket.waitMs(ahead + 1, rate));
        return { upstream, permits, waitMs, askers: Math.max(1, state.askedMs.size) };
    }

    /** Grants the oldest asks first; what is left beyond one for each goes to those that want more. */
    function grantPending(upstream: string, state: UpstreamState): void {
        while (state.bucket.countWhole() >= 1) {
            const next = state.pending.entries().next().value;
            if (next === undefined) {
                return;
            }
            const [from, { sequence, permits }] = next;
            const share = Math.max(1, Math.floor(state.bucket.countWhole() / state.pending.size));
            const count = Math.min(permits, share, maxPermitsAtOnce);
            state.pending.delete(from);
            state.bucket.take(count);
            const untilMs = clock.now() + permitTermMs;
            state.granted = [...state.granted, ...Array.from({ length: count }, () => ({ to: from, untilMs }))];
            deps.onGranted(count);
            deps.sendGrant(from, sequence, [describeGrant(upstream, state, count, state.pending.size)]);
        }
    }

    function serve(upstream: string): void {
        const rate = findIssuedRate(upstream);
        const state = states.get(upstream);
        if (rate === undefined || state === undefined) {
            return;
        }
        state.cancelTimer?.();
        state.cancelTimer = undefined;
        removeExpired(state);
        state.bucket.refill(rate, clock.now());
        grantPending(upstream, state);
        if (state.pending.size > 0) {
            state.cancelTimer = clock.after(Math.ceil(state.bucket.waitMs(1, rate)), () => serve(upstream));
        }
    }

    function receiveItem(from: string, sequence: number, { upstream, permits }: PermitAmount): void {
        if (findIssuedRate(upstream) === undefined || permits === 0) {
            answerEarly(from, sequence, upstream);
            return;
        }
        const state = stateOf(upstream);
        const nowMs = clock.now();
        state.askedMs.set(from, nowMs);
        state.pending.set(from, { sequence, permits, untilMs: nowMs + askLifetimeMs });
        serve(upstream);
        if (state.pending.has(from)) {
            answerPending(from, sequence, upstream, state);
        }
    }

    /** Tells an instance how long it must wait; an ask that would end before its turn is not kept. */
    function answerPending(from: string, sequence: number, upstream: string, state: UpstreamState): void {
        const ahead = [...state.pending.keys()].indexOf(from);
        const answer = describeGrant(upstream, state, 0, ahead);
        if (answer.waitMs > askLifetimeMs) {
            state.pending.delete(from);
        }
        deps.sendGrant(from, sequence, [answer]);
    }

    function returnItem(from: string, { upstream, permits }: PermitAmount): void {
        const state = states.get(upstream);
        const rate = findIssuedRate(upstream);
        if (state === undefined || rate === undefined) {
            return;
        }
        removeExpired(state);
        const returned = state.granted.filter(one => one.to === from).slice(0, permits);
        state.granted = state.granted.filter(one => !returned.includes(one));
        state.bucket.refill(rate, clock.now());
        state.bucket.putBack(returned.length, rate);
        serve(upstream);
    }

    return {
        receiveAsk: (from, sequence, items) => items.forEach(item => receiveItem(from, sequence, item)),
        receiveReturn: (from, items) => items.forEach(item => returnItem(from, item)),
        removeUnknown: isKnown => [...states.keys()].filter(upstream => !isKnown(upstream)).forEach(drop),
        clear: () => [...states.keys()].forEach(drop),
    };
}
