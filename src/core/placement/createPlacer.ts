/**
 * @module
 * Places requests at upstreams, and keeps those waiting that find no room yet.
 */
import { createRefusal } from "../errors/createRefusal.js";
import { computeCallerDeadlines } from "../proxy/computeCallerDeadlines.js";
import { deriveCacheSalt } from "../proxy/deriveCacheSalt.js";
import type { PlaceEffect, PlaceResult } from "../proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../proxy/proxyTypes.js";
import type { UpstreamRecord } from "../registry/upstreamRecord.js";
import type { Service } from "../routes/routingTable.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import type { WeightsView } from "../weights/createWeightsView.js";
import { choosePlacement } from "./choosePlacement.js";
import {
    createPromptReader,
    type PromptReaderDependencies,
    type PromptShare,
    type PromptView,
    sumTokens,
} from "./createPromptReader.js";
import { createWaitingLine, type WaitingLine } from "./createWaitingLine.js";
import type { PlacementCandidate, Prompt, UpstreamUse } from "./placementTypes.js";

/** What the placer reads. */
export interface PlacerDependencies extends Omit<PromptReaderDependencies, "now"> {
    readonly clock: Clock;
    readonly failureDomain: string;
    readonly weights: WeightsView;
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

/** An upstream that may take a request, as it is weighed. */
interface Option {
    readonly choice: Choice;
    readonly candidate: PlacementCandidate;
    /** The prompt and the engine's part in it; undefined for a plain service. */
    readonly model?: ModelOption;
}

interface ModelOption {
    readonly prompt: Prompt;
    readonly view: PromptView;
    readonly share: PromptShare;
}

/** Time from the placing of a request to the beginning of its answer, in milliseconds: reading a prompt of ten thousand tokens. */
const leastServiceMs = 150;

/** Time left below which a request is not sent any more, in milliseconds. */
const leastSendMs = 20;

/** Part of the time until its caller leaves for which a request may wait for room. */
const waitShare = 0.6;

/** Upstreams that a refusal names at the most. */
const maxDescribedUpstreams = 3;

/** Time after which a refused caller may find room, in milliseconds. */
const retryAfterMs = 500;

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
    const reader = createPromptReader({ ...deps, now: deps.clock.now });

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

    function describePlain({ record }: Choice, use: UpstreamUse): PlacementCandidate {
        return {
            id: record.id,
            use,
            unseenTokens: 0,
            slots: record.slots,
            memoryTokens: undefined,
            missingTokens: 0,
            neededTokens: 0,
            isOutdated: false,
            isNear: record.failureDomain === deps.failureDomain,
        };
    }

    function describeEngines(req: ProxyRequest, prompt: Prompt, choices: readonly Choice[]): readonly Option[] {
        const engine = deps.findService(req.service)?.engine;
        const ids = choices.map(choice => choice.record.id);
        const views = new Map<number, PromptView>();
        return choices.map(choice => {
            const version = choice.weightsVersion ?? 0;
            const view = views.get(version) ?? reader.read(req.service, prompt, saltOf(req, prompt, version), ids);
            views.set(version, view);
            const { id } = choice.record;
            const share = reader.describeShare(prompt, view, choice.record);
            const isShared = deps.use.holdsShared(id, view.sharedKey);
            const candidate = {
                ...describePlain(choice, view.uses.get(id) ?? deps.use.read(id)),
                unseenTokens: deps.use.readUnseenTokens(id, deps.clock.now()),
                slots: engine?.slots ?? choice.record.slots,
                memoryTokens: engine?.memoryTokens,
                missingTokens: share.missingTokens,
                neededTokens: countOwnTokens(prompt) + (isShared ? 0 : countSharedTokens(prompt)),
                isOutdated: choice.isOutdated,
            };
            return { choice, candidate, model: { prompt, view, share } };
        });
    }

    function toPlacement({ choice, model }: Option): Placement {
        const heldTokens = model?.share.heldTokens ?? 0;
        return {
            upstream: choice.record,
            weightsVersion: choice.weightsVersion,
            cacheSalt: model?.view.salt,
            cacheSource: model?.share.source?.address,
            cacheTarget: model === undefined ? undefined : reader.findTarget(model.prompt, model.view)?.address,
            heldTokens,
            fetchedTokens: Math.max(0, (model?.share.source?.heldTokens ?? 0) - heldTokens),
        };
    }

    function noteBegin(req: ProxyRequest, { candidate, model }: Option): void {
        const nowMs = deps.clock.now();
        const upstream = candidate.id;
        if (model === undefined) {
            const plain = { upstream, ownTokens: 0, sharedKey: "", sharedTokens: 0, unreadTokens: 0 };
            deps.use.begin(req.id, plain, nowMs);
            return;
        }
        const { prompt, view } = model;
        deps.use.begin(req.id, {
            upstream,
            ownTokens: countOwnTokens(prompt),
            sharedKey: view.sharedKey,
            sharedTokens: countSharedTokens(prompt),
            unreadTokens: candidate.missingTokens,
        }, nowMs);
        deps.parts.noteSent(prompt, view.salt, upstream, nowMs);
    }

    /** Tries to place now. */
    function tryPlace(req: ProxyRequest, choices: readonly Choice[]): Placement | undefined {
        const options = req.prompt === undefined
            ? choices.map((choice): Option => ({
                choice,
                candidate: describePlain(choice, deps.use.read(choice.record.id)),
            }))
            : describeEngines(req, req.prompt, choices);
        const chosen = choosePlacement(options.map(option => option.candidate));
        const option = options.find(one => one.candidate === chosen);
        if (option === undefined) {
            return undefined;
        }
        const placement = toPlacement(option);
        noteBegin(req, option);
        return placement;
    }

    /** What a request that found no room was weighed against. */
    function describeLoad(req: ProxyRequest, excluded: readonly string[]): string {
        const known = deps.registry.listService(req.service);
        const choices = listChoices(req, excluded);
        const loading = known.filter(record => deps.weights.isLoading(record.id)).length;
        const uses = choices.map(({ record }) => ({ id: record.id, ...deps.use.read(record.id) }))
            .toSorted((left, right) => left.memoryTokens - right.memoryTokens)
            .slice(0, maxDescribedUpstreams)
            .map(({ id, requests, memoryTokens }) => `${id}: ${requests} requests, ${Math.round(memoryTokens)} tokens`);
        const counts = `${choices.length} of ${known.length} upstreams in use, ${loading} load weights`;
        return `no upstream had room (${counts}; least used ${uses.join("; ")})`;
    }

    function waitInLine(
        req: ProxyRequest,
        excluded: readonly string[],
        onResult: (result: PlaceResult) => void,
    ): CancelTimer {
        const line = lineOf(req.service);
        const nowMs = deps.clock.now();
        const { latencyDeadlineMs: onTimeUntilMs, disconnectMs: leavesAtMs } = computeCallerDeadlines(req);
        const limitMs = Math.min(leavesAtMs - leastServiceMs, nowMs + (leavesAtMs - req.arrivedMs) * waitShare);
        const cancelLimit = deps.clock.after(limitMs - nowMs, () => {
            line.leave(req.id);
            onResult({
                kind: "refused",
                refusal: createRefusal("overloaded", describeLoad(req, excluded), { retryAfterMs }),
            });
        });
        line.join({
            id: req.id,
            priority: req.priority,
            onTimeUntilMs: onTimeUntilMs - leastServiceMs,
            leavesAtMs,
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

    const advance = () => lines.forEach(line => line.advance(deps.clock.now()));
    return {
        place,
        noteAnswer: req => deps.use.noteAnswer(req.id),
        end: req => {
            deps.use.end(req.id);
            lines.get(req.service)?.advance(deps.clock.now());
        },
        advance,
        countWaiting: () => [...lines.values()].reduce((sum, line) => sum + line.size(), 0),
    };
}
