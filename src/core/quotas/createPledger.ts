/**
 * @module
 * Pledges this instance's share of the quotas to their owners. A share is never pledged twice: what was pledged to an owner counts
 * until its term is over, also when the owner changes meanwhile.
 */
import { memoizeFor } from "../_lib/memoizeFor.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { chooseQuotaOwners } from "./chooseQuotaOwners.js";
import type { QuotaPledge, QuotaReceipt } from "./quotaMessage.js";
import { ownerSilenceMs, passOverMs, pledgeTermMs, renewIntervalMs } from "./quotaTimes.js";

/** Pledges of this instance. */
export interface Pledger {
    /** Owners of a pool as this instance sees them. */
    readonly findOwners: (pool: number) => readonly string[];
    readonly receiveReceipt: (from: string, receipt: QuotaReceipt) => void;
    /** Renews pledges when the instances that may own quotas have changed; called often. */
    readonly update: () => void;
    /** Largest number of instances that an owner has stated; undefined when none has. */
    readonly largestSize: () => number | undefined;
    readonly stop: () => void;
}

/** Dependencies of {@link createPledger}. */
export interface PledgerDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly self: string;
    /** Names of the instances that may own quotas. */
    readonly listCandidates: () => readonly string[];
    /** Pools that customers with a quota belong to. */
    readonly listPools: () => readonly number[];
    /** Whether what an earlier process of this instance has pledged is over, or hardly goes to other owners. */
    readonly mayPledge: () => boolean;
    readonly countInstances: () => number | undefined;
    readonly send: (owner: string, pledge: QuotaPledge) => void;
    readonly pledgeSelf: (weights: QuotaPledge["weights"]) => void;
    /** Receives an owner that does not answer pledges. */
    readonly onSilent: (owner: string) => void;
}

type Weights = ReadonlyMap<number, number>;

/** Candidates that are not passed over. */
interface AnsweringOwners {
    readonly names: readonly string[];
    readonly key: string;
}

interface SentPledge {
    readonly weights: Weights;
    readonly untilMs: number;
}

interface OwnerState {
    epoch: number | undefined;
    echoMs: number | undefined;
    size: number | undefined;
    /** First pledge since the newest receipt. */
    unansweredSinceMs: number | undefined;
    passedOverUntilMs: number;
    sent: readonly SentPledge[];
}

/** Lifetime of the list of candidates, in milliseconds. */
const candidatesLifetimeMs = 100;

/** Smallest part of a share that is worth a pledge. */
const minWeight = 0.01;

/** Weights are rounded down to such parts, which keeps messages short. */
const weightSteps = 1_000;

/** Renewals differ in time by up to this part of the interval, so that owners do not hear from all instances at once. */
const jitter = 0.2;

/**
 * Creates a pledger and starts its renewals.
 *
 * @param deps - The fleet and the way to the owners.
 * @returns The pledger.
 * @example
 * createPledger(deps).findOwners(3); // ["entry-1", "entry-4", "entry-2"]
 */
export function createPledger(deps: PledgerDependencies): Pledger {
    const { clock, self } = deps;
    const states = new Map<string, OwnerState>();
    let ownWeights: Weights = new Map();
    /** The candidates of whom `owners` were chosen. */
    let ownersOf = "";
    let owners = new Map<number, readonly string[]>();
    let cancelRenewal: CancelTimer = () => undefined;

    function stateOf(owner: string): OwnerState {
        const known = states.get(owner);
        if (known !== undefined) {
            return known;
        }
        const state: OwnerState = {
            epoch: undefined,
            echoMs: undefined,
            size: undefined,
            unansweredSinceMs: undefined,
            passedOverUntilMs: 0,
            sent: [],
        };
        states.set(owner, state);
        return state;
    }

    const findAnswering = memoizeFor(candidatesLifetimeMs, clock.now, (): AnsweringOwners => {
        const nowMs = clock.now();
        const isAnswering = (name: string) => (states.get(name)?.passedOverUntilMs ?? 0) <= nowMs;
        const names = deps.listCandidates().filter(isAnswering).toSorted();
        return { names, key: names.join(" ") };
    });

    function findOwners(pool: number): readonly string[] {
        const { names: candidates, key } = findAnswering();
        if (key !== ownersOf) {
            ownersOf = key;
            owners = new Map();
        }
        const known = owners.get(pool) ?? chooseQuotaOwners(pool, candidates);
        owners.set(pool, known);
        return known;
    }

    /** Part of this instance's share that an owner may grant now. */
    function findPledged(owner: string, pool: number): number {
        if (owner === self) {
            return ownWeights.get(pool) ?? 0;
        }
        const sent = states.get(owner)?.sent ?? [];
        return sent.filter(one => one.untilMs > clock.now())
            .reduce((largest, { weights }) => Math.max(largest, weights.get(pool) ?? 0), 0);
    }

    function findWeight(pool: number, owner: string, wanted: number): number {
        const others = [self, ...states.keys()].filter(name => name !== owner);
        const pledged = others.reduce((sum, name) => sum + findPledged(name, pool), 0);
        return Math.min(wanted, Math.max(0, 1 - pledged));
    }

    /** What each owner is to be pledged, this instance included. */
    function planPledges(): ReadonlyMap<string, Weights> {
        const plan = new Map<string, Map<number, number>>();
        for (const pool of deps.listPools()) {
            const ofPool = findOwners(pool);
            for (const owner of ofPool) {
                plan.set(owner, (plan.get(owner) ?? new Map<number, number>()).set(pool, 1 / ofPool.length));
            }
        }
        return plan;
    }

    function pledgeTo(owner: string, wanted: Weights): void {
        const nowMs = clock.now();
        const state = stateOf(owner);
        const entries = [...wanted].map(([pool, weight]) => [pool, findWeight(pool, owner, weight)] as const)
            .map(([pool, weight]) => [pool, Math.floor(weight * weightSteps) / weightSteps] as const)
            .filter(([, weight]) => weight >= minWeight);
        const { epoch, echoMs } = state;
        const valid = state.sent.filter(one => one.untilMs > nowMs);
        state.sent = epoch === undefined
            ? valid
            : [...valid, { weights: new Map(entries), untilMs: nowMs + pledgeTermMs }];
        state.unansweredSinceMs ??= nowMs;
        const weights = entries.map(([pool, weight]): [number, number] => [pool, weight]);
        deps.send(owner, { kind: "pledge", weights, epoch, echoMs, size: deps.countInstances() });
    }

    function pledgeOwn(wanted: Weights | undefined): void {
        const weights = [...wanted ?? []].map(([pool, weight]): [number, number] => [
            pool,
            findWeight(pool, self, weight),
        ]);
        ownWeights = new Map(weights);
        deps.pledgeSelf(weights);
    }

    /** Passes over owners that do not answer, and forgets those that are gone. */
    function judgeOwners(): void {
        const nowMs = clock.now();
        const candidates = new Set(deps.listCandidates());
        for (const [owner, state] of states) {
            const { unansweredSinceMs } = state;
            if (unansweredSinceMs !== undefined && nowMs - unansweredSinceMs >= ownerSilenceMs) {
                state.passedOverUntilMs = nowMs + passOverMs;
                state.unansweredSinceMs = undefined;
                deps.onSilent(owner);
            }
            if (!candidates.has(owner) && state.sent.every(one => one.untilMs <= nowMs)) {
                states.delete(owner);
            }
        }
    }

    function renew(): void {
        cancelRenewal();
        cancelRenewal = clock.after(renewIntervalMs * (1 + jitter * (deps.random() - 0.5)), renew);
        judgeOwners();
        if (!deps.mayPledge()) {
            return;
        }
        const plan = planPledges();
        pledgeOwn(plan.get(self));
        plan.forEach((wanted, owner) => {
            if (owner !== self) {
                pledgeTo(owner, wanted);
            }
        });
    }
    renew();
    let renewedKey = "";

    return {
        findOwners,
        receiveReceipt: (from, { epoch, atMs, size, isReleased }) => {
            const state = states.get(from);
            if (state === undefined) {
                return;
            }
            const isFirst = state.epoch !== epoch;
            state.epoch = epoch;
            // Receipts may overtake each other.
            state.echoMs = isFirst ? atMs : Math.max(state.echoMs ?? atMs, atMs);
            state.size = size;
            state.unansweredSinceMs = undefined;
            if (isReleased === true) {
                state.sent = [];
            }
            else if (isFirst && deps.mayPledge()) {
                const wanted = planPledges().get(from);
                if (wanted !== undefined) {
                    pledgeTo(from, wanted);
                }
            }
        },
        update: () => {
            const key = `${findAnswering().key} ${deps.listPools().join(" ")} ${deps.mayPledge()}`;
            if (key !== renewedKey) {
                renewedKey = key;
                renew();
            }
        },
        largestSize: () => {
            const sizes = [...states.values()].flatMap(({ size }) => (size === undefined ? [] : [size]));
            return sizes.length === 0 ? undefined : Math.max(...sizes);
        },
        stop: () => cancelRenewal(),
    };
}
