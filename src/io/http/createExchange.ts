/**
 * @module
 * Performs the effects of one caller's request on sockets and timers.
 */
import type { ServerResponse } from "node:http";
import type { ClaimManager } from "../../core/claims/createClaimManager.js";
import type { ForwardEnd, UpstreamCall, WaitResult } from "../../core/effects/effectTypes.js";
import type { EffectHandlers } from "../../core/effects/runSteps.js";
import type { Admission } from "../../core/limits/admissionTypes.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import { createEventScanner } from "../../core/stream/createEventScanner.js";
import type { Clock } from "../../core/time/clock.js";
import { collectBody } from "../upstream/collectBody.js";
import type { OpenedAnswer, UpstreamClient } from "../upstream/createUpstreamClient.js";
import { forwardEvents } from "../upstream/forwardEvents.js";
import { onResponseOver } from "./_lib/onResponseOver.js";
import { awaitAdmission } from "./awaitAdmission.js";
import { writeRefusal } from "./writeRefusal.js";

/** Dependencies of {@link createExchange}. */
export interface ExchangeDependencies {
    readonly clock: Clock;
    readonly admission: Admission;
    readonly upstreams: UpstreamClient;
    readonly claims: ClaimManager;
    readonly cancelStream: EnginePort["cancelStream"];
    /** Maximum size of a buffered response, in bytes. */
    readonly maxAnswerBytes: number;
}

/** One caller's request in progress. */
export interface Exchange {
    readonly handlers: EffectHandlers;
    /** Time on the instance's monotonic clock at which the first byte was sent, in milliseconds; undefined before. */
    readonly firstByteMs: () => number | undefined;
}

/**
 * Creates the effect handlers of one request.
 *
 * @param requestId - Id of the request.
 * @param res - The caller's answer.
 * @param dependencies - The instance's parts.
 * @returns The handlers.
 */
export function createExchange(requestId: string, res: ServerResponse, dependencies: ExchangeDependencies): Exchange {
    const { clock, admission } = dependencies;
    const scanner = createEventScanner();
    const callerDisconnect = new AbortController();
    let opened: OpenedAnswer | undefined;
    let openedCall: UpstreamCall | undefined;
    let stopBody: ((end: ForwardEnd) => void) | undefined;
    let endWait: (() => void) | undefined;
    let firstByteMs: number | undefined;

    onResponseOver(res, () => {
        if (!res.writableEnded) {
            callerDisconnect.abort();
            endWait?.();
            if (openedCall?.outlivesCaller !== true) {
                stopBody?.("callerGone");
            }
        }
    });

    /** Calls `end` when the caller disconnects, or at once when it has already; replaces the previous callback. */
    function endOnDisconnect(end: () => void): void {
        endWait = () => {
            endWait = undefined;
            end();
        };
        if (callerDisconnect.signal.aborted) {
            endWait();
        }
    }

    function startDeadline(deadlineMs: number): () => void {
        return clock.after(Math.max(0, deadlineMs - clock.now()), () => stopBody?.("deadline"));
    }

    function wait(delayMs: number, outlivesCaller: boolean, resume: (result: WaitResult) => void): void {
        const cancelTimer = clock.after(delayMs, () => {
            endWait = undefined;
            resume("elapsed");
        });
        if (!outlivesCaller) {
            endOnDisconnect(() => {
                cancelTimer();
                resume("callerGone");
            });
        }
    }

    function beginStream(answer: OpenedAnswer): void {
        if (!res.headersSent) {
            res.writeHead(200, {
                "content-type": answer.head.contentType,
                "cache-control": "no-store",
                "x-request-id": requestId,
                "x-cached-tokens": String(answer.head.cachedTokens ?? 0),
            });
            res.flushHeaders();
            answer.body.once("data", () => {
                firstByteMs ??= clock.now();
            });
        }
    }

    /** When one connection to an upstream stops responding, its other pooled connections may be dead too. */
    function discardConnectionsAfter(end: ForwardEnd): void {
        if (end === "silent" && openedCall !== undefined) {
            dependencies.upstreams.discardIdleConnections(openedCall.upstream.address);
        }
    }

    const handlers: EffectHandlers = {
        admit: (effect, resume) => {
            const onGone = awaitAdmission(effect.req, dependencies, verdict => {
                endWait = undefined;
                resume(verdict);
            });
            if (onGone !== undefined) {
                endOnDisconnect(onGone);
            }
        },
        settle: (effect, resume) => {
            admission.complete(effect.requestId, effect.used);
            resume(undefined);
        },
        send: (effect, resume) => {
            opened?.body.destroy();
            opened = undefined;
            openedCall = effect.call;
            const signal = effect.call.outlivesCaller ? undefined : callerDisconnect.signal;
            void dependencies.upstreams.open(effect.call, signal).then(result => {
                if (result.kind !== "answered") {
                    resume(result);
                    return;
                }
                opened = result;
                result.body.on("error", () => undefined);
                resume({ kind: "answered", head: result.head });
            });
        },
        forward: (effect, resume) => {
            const answer = opened!;
            beginStream(answer);
            const cancelDeadline = startDeadline(effect.deadlineMs);
            const onEnd = (end: ForwardEnd) => {
                cancelDeadline();
                stopBody = undefined;
                if (end === "complete") {
                    res.end();
                }
                else if (end === "callerStalled") {
                    res.destroy();
                }
                discardConnectionsAfter(end);
                const delivered = scanner.delivered();
                resume({ end, delivered, outputTokens: end === "complete" ? delivered - 1 : delivered });
            };
            if (callerDisconnect.signal.aborted) {
                onEnd("callerGone");
                return;
            }
            stopBody = forwardEvents(answer.body, res, scanner, clock, onEnd).stop;
        },
        collect: (effect, resume) => {
            const answer = opened!;
            const cancelDeadline = startDeadline(effect.deadlineMs);
            stopBody = collectBody(answer.body, dependencies.maxAnswerBytes, result => {
                cancelDeadline();
                stopBody = undefined;
                discardConnectionsAfter(result.kind === "broken" ? result.end : "complete");
                resume(result);
            }).stop;
            if (callerDisconnect.signal.aborted && openedCall?.outlivesCaller !== true) {
                stopBody("callerGone");
            }
        },
        claim: (effect, resume) => dependencies.claims.claim(effect.req, resume),
        conclude: (effect, resume) => {
            dependencies.claims.conclude(effect.key, effect.claimId, effect.conclusion);
            resume(undefined);
        },
        cancel: (effect, resume) => {
            clock.after(effect.delayMs, () => {
                if (effect.isWanted()) {
                    void dependencies.cancelStream(effect.upstream.address, effect.streamId);
                }
            });
            resume(undefined);
        },
        wait: (effect, resume) => wait(effect.delayMs, effect.outlivesCaller, resume),
        answer: (effect, resume) => {
            firstByteMs ??= clock.now();
            if (!res.destroyed) {
                const headers: Record<string, string> = {
                    "content-type": effect.answer.contentType,
                    "content-length": String(effect.answer.body.length),
                    "x-request-id": requestId,
                };
                if (opened?.head.cachedTokens !== undefined) {
                    headers["x-cached-tokens"] = String(opened.head.cachedTokens);
                }
                res.writeHead(effect.answer.status, headers);
                res.end(effect.answer.body);
            }
            resume(undefined);
        },
        refuse: (effect, resume) => {
            writeRefusal(res, effect.refusal, requestId);
            resume(undefined);
        },
    };
    return { handlers, firstByteMs: () => firstByteMs };
}
