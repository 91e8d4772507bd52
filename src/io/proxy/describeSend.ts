/**
 * @module
 * Log fields of a send; fields that do not apply are omitted.
 */
import { listSharedParts } from "../../core/placement/_lib/listSharedParts.js";
import type { Placement, ProxyRequest, SendOutcome } from "../../core/proxy/proxyTypes.js";
import type { StopProgress } from "../../core/shutdown/createShutdown.js";

type LogFields = Readonly<Record<string, unknown>>;

/** Rounds to hundredths. */
const round = (value: number) => Math.round(value * 100) / 100;

/**
 * Returns the log fields of the load by which an upstream was chosen: without the request itself.
 *
 * @param placement - Where the request is sent.
 * @returns The fields; none where the upstream states no load.
 */
export function describePlacedLoad(placement: Placement): LogFields {
    const { load } = placement;
    if (load === undefined) {
        return {};
    }
    const { requests, deviation, waiting, pace, ageMs } = load.estimate;
    return {
        expectedRequests: round(requests),
        requestsDeviation: round(deviation),
        drawnRequests: round(load.requests),
        expectedWaiting: round(waiting),
        pace: round(pace),
        loadAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    };
}

/** Describes how the engine stands among the homes of the prompt, and the demand that decided their number. */
function describeHome({ home, cacheTarget }: Placement): LogFields {
    return home === undefined ? {} : {
        cacheTarget,
        homeRank: home.rank,
        homes: home.homes,
        promptRate: round(home.requestsPerSecond),
    };
}

/**
 * Returns the log fields of a send: the request and the placement it was based on.
 *
 * @param req - The request.
 * @param placement - Where it is sent.
 * @param nowMs - The instance's clock, in milliseconds.
 * @param stop - How far the instance's stop has come, if it was told to stop.
 * @returns The fields of the log line.
 */
export function describeSend(
    req: ProxyRequest,
    placement: Placement,
    nowMs: number,
    stop: StopProgress | undefined,
): LogFields {
    const { upstream, weightsVersion, heldTokens, fetchedTokens, cacheSource } = placement;
    const sent = {
        requestId: req.id,
        priority: req.priority,
        upstream: upstream.id,
        afterMs: Math.round(nowMs - req.arrivedMs),
        ...describePlacedLoad(placement),
    };
    const basis = stop === undefined
        ? sent
        : { ...sent, leavingMs: stop.sinceMs, leftMs: stop.leftMs, dueMs: Math.round(req.deadlineMs - nowMs) };
    if (req.prompt === undefined) {
        return basis;
    }
    const { promptTokens } = req.prompt;
    return {
        ...basis,
        weightsVersion,
        promptTokens,
        heldTokens,
        fetchedTokens,
        cacheSource,
        ...describeHome(placement),
    };
}

/**
 * Returns the log fields of a send that brought no complete answer.
 *
 * @param req - The request.
 * @param placement - Where it was sent.
 * @param outcome - The outcome of the send.
 * @returns The fields of the log line.
 */
export function describeSendEnd(req: ProxyRequest, placement: Placement, outcome: SendOutcome): LogFields {
    return {
        requestId: req.id,
        upstream: placement.upstream.id,
        outcome: outcome.kind,
        detail: "detail" in outcome ? outcome.detail : undefined,
        status: outcome.kind === "rejected" ? outcome.status : undefined,
        reason: outcome.kind === "rejected" ? outcome.reason : undefined,
        parts: outcome.kind === "lost" && req.prompt !== undefined
            ? listSharedParts(req.prompt).map(part => part.id)
            : undefined,
    };
}
