/**
 * @module
 * Places requests on upstreams and queues those for which no upstream has free capacity.
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
    type CacheCoverage,
    createPromptCacheReader,
    type PromptCacheReaderDependencies,
    type PromptCacheView,
    sumTokens,
} from "./createPromptCacheReader.js";
import { createWaitQueue, type WaitQueue } from "./createWaitQueue.js";
import type { PlacementCandidate, Prompt, UnreportedUse, UpstreamUse } from "./placementTypes.js";

/** Dependencies of {@link createPlacer}. */
export interface PlacerDependencies extends Omit<PromptCacheReaderDependencies, "now"> {
    readonly clock: Clock;
    readonly failureDomain: string;
    readonly weights: WeightsView;
    readonly findService: (name: string) => Service | undefined;
    /** Time after which no request may begin on weights that are older than the target version, in milliseconds. */
    readonly outdatedLimitMs: number;
}

/** Placer of requests. */
export interface Placer {
    /** Places a request now or later; `onResult` is called once. Returns a function that cancels the placement. */
    readonly place: (req: ProxyRequest, effect: PlaceEffect, onResult: (result: PlaceResult) => void) => CancelTimer;
    /** Records that the answer to the placed request has begun. */
    readonly recordAnswerStart: (req: ProxyRequest) => void;
    /** Records that the placed request has ended on its upstream. */
    readonly end: (req: ProxyRequest) => void;
    /** Tries to place the waiting requests, after any change of the upstreams or their use. */
    readonly dispatch: () => void;
    readonly countWaiting: () => number;
}

/** An upstream that may run a request, with the version of its weights. */
interface Choice {
    readonly record: UpstreamRecord;
    readonly weightsVersion: number | undefined;
    readonly isOutdated: boolean;
}

/** An upstream that may run a request, with the data for its cost. */
interface Option {
    readonly choice: Choice;
    readonly candidate: PlacementCandidate;
    /** The prompt and its cache coverage on the engine; undefined for a plain service. */
    readonly model?: ModelOption;
}

interface ModelOption {
    readonly prompt: Prompt;
    readonly view: PromptCacheView;
    readonly coverage: CacheCoverage;
}

/** Time from the placement of a request to the start of its answer: the prefill of ten thousand tokens. */
const minServiceMs = 150;

/** Plain services are placed by running requests alone, which they report with their answers. */
const noUnreportedUse: UnreportedUse = { memoryTokens: 0, unreadTokens: 0 };

/** Minimum time to the deadline for a request to be sent. */
const minSendMs = 20;

/** Fraction of the time until the caller's timeout for which a request may wait for capacity. */
const maxWaitFraction = 0.6;

/** Maximum number of upstreams named in a refusal. */
const maxDescribedUpstreams = 3;

/** Delay after which a refused caller may find free capacity. */
const retryAfterMs = 500;

/** Counts the tokens of the parts that only few requests share: all but the first and the last part. */
function countSharedTokens(prompt: Prompt): number {
    return sumTokens(prompt, prompt.parts.length > 2 ? 1 : 0, -1);
}

function countOwnTokens(prompt: Prompt): number {
    return (prompt.parts.at(-1)?.tokens ?? prompt.promptTokens) + prompt.outputTokens;
}

/**
 * Creates a placer without waiting requests.
 *
 * @param deps - The views on which it decides.
 * @returns The placer.
 * @example
 * const cancel = createPlacer(deps).place(req, { kind: "place", excluded: [] }, result => resume(result));
 */
export function createPlacer(deps: PlacerDependencies): Placer {
    const queues = new Map<string, WaitQueue>();
    const reader = createPromptCacheReader({ ...deps, now: deps.clock.now });

    function queueOf(service: string): WaitQueue {
        const queue = queues.get(service) ?? createWaitQueue();
        queues.set(service, queue);
        return queue;
    }

    function describeChoice(record: UpstreamRecord, prompt: Prompt | undefined): Choice | undefined {
        if (prompt === undefined) {
            return { record, weightsVersion: undefined, isOutdated: false };
        }
        const weightsVersion = deps.weights.findVersion(record, prompt.model);
        if (weightsVersion === undefined) {
            return undefined;
        }
        const target = deps.weights.findTarget(prompt.model);
        const isOutdated = target !== undefined && weightsVersion < target.version;
        const sinceMs = deps.weights.outdatedSinceMs(prompt.model, weightsVersion);
        const isPastLimit = sinceMs !== undefined && deps.clock.now() - sinceMs > deps.outdatedLimitMs;
        return isPastLimit ? undefined : { record, weightsVersion, isOutdated };
    }

    /** Lists the upstreams that may run the request; ejected ones only when there is no other. */
    function listChoices(req: ProxyRequest, excluded: readonly string[]): readonly Choice[] {
        const nowMs = deps.clock.now();
        const serving = deps.registry.listService(req.service).filter(record =>
            !record.isDraining && !excluded.includes(record.id) && !deps.weights.isLoading(record.id)
            && !deps.health.isMisdirected(record.id)
        );
        const healthy = serving.filter(record => !deps.health.isEjected(record.id, nowMs));
        return (healthy.length > 0 ? healthy : serving)
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
            unreported: noUnreportedUse,
            slots: record.slots,
            memoryTokens: undefined,
            prefillTokens: 0,
            neededTokens: 0,
            isOutdated: false,
            isSameFailureDomain: record.failureDomain === deps.failureDomain,
        };
    }

    function describeEngines(req: ProxyRequest, prompt: Prompt, choices: readonly Choice[]): readonly Option[] {
        const engine = deps.findService(req.service)?.engine;
        const ids = choices.map(choice => choice.record.id);
        const views = new Map<number, PromptCacheView>();
        return choices.map(choice => {
            const version = choice.weightsVersion ?? 0;
            const view = views.get(version) ?? reader.read(req.service, prompt, saltOf(req, prompt, version), ids);
            views.set(version, view);
            const { id } = choice.record;
            const coverage = reader.describeCoverage(prompt, view, choice.record);
            const isShared = deps.use.holdsShared(id, view.sharedKey);
            const candidate = {
                ...describePlain(choice, view.uses.get(id) ?? deps.use.read(id)),
                unreported: deps.use.estimateUnreported(id, deps.clock.now()),
                slots: engine?.slots ?? choice.record.slots,
                memoryTokens: engine?.memoryTokens,
                prefillTokens: coverage.prefillTokens,
                neededTokens: countOwnTokens(prompt) + (isShared ? 0 : countSharedTokens(prompt)),
                isOutdated: choice.isOutdated,
            };
            return { choice, candidate, model: { prompt, view, coverage } };
        });
    }

    function toPlacement({ choice, model }: Option): Placement {
        const heldTokens = model?.coverage.heldTokens ?? 0;
        return {
            upstream: choice.record,
            weightsVersion: choice.weightsVersion,
            cacheSalt: model?.view.salt,
            cacheSource: model?.coverage.source?.address,
            cacheTarget: model === undefined ? undefined : reader.findCacheTarget(model.prompt, model.view)?.address,
            heldTokens,
            fetchedTokens: Math.max(0, (model?.coverage.source?.heldTokens ?? 0) - heldTokens),
        };
    }

    function recordBegin(req: ProxyRequest, { candidate, model }: Option): void {
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
            unreadTokens: candidate.prefillTokens,
        }, nowMs);
        deps.parts.recordSent(prompt, view.salt, upstream, nowMs);
    }

    /** Places the request on one of the choices; undefined when none has free capacity. */
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
        recordBegin(req, option);
        return placement;
    }

    /** Describes the load of the upstreams for the refusal of a request that found no free capacity. */
    function describeLoad(req: ProxyRequest, excluded: readonly string[]): string {
        const known = deps.registry.listService(req.service);
        const choices = listChoices(req, excluded);
        const loading = known.filter(record => deps.weights.isLoading(record.id)).length;
        const uses = choices.map(({ record }) => ({ id: record.id, ...deps.use.read(record.id) }))
            .toSorted((left, right) => left.memoryTokens - right.memoryTokens)
            .slice(0, maxDescribedUpstreams)
            .map(({ id, requests, memoryTokens }) => `${id}: ${requests} requests, ${Math.round(memoryTokens)} tokens`);
        const counts = `${choices.length} of ${known.length} upstreams usable, ${loading} loading weights`;
        return `no upstream had free capacity (${counts}; least used: ${uses.join("; ")})`;
    }

    function waitInQueue(
        req: ProxyRequest,
        excluded: readonly string[],
        onResult: (result: PlaceResult) => void,
    ): CancelTimer {
        const queue = queueOf(req.service);
        const nowMs = deps.clock.now();
        const { latencyDeadlineMs, disconnectMs } = computeCallerDeadlines(req);
        const limitMs = Math.min(disconnectMs - minServiceMs, nowMs + (disconnectMs - req.arrivedMs) * maxWaitFraction);
        const cancelLimit = deps.clock.after(limitMs - nowMs, () => {
            queue.remove(req.id);
            onResult({
                kind: "refused",
                refusal: createRefusal("overloaded", describeLoad(req, excluded), { retryAfterMs }),
            });
        });
        queue.enqueue({
            id: req.id,
            priority: req.priority,
            latencyDeadlineMs: latencyDeadlineMs - minServiceMs,
            disconnectMs,
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
            queue.remove(req.id);
        };
    }

    function place(req: ProxyRequest, effect: PlaceEffect, onResult: (result: PlaceResult) => void): CancelTimer {
        if (req.deadlineMs - deps.clock.now() < minSendMs) {
            onResult({
                kind: "refused",
                refusal: createRefusal("deadlineTooShort", "remaining time is too short for an answer"),
            });
            return () => undefined;
        }
        const choices = listChoices(req, effect.excluded);
        if (choices.length === 0) {
            onResult({
                kind: "refused",
                refusal: createRefusal("noUpstream", `no upstream available for service ${req.service}`, {
                    retryAfterMs,
                }),
            });
            return () => undefined;
        }
        const placement = tryPlace(req, choices);
        if (placement !== undefined) {
            onResult({ kind: "placed", placement });
            return () => undefined;
        }
        return waitInQueue(req, effect.excluded, onResult);
    }

    const dispatch = () => queues.forEach(queue => queue.dispatch(deps.clock.now()));
    return {
        place,
        recordAnswerStart: req => deps.use.recordAnswerStart(req.id),
        end: req => {
            deps.use.end(req.id);
            queues.get(req.service)?.dispatch(deps.clock.now());
        },
        dispatch,
        countWaiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.size(), 0),
    };
}
