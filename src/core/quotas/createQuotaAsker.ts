/**
 * @module
 * Asks the owners of a customer's quota for what its requests count as. A request asks one owner after the other; it waits for a short
 * time when none can grant it yet.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import { maxQuotaItems, type QuotaAnswerItem, type QuotaAskItem, type QuotaReturnItem } from "./quotaMessage.js";
import { askAvoidMs, askTimeoutMs, hintLifetimeMs } from "./quotaTimes.js";

/** Times until which a request may wait, in milliseconds on the instance's clock. */
export interface QuotaWaitLimits {
    /** While its customer's quota is used up. */
    readonly spentMs: number;
    /** While no owner can grant or refuse it, for example after a restart of all instances. */
    readonly unreadyMs: number;
}

/** What a request is asked for. */
export interface QuotaAsk {
    readonly customer: string;
    readonly cost: number;
    readonly pool: number;
    /** The only owner that is asked; undefined for any. */
    readonly owner?: string;
    readonly waitUntil: QuotaWaitLimits;
}

/** An amount that an owner has granted. */
export interface QuotaGrant {
    readonly customer: string;
    readonly cost: number;
    readonly owner: string;
    readonly epoch: number;
    /** The owner's name for the grant; undefined when it knows of no quota. */
    readonly mark: number | undefined;
    /** Grants of several owners of which this one consists. */
    readonly parts?: readonly QuotaGrant[];
}

/** Result of an ask. */
export type QuotaAskResult =
    | { readonly kind: "granted"; readonly grant: QuotaGrant; }
    /** `isSpent`: an owner has stated that the quota is used up; else no owner could grant or refuse it. */
    | {
        readonly kind: "refused";
        readonly isSpent: boolean;
        readonly retryAfterMs: number;
        readonly owners: readonly string[];
    };

/** Asks owners. */
export interface QuotaAsker {
    /** Asks; returns a function that gives the ask up. */
    readonly ask: (ask: QuotaAsk, onResult: (result: QuotaAskResult) => void) => CancelTimer;
    readonly receiveAnswer: (from: string, epoch: number, items: readonly QuotaAnswerItem[]) => void;
    /** Returns a grant whose request has not run. */
    readonly giveBack: (grant: QuotaGrant) => void;
    readonly countOpen: () => number;
}

/** Dependencies of {@link createQuotaAsker}. */
export interface QuotaAskerDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly findOwners: (pool: number) => readonly string[];
    readonly sendAsk: (owner: string, items: readonly QuotaAskItem[]) => void;
    readonly sendReturn: (owner: string, epoch: number, items: readonly QuotaReturnItem[]) => void;
}

/** An ask that was sent, or whose answer is late. */
interface SentAsk {
    readonly owner: string;
    readonly customer: string;
    readonly cost: number;
    /** Undefined once the answer is not waited for any more. */
    onAnswer: ((item: QuotaAnswerItem, epoch: number) => void) | undefined;
    readonly cancelExpiry: CancelTimer;
}

/** An owner's last refusal of a customer. */
interface OwnerHint {
    readonly cost: number;
    readonly atMs: number;
    readonly waitMs: number;
}

/** Time for which the answer to an ask that counts as lost is recognized, in milliseconds. */
const lateAnswerMs = 10_000;

/** Returns of all instances differ in their ids. */
const maxReturnId = 2 ** 48;

/** Shortest time between two rounds of asks for a request, in milliseconds. */
const minRoundMs = 25;

/** Time between two rounds while no owner can grant or refuse a request, in milliseconds. */
const unreadyRoundMs = 100;

/** Wait that callers are told when no owner could grant or refuse a request, in milliseconds. */
const unreadyRetryMs = 500;

/**
 * Creates an asker.
 *
 * @param deps - The clock and the way to the owners.
 * @returns The asker.
 * @example
 * createQuotaAsker(deps).ask({ customer: "clinic", cost: 900, pool: 3, waitUntil }, result => resume(result));
 */
export function createQuotaAsker(deps: QuotaAskerDependencies): QuotaAsker {
    const { clock } = deps;
    const sent = new Map<number, SentAsk>();
    const avoidedUntilMs = new Map<string, number>();
    const hints = new Map<string, OwnerHint>();
    /** Asks that are sent together, by owner. */
    const unsent = new Map<string, QuotaAskItem[]>();
    let lastId = 0;
    let open = 0;

    const isAvoided = (owner: string) => (avoidedUntilMs.get(owner) ?? 0) > clock.now();

    /** The refusal of an owner that still holds for a cost. */
    function findHint(owner: string, { customer, cost }: QuotaAsk): OwnerHint | undefined {
        const hint = hints.get(`${owner} ${customer}`);
        const nowMs = clock.now();
        const isValid = hint !== undefined && cost >= hint.cost
            && nowMs < hint.atMs + Math.min(hint.waitMs, hintLifetimeMs);
        return isValid ? hint : undefined;
    }

    function keepHint(key: string, hint: OwnerHint): void {
        hints.set(key, hint);
        clock.after(hintLifetimeMs, () => {
            if (hints.get(key) === hint) {
                hints.delete(key);
            }
        });
    }

    function flush(): void {
        const asks = [...unsent];
        unsent.clear();
        for (const [owner, items] of asks) {
            for (let first = 0; first < items.length; first += maxQuotaItems) {
                deps.sendAsk(owner, items.slice(first, first + maxQuotaItems));
            }
        }
    }

    function askOwner(
        owner: string,
        { customer, cost }: QuotaAsk,
        isRepeated: boolean,
        onAnswer: SentAsk["onAnswer"],
    ): SentAsk {
        lastId += 1;
        const id = lastId;
        const cancelExpiry = clock.after(lateAnswerMs, () => sent.delete(id));
        const one: SentAsk = { owner, customer, cost, onAnswer, cancelExpiry };
        sent.set(id, one);
        if (unsent.size === 0) {
            clock.after(0, flush);
        }
        const items = unsent.get(owner) ?? [];
        items.push(isRepeated ? { id, customer, cost, isRepeated } : { id, customer, cost });
        unsent.set(owner, items);
        return one;
    }

    /** Orders the owners of a request: at random, those that did not answer lately last. */
    function listOwners(pool: number): readonly string[] {
        const owners = deps.findOwners(pool);
        const first = Math.floor(deps.random() * owners.length);
        const turned = [...owners.slice(first), ...owners.slice(0, first)];
        return [...turned.filter(owner => !isAvoided(owner)), ...turned.filter(isAvoided)];
    }

    function ask(request: QuotaAsk, onResult: (result: QuotaAskResult) => void): CancelTimer {
        let waitedFor: SentAsk | undefined;
        let cancelTimer: CancelTimer = () => undefined;
        let tried: readonly string[] = [];
        const refusing = new Set<string>();
        open += 1;

        function end(): void {
            open -= 1;
            cancelTimer();
            if (waitedFor !== undefined) {
                waitedFor.onAnswer = undefined;
            }
        }

        function refuse(isSpent: boolean, retryAfterMs: number): void {
            end();
            onResult({ kind: "refused", isSpent, retryAfterMs, owners: tried });
        }

        /** Ends a round in which no owner has granted the request. */
        function endRound(spentMs: readonly number[]): void {
            const nowMs = clock.now();
            const leastMs = spentMs.length === 0 ? unreadyRoundMs : Math.max(minRoundMs, Math.min(...spentMs));
            const isSpent = spentMs.length > 0;
            const { waitUntil } = request;
            if (nowMs + leastMs <= (isSpent ? waitUntil.spentMs : waitUntil.unreadyMs)) {
                cancelTimer = clock.after(leastMs, beginRound);
                return;
            }
            refuse(isSpent, isSpent ? leastMs : unreadyRetryMs);
        }

        function askNext(owners: readonly string[], spentMs: readonly number[]): void {
            const [owner, ...rest] = owners;
            if (owner === undefined) {
                endRound(spentMs);
                return;
            }
            const hint = findHint(owner, request);
            if (hint !== undefined) {
                askNext(rest, [...spentMs, hint.atMs + hint.waitMs - clock.now()]);
                return;
            }
            tried = [...tried.filter(name => name !== owner), owner];
            const one = askOwner(owner, request, refusing.has(owner), (item, epoch) => {
                cancelTimer();
                waitedFor = undefined;
                avoidedUntilMs.delete(owner);
                if (item.state === "granted") {
                    end();
                    const { customer, cost } = request;
                    onResult({ kind: "granted", grant: { customer, cost, owner, epoch, mark: item.mark } });
                    return;
                }
                if (item.state === "spent") {
                    refusing.add(owner);
                }
                askNext(rest, item.state === "spent" ? [...spentMs, item.waitMs] : spentMs);
            });
            waitedFor = one;
            cancelTimer = clock.after(askTimeoutMs, () => {
                one.onAnswer = undefined;
                waitedFor = undefined;
                avoidedUntilMs.set(owner, clock.now() + askAvoidMs);
                askNext(rest, spentMs);
            });
        }

        function beginRound(): void {
            askNext(request.owner === undefined ? listOwners(request.pool) : [request.owner], []);
        }
        beginRound();
        return end;
    }

    function giveBack({ customer, cost, owner, epoch, mark, parts = [] }: QuotaGrant): void {
        parts.forEach(giveBack);
        if (mark !== undefined) {
            deps.sendReturn(owner, epoch, [{ customer, cost, mark, id: Math.floor(deps.random() * maxReturnId) }]);
        }
    }

    return {
        ask,
        receiveAnswer: (from, epoch, items) => {
            for (const item of items) {
                const one = sent.get(item.id);
                if (one?.owner !== from) {
                    continue;
                }
                sent.delete(item.id);
                one.cancelExpiry();
                if (item.state === "spent") {
                    const { customer, cost } = one;
                    keepHint(`${from} ${customer}`, { cost, atMs: clock.now(), waitMs: item.waitMs });
                }
                if (one.onAnswer !== undefined) {
                    one.onAnswer(item, epoch);
                }
                else if (item.state === "granted") {
                    giveBack({ ...one, epoch, mark: item.mark });
                }
            }
        },
        giveBack,
        countOpen: () => open,
    };
}
