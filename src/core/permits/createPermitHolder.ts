/**
 * @module
 * The permits that this instance holds for limited upstreams, and what it asks their owners for.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { maxPermitItems, maxPermitsAtOnce, type PermitAmount, type PermitGrantItem } from "./permitMessage.js";
import { askLifetimeMs, askTimeoutMs, permitTermMs } from "./permitTimes.js";

/** Result of an attempt to take a permit. */
export type TakeResult =
    | "taken"
    /** There was none; its owner has been asked. */
    | "asked"
    /** There is none, and nothing new was asked. */
    | "unavailable";

/** Permits of this instance. */
export interface PermitHolder {
    /** Takes a permit for one send, or asks for one if `mayAsk`. */
    readonly take: (upstream: string, mayAsk: boolean) => TakeResult;
    /** Time until this instance gets a further permit after `ahead` others; undefined when nothing is known. */
    readonly predictWaitMs: (upstream: string, ahead: number) => number | undefined;
    /** Permits per second that this instance gets while it goes on asking; undefined when nothing is known. */
    readonly findShare: (upstream: string) => number | undefined;
    readonly receiveGrant: (from: string, sequence: number, items: readonly PermitGrantItem[]) => void;
    /** Forgets the permits of one upstream, whose limit is lower now. */
    readonly drop: (upstream: string) => void;
    /** Forgets upstreams that are gone. */
    readonly removeUnknown: (isKnown: (upstream: string) => boolean) => void;
    /** Forgets everything, after a pause of the process. */
    readonly clear: () => void;
}

/** Dependencies of {@link createPermitHolder}. */
export interface PermitHolderDependencies {
    readonly clock: Clock;
    /** Name of this instance. */
    readonly self: string;
    /** The instance that issues permits of an upstream. */
    readonly findOwner: (upstream: string) => string | undefined;
    readonly findRate: (upstream: string) => number | undefined;
    /** Upstreams that other instances may be asked for in a second. */
    readonly maxAsksPerSecond: () => number;
    readonly sendAsk: (owner: string, sequence: number, items: readonly PermitAmount[]) => void;
    readonly sendReturn: (owner: string, items: readonly PermitAmount[]) => void;
    /** Called when requests that wait may find a permit, or may ask again. */
    readonly onChange: () => void;
}

interface HeldPermit {
    readonly owner: string;
    readonly untilMs: number;
}

interface OpenAsk {
    readonly sequence: number;
    readonly owner: string;
    readonly sentMs: number;
    readonly untilMs: number;
}

/** What the owner said last. */
interface OwnerHint {
    readonly atMs: number;
    readonly waitMs: number;
    readonly askers: number;
}

interface UpstreamState {
    permits: readonly HeldPermit[];
    ask: OpenAsk | undefined;
    hint: OwnerHint | undefined;
    /** When requests wanted a permit, within the last second. */
    wantedMs: readonly number[];
}

/** Demand for which permits are asked in advance, in milliseconds. */
const lookAheadMs = 250;

/** Time before the end of its term at which an unused permit is returned, in milliseconds. */
const returnBeforeEndMs = 150;

/** Interval at which open asks and unused permits are checked while there are any, in milliseconds. */
const checkIntervalMs = 50;

/** Age at which the last word of an owner is not used any more, in milliseconds. */
const hintLifetimeMs = 2_000;

/**
 * Creates a holder without permits.
 *
 * @param deps - The clock and the way to the owners.
 * @returns The holder.
 * @example
 * createPermitHolder(deps).take("engine-1", true); // "asked"
 */
export function createPermitHolder(deps: PermitHolderDependencies): PermitHolder {
    const { clock } = deps;
    const states = new Map<string, UpstreamState>();
    /** Asks that are sent together, by owner. */
    const unsent = new Map<string, PermitAmount[]>();
    let sequence = 0;
    let askBudget = 0;
    let budgetMs = -Infinity;
    let cancelCheck: CancelTimer | undefined;
    let isNotifying = false;

    function stateOf(upstream: string): UpstreamState {
        const known = states.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const state: UpstreamState = { permits: [], ask: undefined, hint: undefined, wantedMs: [] };
        states.set(upstream, state);
        return state;
    }

    function notifySoon(): void {
        if (!isNotifying) {
            isNotifying = true;
            clock.after(0, () => {
                isNotifying = false;
                deps.onChange();
            });
        }
    }

    function returnUnused(): void {
        const returns = new Map<string, PermitAmount[]>();
        for (const [upstream, state] of states) {
            const isEnding = (one: HeldPermit) => one.untilMs - clock.now() <= returnBeforeEndMs;
            const ending = state.permits.filter(isEnding).filter(one => one.untilMs > clock.now());
            state.permits = state.permits.filter(one => !isEnding(one));
            for (const owner of new Set(ending.map(one => one.owner))) {
                const permits = Math.min(maxPermitsAtOnce, ending.filter(one => one.owner === owner).length);
                returns.set(owner, [...returns.get(owner) ?? [], { upstream, permits }]);
            }
        }
        returns.forEach((items, owner) => deps.sendReturn(owner, items.slice(0, maxPermitItems)));
    }

    /** Ends asks whose time is over. */
    function endAsks(): void {
        for (const state of states.values()) {
            if (state.ask !== undefined && state.ask.untilMs <= clock.now()) {
                state.ask = undefined;
                notifySoon();
            }
        }
    }

    function check(): void {
        cancelCheck = undefined;
        returnUnused();
        endAsks();
        scheduleCheck();
    }

    function scheduleCheck(): void {
        if ([...states.values()].some(state => state.ask !== undefined || state.permits.length > 0)) {
            cancelCheck ??= clock.after(checkIntervalMs, check);
        }
    }

    /** Returns false when no further upstream may be asked for now. */
    function spendAskBudget(): boolean {
        const nowMs = clock.now();
        const perSecond = deps.maxAsksPerSecond();
        askBudget = Math.min(perSecond, askBudget + perSecond * (nowMs - budgetMs) / millisecondsPerSecond);
        budgetMs = nowMs;
        if (askBudget < 1) {
            return false;
        }
        askBudget -= 1;
        return true;
    }

    function countWanted({ wantedMs }: UpstreamState): number {
        const wanted = Math.ceil(wantedMs.length * lookAheadMs / millisecondsPerSecond);
        return Math.min(maxPermitsAtOnce, Math.max(1, wanted));
    }

    function send(owner: string, items: readonly PermitAmount[]): void {
        sequence += 1;
        const sentMs = clock.now();
        for (const { upstream } of items) {
            stateOf(upstream).ask = { sequence, owner, sentMs, untilMs: sentMs + askTimeoutMs };
        }
        deps.sendAsk(owner, sequence, items.slice(0, maxPermitItems));
    }

    function flush(): void {
        const asks = [...unsent];
        unsent.clear();
        asks.forEach(([owner, items]) => send(owner, items));
        scheduleCheck();
    }

    /** Returns whether the owner has been asked now. */
    function ask(upstream: string, state: UpstreamState): boolean {
        const owner = deps.findOwner(upstream);
        if (state.ask !== undefined || owner === undefined) {
            return false;
        }
        const amount = { upstream, permits: countWanted(state) };
        if (owner === deps.self) {
            send(owner, [amount]);
            scheduleCheck();
            return true;
        }
        if (!spendAskBudget()) {
            return false;
        }
        if (unsent.size === 0) {
            clock.after(0, flush);
        }
        const nowMs = clock.now();
        state.ask = { sequence: -1, owner, sentMs: nowMs, untilMs: nowMs + askTimeoutMs };
        unsent.set(owner, [...unsent.get(owner) ?? [], amount]);
        return true;
    }

    function takeHeld(state: UpstreamState): boolean {
        const nowMs = clock.now();
        const [next, ...rest] = state.permits.filter(one => one.untilMs > nowMs);
        state.permits = rest;
        return next !== undefined;
    }

    function recordWanted(state: UpstreamState): void {
        const nowMs = clock.now();
        state.wantedMs = [...state.wantedMs.filter(atMs => nowMs - atMs < millisecondsPerSecond), nowMs];
    }

    function take(upstream: string, mayAsk: boolean): TakeResult {
        const state = stateOf(upstream);
        if (takeHeld(state)) {
            recordWanted(state);
            if (state.permits.length < countWanted(state) - 1) {
                ask(upstream, state);
            }
            return "taken";
        }
        if (!mayAsk || !ask(upstream, state)) {
            return "unavailable";
        }
        recordWanted(state);
        // The owner of the upstream may be this instance.
        return takeHeld(state) ? "taken" : "asked";
    }

    function receiveItem(from: string, answered: number, item: PermitGrantItem): void {
        const state = states.get(item.upstream);
        const { ask: open } = state ?? {};
        if (state === undefined || open === undefined || open.owner !== from || open.sequence !== answered) {
            return;
        }
        const nowMs = clock.now();
        const untilMs = open.sentMs + permitTermMs;
        state.hint = { atMs: nowMs, waitMs: item.waitMs, askers: item.askers };
        if (item.permits === 0) {
            // The owner keeps an ask that it can grant within its lifetime, and its grant needs time to arrive; else the next ask is
            // due when that is so.
            const isKept = item.waitMs <= askLifetimeMs;
            const againMs = Math.max(askTimeoutMs, Math.min(askLifetimeMs, item.waitMs - askLifetimeMs));
            state.ask = { ...open, untilMs: open.sentMs + (isKept ? askLifetimeMs + askTimeoutMs : againMs) };
        }
        else {
            state.ask = undefined;
            const permits = Array.from({ length: item.permits }, (): HeldPermit => ({ owner: from, untilMs }));
            state.permits = [...state.permits, ...permits];
        }
        notifySoon();
    }

    function findHint(upstream: string): OwnerHint | undefined {
        const hint = states.get(upstream)?.hint;
        return hint !== undefined && clock.now() - hint.atMs < hintLifetimeMs ? hint : undefined;
    }

    function findShare(upstream: string): number | undefined {
        const hint = findHint(upstream);
        const rate = deps.findRate(upstream);
        return hint === undefined || rate === undefined ? undefined : rate / hint.askers;
    }

    return {
        take,
        predictWaitMs: (upstream, ahead) => {
            const hint = findHint(upstream);
            const share = findShare(upstream);
            return hint === undefined || share === undefined
                ? undefined
                : Math.max(0, hint.atMs + hint.waitMs - clock.now()) + ahead * millisecondsPerSecond / share;
        },
        findShare,
        receiveGrant: (from, answered, items) => {
            items.forEach(item => receiveItem(from, answered, item));
            scheduleCheck();
        },
        drop: upstream => {
            states.delete(upstream);
        },
        removeUnknown: isKnown =>
            [...states.keys()].filter(upstream => !isKnown(upstream)).forEach(upstream => states.delete(upstream)),
        clear: () => states.clear(),
    };
}
