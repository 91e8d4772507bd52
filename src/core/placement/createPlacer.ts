/**
 * @module
 * Places requests at upstreams, and keeps those waiting that find no room yet.
 */
import { createRefusal } from "../errors/createRefusal.js";
import { deriveCacheSalt } from "../proxy/deriveCacheSalt.js";
import type { PlaceEffect, PlaceResult } from "../proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../proxy/proxyTypes.js";
import type { UpstreamRegistry } from "../registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { Service } from "../routes/routingTable.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import type { WeightsView } from "../weights/createWeightsView.js";
import { type CacheHolder, chooseCacheSource } from "./chooseCacheSource.js";
import { choosePlacement } from "./choosePlacement.js";
import type { HealthView } from "./createHealthView.js";
import { findSharedKey, type PartView } from "./createPartView.js";
import type { UpstreamUseAccount } from "./createUpstreamUse.js";
import { createWaitingLine, type WaitingLine } from "./createWaitingLine.js";
import type { PlacementCandidate, Prompt } from "./placementTypes.js";

/** What the placer reads. */
export interface PlacerDependencies {
    readonly clock: Clock;
    readonly failureDomain: string;
    readonly registry: UpstreamRegistry;
    readonly weights: WeightsView;
    readonly use: UpstreamUseAccount;
    readonly parts: PartView;
    readonly health: HealthView;
    readonly findService: (name: string) => Service | undefined;
    /** Milliseconds after which no request may begin on weights that are older than named. */
    readonly outdatedLimitMs: number;
    /** Stores of kept cache that answer. */
    readonly listStores: () => readonly ReachableStore[];
}

/** A store of kept cache. */
export interface ReachableStore {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
}

/** The placer. */
export interface Placer {
    /** Places a request now or later; `onResult` is called once. Returns the cancellation. */
    readonly place: (req: ProxyRequest, effect: PlaceEffect, onResult: (result: PlaceResult) => void) => CancelTimer;
    /** Notes that the placed request's answer has begun. */
    readonly noteAnswer: (req: ProxyRequest) => void;
    /** Notes that the placed request is no longer at its upstream. */
    readonly end: (req: ProxyRequest) => void;
    /** Places requests that wait, after anything has changed. */
    readonly advance: () => void;
    readonly countWaiting: () => number;
}

/** A holder of parts of one prompt. */
interface KnownHolder {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly heldTokens: number;
    readonly requests: number;
    readonly isStore: boolean;
}

/** Where the parts of one prompt are under one version of the weights. */
interface PromptView {
    readonly salt: string;
    readonly sharedKey: string;
    readonly holders: readonly KnownHolder[];
    /** Engine that all instances prefer while nobody keeps the prompt. */
    readonly home: string | undefined;
}

/** An upstream that may take a request, with the weights that it has. */
interface Choice {
    readonly record: UpstreamRecord;
    readonly weightsVersion: number | undefined;
    readonly isOutdated: boolean;
}

/** Part of the time of reading tokens that it takes to fetch them. */
const fetchShare = 0.2;

/** Part of a shared prompt's tokens by which its home is preferred while nobody holds it, so that instances agree. */
const homeShare = 0.1;

/** Fewest shared tokens that are worth sending to a store. */
const leastKeptTokens = 64;

/** Time before the deadline at which a waiting request is refused: an answer would come too late, in milliseconds. */
const leastServiceMs = 150;

/** Time left below which a request is not sent any more, in milliseconds. */
const leastSendMs = 20;

/** Part of the caller's time for which a request may wait for room: a later answer is still worth something to it. */
const waitShare = 0.35;

/** Time after which a refused caller may find room, in milliseconds. */
const retryAfterMs = 500;

function sumTokens(prompt: Prompt, from: number, to: number): number {
    return prompt.parts.slice(from, to).reduce((sum, part) => sum + part.tokens, 0);
}

/** Tokens of the parts that only few requests share: all but the first and the last part. */
function countSharedTokens(prompt: Prompt): number {
    return sumTokens(prompt, prompt.parts.length > 2 ? 1 : 0, -1);
}

function countOwnTokens(prompt: Prompt): number {
    return (prompt.parts.at(-1)?.tokens ?? prompt.promptTokens) + prompt.outputTokens;
}

/**
 * Creates a placer without waiting requests.
 *
 * @param deps - The views that it reads.
 * @returns The placer.
 * @example
 * placer.place(req, { kind: "place", excluded: [] }, result => resume(result));
 */
export function createPlacer(deps: PlacerDependencies): Placer {
    const lines = new Map<string, WaitingLine>();

    function lineOf(service: string): WaitingLine {
        const line = lines.get(service) ?? createWaitingLine();
        lines.set(service, line);
        return line;
    }

    function describeChoice(record: UpstreamRecord, prompt: Prompt | undefined): Choice | undefined {
        if (prompt === undefined) {
            return { record, weightsVersion: undefined, isOutdated: false };
        }
        const weightsVersion = deps.weights.versionAt(record, prompt.model);
        if (weightsVersion === undefined) {
            return undefined;
        }
        const named = deps.weights.findNamed(prompt.model);
        const isOutdated = named !== undefined && weightsVersion < named.version;
        const sinceMs = deps.weights.outdatedSinceMs(prompt.model, weightsVersion);
        const isPastLimit = sinceMs !== undefined && deps.clock.now() - sinceMs > deps.outdatedLimitMs;
        return isPastLimit ? undefined : { record, weightsVersion, isOutdated };
    }

    /** Upstreams in service; suspect ones only when there is no other. */
    function listChoices(req: ProxyRequest, excluded: readonly string[]): readonly Choice[] {
        const nowMs = deps.clock.now();
        const serving = deps.registry.listService(req.service).filter(record =>
            !record.isDraining && !excluded.includes(record.id) && !deps.weights.isLoading(record.id)
            && !deps.health.isReplaced(record.id)
        );
        const sound = serving.filter(record => !deps.health.isSuspect(record.id, nowMs));
        return (sound.length > 0 ? sound : serving)
            .map(record => describeChoice(record, req.prompt))
            .filter(choice => choice !== undefined);
    }

    function saltOf(req: ProxyRequest, prompt: Prompt, weightsVersion: number): string {
        const isolatedCustomer = req.customer?.isIsolated === true ? req.customer.name : undefined;
        return deriveCacheSalt({ model: prompt.model, weightsVersion, isolatedCustomer });
    }

    function describePlain(choice: Choice): PlacementCandidate {
        const { record } = choice;
        return {
            id: record.id,
            use: deps.use.read(record.id),
            slots: record.slots,
            memoryTokens: undefined,
            missingTokens: 0,
            neededTokens: 0,
            isOutdated: false,
            isNear: record.failureDomain === deps.failureDomain,
        };
    }

    /** Engines and stores that keep parts of a prompt under one version of the weights. */
    function describePrompt(req: ProxyRequest, prompt: Prompt, version: number, ids: readonly string[]): PromptView {
        const nowMs = deps.clock.now();
        const salt = saltOf(req, prompt, version);
        const describe = (id: string, address: string, failureDomain: string, isStore: boolean): KnownHolder => ({
            id,
            address,
            failureDomain,
            isStore,
            heldTokens: deps.parts.countHeld(prompt, salt, id, nowMs),
            requests: deps.use.read(id).requests,
        });
        const engines = deps.registry.listService(req.service)
            .filter(record => !deps.health.isReplaced(record.id) && !deps.health.isSuspect(record.id, nowMs))
            .map(record => describe(record.id, record.address, record.failureDomain, false));
        const stores = deps.listStores().map(store => describe(store.id, store.address, store.failureDomain, true));
        return {
            salt,
            sharedKey: findSharedKey(prompt, salt),
            holders: [...engines, ...stores].filter(holder => holder.heldTokens > 0),
            home: deps.parts.rankHome(prompt, salt, ids)[0],
        };
    }

    function findSource(view: PromptView, record: UpstreamRecord, ownTokens: number): CacheHolder | undefined {
        const others = view.holders.filter(holder => holder.id !== record.id)
            .map(holder => ({ ...holder, isNear: holder.failureDomain === record.failureDomain }));
        return chooseCacheSource(others, ownTokens);
    }

    /** Tokens that an engine keeps; it counts also while the engine is not fetched from. */
    function countOwnHeld(prompt: Prompt, view: PromptView, id: string): number {
        return deps.parts.countHeld(prompt, view.salt, id, deps.clock.now());
    }

    /** Prompt tokens that an engine would read; a token that it fetches counts for the time that this takes. */
    function countMissing(prompt: Prompt, view: PromptView, record: UpstreamRecord): number {
        const held = countOwnHeld(prompt, view, record.id);
        const source = findSource(view, record, held);
        if (source !== undefined) {
            return prompt.promptTokens - source.heldTokens + (source.heldTokens - held) * fetchShare;
        }
        const preferred = record.id === view.home ? sumTokens(prompt, 0, -1) * homeShare : 0;
        return prompt.promptTokens - Math.max(held, preferred);
    }

    function describeEngines(req: ProxyRequest, prompt: Prompt, choices: readonly Choice[]): PlacementCandidate[] {
        const engine = deps.findService(req.service)?.engine;
        const ids = choices.map(choice => choice.record.id);
        const views = new Map<number, PromptView>();
        return choices.map(choice => {
            const version = choice.weightsVersion ?? 0;
            const view = views.get(version) ?? describePrompt(req, prompt, version, ids);
            views.set(version, view);
            const isShared = deps.use.holdsShared(choice.record.id, view.sharedKey);
            return {
                ...describePlain(choice),
                slots: engine?.slots ?? choice.record.slots,
                memoryTokens: engine?.memoryTokens,
                missingTokens: countMissing(prompt, view, choice.record),
                neededTokens: countOwnTokens(prompt) + (isShared ? 0 : countSharedTokens(prompt)),
                isOutdated: choice.isOutdated,
            };
        });
    }

    /** A store that lacks shared parts of the prompt. */
    function findTarget(prompt: Prompt, salt: string): ReachableStore | undefined {
        const shared = sumTokens(prompt, 0, -1);
        if (shared < leastKeptTokens) {
            return undefined;
        }
        const nowMs = deps.clock.now();
        return deps.listStores().find(store => deps.parts.countHeld(prompt, salt, store.id, nowMs) < shared);
    }

    function toPlacement(req: ProxyRequest, choice: Choice): Placement {
        const { prompt } = req;
        const { record: upstream, weightsVersion } = choice;
        if (prompt === undefined || weightsVersion === undefined) {
            return {
                upstream,
                weightsVersion: undefined,
                cacheSalt: undefined,
                cacheSource: undefined,
                cacheTarget: undefined,
            };
        }
        const view = describePrompt(req, prompt, weightsVersion, [upstream.id]);
        const held = countOwnHeld(prompt, view, upstream.id);
        return {
            upstream,
            weightsVersion,
            cacheSalt: view.salt,
            cacheSource: findSource(view, upstream, held)?.address,
            cacheTarget: findTarget(prompt, view.salt)?.address,
        };
    }

    function noteBegin(req: ProxyRequest, candidate: PlacementCandidate, placement: Placement): void {
        const { prompt } = req;
        const salt = placement.cacheSalt;
        const upstream = candidate.id;
        if (prompt === undefined || salt === undefined) {
            const plain = { upstream, ownTokens: 0, sharedKey: "", sharedTokens: 0, unreadTokens: 0 };
            deps.use.begin(req.id, plain);
            return;
        }
        deps.use.begin(req.id, {
            upstream,
            ownTokens: countOwnTokens(prompt),
            sharedKey: findSharedKey(prompt, salt),
            sharedTokens: countSharedTokens(prompt),
            unreadTokens: candidate.missingTokens,
        });
        deps.parts.noteSent(prompt, salt, upstream, deps.clock.now());
    }

    /** Tries to place now. */
    function tryPlace(req: ProxyRequest, choices: readonly Choice[]): Placement | undefined {
        const candidates = req.prompt === undefined
            ? choices.map(describePlain)
            : describeEngines(req, req.prompt, choices);
        const chosen = choosePlacement(candidates);
        const choice = choices.find(one => one.record.id === chosen?.id);
        if (chosen === undefined || choice === undefined) {
            return undefined;
        }
        const placement = toPlacement(req, choice);
        noteBegin(req, chosen, placement);
        return placement;
    }

    function waitInLine(
        req: ProxyRequest,
        excluded: readonly string[],
        onResult: (result: PlaceResult) => void,
    ): CancelTimer {
        const line = lineOf(req.service);
        const nowMs = deps.clock.now();
        const limitMs = Math.min(req.deadlineMs - leastServiceMs, nowMs + (req.deadlineMs - req.arrivedMs) * waitShare);
        const cancelLimit = deps.clock.after(limitMs - nowMs, () => {
            line.leave(req.id);
            onResult({
                kind: "refused",
                refusal: createRefusal("overloaded", "no upstream had room", { retryAfterMs }),
            });
        });
        line.join({
            id: req.id,
            priority: req.priority,
            deadlineMs: req.deadlineMs,
            tryPlace: () => {
                const placement = tryPlace(req, listChoices(req, excluded));
                if (placement === undefined) {
                    return false;
                }
                cancelLimit();
                onResult({ kind: "placed", placement });
                return true;
            },
        });
        return () => {
            cancelLimit();
            line.leave(req.id);
        };
    }

    function place(req: ProxyRequest, effect: PlaceEffect, onResult: (result: PlaceResult) => void): CancelTimer {
        if (req.deadlineMs - deps.clock.now() < leastSendMs) {
            onResult({ kind: "refused", refusal: createRefusal("deadlineTooShort", "no time is left") });
            return () => undefined;
        }
        const choices = listChoices(req, effect.excluded);
        if (choices.length === 0) {
            onResult({
                kind: "refused",
                refusal: createRefusal("noUpstream", `service ${req.service}`, { retryAfterMs }),
            });
            return () => undefined;
        }
        const placement = tryPlace(req, choices);
        if (placement !== undefined) {
            onResult({ kind: "placed", placement });
            return () => undefined;
        }
        return waitInLine(req, effect.excluded, onResult);
    }

    const advance = () => lines.forEach(line => line.advance());
    return {
        place,
        noteAnswer: req => deps.use.noteAnswer(req.id),
        end: req => {
            deps.use.end(req.id);
            lines.get(req.service)?.advance();
        },
        advance,
        countWaiting: () => [...lines.values()].reduce((sum, line) => sum + line.size(), 0),
    };
}
