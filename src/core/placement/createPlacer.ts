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

/** An upstream that may take a request, with the weights that it has. */
interface Choice {
    readonly record: UpstreamRecord;
    readonly weightsVersion: number | undefined;
    readonly isOutdated: boolean;
}

/** Time before the deadline at which a waiting request is refused: an answer would come too late, in milliseconds. */
const leastServiceMs = 150;

/** Multiple of a route's target latency for which a request may wait for room. */
const waitTargets = 2;

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
 * placer.place(req, { kind: "place", excluded: [], isRepeat: false }, result => resume(result));
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
        const isPastLimit = isOutdated && deps.clock.now() - named.sinceMs > deps.outdatedLimitMs;
        return isPastLimit ? undefined : { record, weightsVersion, isOutdated };
    }

    /** Upstreams in service; suspect ones only when there is no other. */
    function listChoices(req: ProxyRequest, excluded: readonly string[]): readonly Choice[] {
        const nowMs = deps.clock.now();
        const serving = deps.registry.listService(req.service)
            .filter(record => !record.isDraining && !excluded.includes(record.id) && !deps.weights.isLoading(record.id));
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

    function describeEngines(req: ProxyRequest, prompt: Prompt, choices: readonly Choice[]): PlacementCandidate[] {
        const engine = deps.findService(req.service)?.engine;
        const ids = choices.map(choice => choice.record.id);
        const newest = Math.max(...choices.map(choice => choice.weightsVersion ?? 0));
        const salt = saltOf(req, prompt, newest);
        const missing = deps.parts.estimateMissing(prompt, salt, ids, deps.clock.now());
        const sharedKey = findSharedKey(prompt, salt);
        return choices.map((choice, index) => {
            const isShared = deps.use.holdsShared(choice.record.id, sharedKey);
            return {
                ...describePlain(choice),
                slots: engine?.slots ?? choice.record.slots,
                memoryTokens: engine?.memoryTokens,
                missingTokens: choice.weightsVersion === newest ? missing[index]! : prompt.promptTokens,
                neededTokens: countOwnTokens(prompt) + (isShared ? 0 : countSharedTokens(prompt)),
                isOutdated: choice.isOutdated,
            };
        });
    }

    function toPlacement(req: ProxyRequest, choice: Choice): Placement {
        const { prompt } = req;
        const { record: upstream, weightsVersion } = choice;
        if (prompt === undefined || weightsVersion === undefined) {
            return { upstream, weightsVersion: undefined, cacheSalt: undefined };
        }
        return { upstream, weightsVersion, cacheSalt: saltOf(req, prompt, weightsVersion) };
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
        deps.parts.noteRead(prompt, salt, upstream, deps.clock.now());
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

    function waitInLine(req: ProxyRequest, excluded: readonly string[], onResult: (result: PlaceResult) => void): CancelTimer {
        const line = lineOf(req.service);
        const nowMs = deps.clock.now();
        const limitMs = Math.min(req.deadlineMs - leastServiceMs, nowMs + req.route.targetLatencyMs * waitTargets);
        const cancelLimit = deps.clock.after(limitMs - nowMs, () => {
            line.leave(req.id);
            onResult({ kind: "refused", refusal: createRefusal("overloaded", "no upstream had room", { retryAfterMs }) });
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
        const choices = listChoices(req, effect.excluded);
        if (choices.length === 0) {
            onResult({ kind: "refused", refusal: createRefusal("noUpstream", `service ${req.service}`, { retryAfterMs }) });
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
