/**
 * @module
 * Places requests on upstreams, and lets those wait for which no upstream has free capacity.
 */
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import type { Prefill } from "../fleet/prefillReport.js";
import type { UpstreamRateLimits } from "../permits/createUpstreamPermits.js";
import type { PlacementQuery, PlaceResult } from "../proxy/proxyEffects.js";
import type { Placement, ProxyRequest } from "../proxy/proxyTypes.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import { sumTokens } from "./_lib/countPromptTokens.js";
import { describeHome } from "./_lib/describeHome.js";
import { describeLoad } from "./_lib/describeLoad.js";
import { describePlaced } from "./_lib/describePlaced.js";
import { listSharedParts } from "./_lib/listSharedParts.js";
import type { Choice, ModelOption, Option } from "./_lib/placementOptions.js";
import { chooseOption } from "./chooseOption.js";
import { type ChoiceListerDependencies, type ChoiceQuery, createChoiceLister } from "./createChoiceLister.js";
import { createOptionReader, type OptionReaderDependencies } from "./createOptionReader.js";
import { createPlacementQueues, type ServiceTurn } from "./createPlacementQueues.js";
import { createPromptCacheReader, type PromptCacheReaderDependencies } from "./createPromptCacheReader.js";
import { createUrgentReserves, type WithheldPlacement } from "./createUrgentReserves.js";
import { findExclusion } from "./findExclusion.js";
import { narrowOptions } from "./narrowOptions.js";
import { type PlacementDecision, previewPlacement } from "./previewPlacement.js";

/** Dependencies of {@link createPlacer}. */
export interface PlacerDependencies
    extends
        Omit<ChoiceListerDependencies, "now">,
        Omit<OptionReaderDependencies, "now" | "reader">,
        Omit<PromptCacheReaderDependencies, "now"> {
    readonly clock: Clock;
    /** Called when an engine is about to prefill shared parts that neither it nor another one has cached. */
    readonly onPrefill: (prefill: Prefill) => void;
    readonly rateLimits: UpstreamRateLimits;
    /** Called when a request is not placed on upstreams that have room, which is left to more urgent ones. */
    readonly onWithheld?: (req: ProxyRequest, withheld: WithheldPlacement) => void;
    /** Called when a waiting request goes before more urgent ones, since its priority had had too little. */
    readonly onGuaranteedTurn?: (turn: ServiceTurn) => void;
}

/** Placer of requests. */
export interface Placer {
    /** Places a request now or later; `onResult` is called once. Returns a function that cancels the placement. */
    readonly place: (req: ProxyRequest, effect: PlacementQuery, onResult: (result: PlaceResult) => void) => CancelTimer;
    /** Whether an upstream that is not ejected may run the request, other than the excluded ones. */
    readonly hasAlternative: (req: ProxyRequest, excluded: readonly string[]) => boolean;
    /** Records that the answer to the placed request has begun. */
    readonly recordAnswerStart: (req: ProxyRequest, placement: Placement) => void;
    /** Records that the placed request has ended on its upstream. */
    readonly end: (req: ProxyRequest) => void;
    /** Tries to place the waiting requests, after any change of the upstreams or their use. */
    readonly dispatch: () => void;
    /** The same after a change of permits, which may also show that a request waits in vain. */
    readonly recheck: () => void;
    readonly countWaiting: () => number;
    /** Number of requests that wait, by priority. */
    readonly countByPriority: () => ReadonlyMap<number, number>;
    /** Largest reserve for more urgent requests at one upstream in the latest decision, in requests. */
    readonly reservedRequests: () => number;
    /** Says what would happen to a request now; changes nothing. */
    readonly preview: (req: ProxyRequest) => PlacementDecision;
}

/** Minimum time to the deadline for a request to be sent. */
const minSendMs = 20;

/** Minimum of shared tokens to prefill that is reported to peers. */
const minReportedTokens = 512;

/** Delay after which an upstream may be available again, and the longest one that a caller is told, in milliseconds. */
const retryAfterMs = 500;
const maxRetryAfterMs = 10_000;

/**
 * Creates a placer without waiting requests.
 *
 * @param deps - The views on which it decides.
 * @returns The placer.
 * @example
 * const cancel = createPlacer(deps).place(req, { kind: "place", excluded: [] }, result => resume(result));
 */
export function createPlacer(deps: PlacerDependencies): Placer {
    const { now } = deps.clock;
    const queues = createPlacementQueues(deps.clock, deps.onGuaranteedTurn);
    const reserves = createUrgentReserves({ now, countInstances: deps.countInstances });
    const reader = createPromptCacheReader({ ...deps, now });
    const listChoices = createChoiceLister({ ...deps, now });
    const readOptions = createOptionReader({ ...deps, now, reader });
    const narrow = (options: readonly Option[]) => deps.isFleetDirect() ? options : narrowOptions(options, deps.random);

    function describeTransfers(
        { prompt, view, coverage }: ModelOption,
        engine: string,
    ): Pick<Placement, "cacheSource" | "cacheTarget"> {
        return {
            cacheSource: reader.findCacheSource(prompt, view, coverage, engine),
            cacheTarget: reader.findCacheTarget(prompt, view, coverage)?.address,
        };
    }

    function toPlacement({ choice, candidate, model }: Option): Placement {
        const heldTokens = model?.coverage.heldTokens ?? 0;
        return {
            upstream: choice.record,
            weightsVersion: choice.weightsVersion,
            cacheSalt: model?.view.salt,
            ...(model === undefined
                ? { cacheSource: undefined, cacheTarget: undefined }
                : describeTransfers(model, choice.record.id)),
            home: describeHome(model, choice.record.id),
            heldTokens,
            fetchedTokens: Math.max(0, (model?.coverage.source?.heldTokens ?? 0) - heldTokens),
            load: candidate.load,
        };
    }

    function recordPrefill({ prompt, view }: ModelOption, placement: Placement): void {
        const { upstream, heldTokens, fetchedTokens } = placement;
        const { salt } = view;
        const parts = listSharedParts(prompt);
        deps.parts.recordSent(parts, salt, upstream.id, now());
        if (sumTokens(prompt, 0, -1) - heldTokens - fetchedTokens >= minReportedTokens) {
            deps.onPrefill({ engine: upstream.id, salt, parts });
        }
    }

    /** Places the request on one of the choices; undefined when none has free capacity. */
    function tryPlace(req: ProxyRequest, choices: readonly Choice[]): Placement | undefined {
        const option = chooseOption(readOptions(req, choices), {
            narrow,
            filter: candidates => reserves.filter(req, candidates),
            limits: deps.rateLimits,
        });
        if (option === undefined) {
            return undefined;
        }
        const placement = toPlacement(option);
        deps.use.begin(req, describePlaced(option), now());
        reserves.begin(req);
        if (option.model !== undefined) {
            reader.recordPlaced(req, option.model.prompt, option.candidate.slots);
            recordPrefill(option.model, placement);
        }
        return placement;
    }

    /** Describes why a request waits although an upstream has room; undefined when none has. */
    function findWithheld(req: ProxyRequest, query: ChoiceQuery): WithheldPlacement | undefined {
        if (!reserves.hasReserve(req)) {
            return undefined;
        }
        const options = readOptions(req, listChoices(req, query));
        return reserves.describeWithheld(req, options.map(option => option.candidate));
    }

    function reportWithheld(req: ProxyRequest, query: ChoiceQuery): void {
        const withheld = findWithheld(req, query);
        if (withheld !== undefined) {
            deps.onWithheld?.(req, withheld);
        }
    }

    function describeServiceLoad(req: ProxyRequest, query: ChoiceQuery): string {
        const known = deps.registry.listService(req.service);
        return describeLoad({
            knownCount: known.length,
            loadingCount: known.filter(record => deps.weights.isLoading(record.id)).length,
            usable: listChoices(req, query).map(({ record }) => ({ record, use: deps.use.read(record.id) })),
        });
    }

    /** Time until the request gets a permit; undefined when it does not need one or nothing is known. */
    function predictPermitMs(
        req: ProxyRequest,
        query: ChoiceQuery,
        countAhead: () => number,
    ): number | undefined {
        const isLimited = deps.registry.listService(req.service).some(record => deps.rateLimits.isLimited(record.id));
        return isLimited
            ? deps.rateLimits.predictWaitMs(listChoices(req, query).map(choice => choice.record.id), countAhead())
            : undefined;
    }

    /** Time until an upstream that wants no request now may take some again, in milliseconds, if all of them said so. */
    function findReopeningMs(service: string): number {
        const closures = deps.registry.listService(service).filter(record => !record.isDraining)
            .map(record => deps.signals.findClosure(record.id, now()));
        const untilMs = closures.map(closure => (closure?.kind === "retryAfter" ? closure.untilMs : -Infinity));
        const waitMs = untilMs.length === 0 ? 0 : Math.min(...untilMs) - now();
        return Math.min(maxRetryAfterMs, Math.max(retryAfterMs, waitMs));
    }

    /** Returns why no upstream can run the request, however long it waits; undefined when one can. */
    function findObstacle(req: ProxyRequest, choices: readonly Choice[]): Refusal | undefined {
        if (req.deadlineMs - now() < minSendMs) {
            return createRefusal("deadlineTooShort", "remaining time is too short for an answer");
        }
        if (choices.length === 0) {
            const details = { retryAfterMs: findReopeningMs(req.service) };
            return createRefusal("noUpstream", `no upstream available for service ${req.service}`, details);
        }
        const memoryTokens = deps.findService(req.service)?.engine?.memoryTokens ?? Infinity;
        const promptTokens = req.prompt?.promptTokens ?? 0;
        return promptTokens > memoryTokens
            ? createRefusal("noUpstream", `the prompt has ${promptTokens} tokens, an engine holds ${memoryTokens}`)
            : undefined;
    }

    /** A stream that has started is cut unless it is placed: it waits for engines that will have the target weights. */
    function isWorthWaiting({ service, prompt }: ProxyRequest, { excluded, hasStarted = false }: ChoiceQuery): boolean {
        return hasStarted && prompt !== undefined
            && deps.registry.listService(service).some(({ id, isDraining }) => !isDraining && !excluded.includes(id));
    }

    function place(
        req: ProxyRequest,
        query: PlacementQuery,
        onResult: (result: PlaceResult) => void,
    ): CancelTimer {
        const choices = listChoices(req, query);
        const obstacle = findObstacle(req, choices);
        if (obstacle !== undefined && !isWorthWaiting(req, query)) {
            onResult({ kind: "refused", refusal: obstacle });
            return () => undefined;
        }
        if (query.excluded.length === 0) {
            reserves.recordArrival(req);
        }
        // A permit may have accrued since the requests that wait have tried; they go first.
        const goesLast = queues.isWaiting(req.service)
            && choices.some(choice => deps.rateLimits.isLimited(choice.record.id));
        const placement = goesLast ? undefined : tryPlace(req, choices);
        if (placement !== undefined) {
            onResult({ kind: "placed", placement });
            return () => undefined;
        }
        reportWithheld(req, query);
        const cancel = queues.wait({
            req,
            hasStarted: query.hasStarted === true,
            tryPlace: () => tryPlace(req, listChoices(req, query)),
            isWithheld: () => findWithheld(req, query) !== undefined,
            describeLoad: () => describeServiceLoad(req, query),
            predictPermitMs: countAhead => predictPermitMs(req, query, countAhead),
            onResult,
        });
        if (goesLast) {
            queues.dispatch(req.service);
        }
        return cancel;
    }

    function preview(req: ProxyRequest): PlacementDecision {
        const query = { excluded: [] };
        const choices = listChoices(req, query);
        return previewPlacement({
            known: deps.registry.listService(req.service),
            choices,
            options: readOptions(req, choices),
            narrow,
            obstacle: findObstacle(req, choices),
            filter: candidates => reserves.filter(req, candidates),
            isLimited: deps.rateLimits.isLimited,
            findExclusion: record =>
                findExclusion(record, query.excluded, deps, now())
                    ?? (deps.health.isEjected(record.id, now()) ? "ejected" : "otherWeights"),
        });
    }

    return {
        place,
        preview,
        hasAlternative: (req, excluded) =>
            listChoices(req, { excluded }).some(choice => !deps.health.isEjected(choice.record.id, now())),
        recordAnswerStart: (req, { upstream, cacheSalt }) => {
            deps.use.recordAnswerStart(req);
            reader.recordAnswerStart(req);
            if (req.prompt !== undefined && cacheSalt !== undefined) {
                deps.parts.recordPrefilled(req.prompt, cacheSalt, upstream.id);
            }
        },
        end: req => {
            deps.use.end(req);
            reserves.end(req);
            reader.recordEnd(req);
            queues.dispatch(req.service);
        },
        dispatch: queues.dispatchAll,
        recheck: queues.recheck,
        countWaiting: queues.countWaiting,
        countByPriority: queues.countByPriority,
        reservedRequests: reserves.reservedRequests,
    };
}
