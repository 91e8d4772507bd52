/**
 * @module
 * Performs the effects of one caller's request on sockets and timers.
 */
import type { ServerResponse } from "node:http";
import type { ForwardEnd } from "../../core/effects/effectTypes.js";
import type { EffectHandlers } from "../../core/effects/runSteps.js";
import type { Admission } from "../../core/limits/admissionTypes.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import { createEventScanner } from "../../core/stream/createEventScanner.js";
import type { Clock } from "../../core/time/clock.js";
import { collectBody } from "../upstream/collectBody.js";
import type { OpenedAnswer, UpstreamClient } from "../upstream/createUpstreamClient.js";
import { forwardEvents } from "../upstream/forwardEvents.js";
import { writeRefusal } from "./writeRefusal.js";

/** What performing effects needs from the instance. */
export interface ExchangeDependencies {
    readonly clock: Clock;
    readonly admission: Admission;
    readonly upstreams: UpstreamClient;
    readonly cancelStream: EnginePort["cancelStream"];
    /** Largest answer that is collected whole, in bytes. */
    readonly maxAnswerBytes: number;
}

/** One caller's request that waits for its answer. */
export interface Exchange {
    readonly handlers: EffectHandlers;
    /** Milliseconds on the instance's clock at which the first byte was sent; undefined before. */
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
    const callerGone = new AbortController();
    let opened: OpenedAnswer | undefined;
    let stopBody: ((end: ForwardEnd) => void) | undefined;
    let firstByteMs: number | undefined;

    res.on("close", () => {
        if (!res.writableEnded) {
            callerGone.abort();
            admission.cancel(requestId);
            stopBody?.("callerGone");
        }
    });

    function startDeadline(deadlineMs: number): () => void {
        return clock.after(Math.max(0, deadlineMs - clock.now()), () => stopBody?.("deadline"));
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

    const handlers: EffectHandlers = {
        admit: (effect, resume) => admission.admit(effect.req, resume),
        settle: (effect, resume) => {
            admission.settle(effect.requestId, effect.used);
            resume(undefined);
        },
        send: (effect, resume) => {
            opened?.body.destroy();
            opened = undefined;
            void dependencies.upstreams.open(effect.call, callerGone.signal).then(result => {
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
                resume({ end, delivered: scanner.delivered(), outputTokens: scanner.delivered() });
            };
            stopBody = forwardEvents(answer.body, res, scanner, onEnd).stop;
        },
        collect: (effect, resume) => {
            const answer = opened!;
            const cancelDeadline = startDeadline(effect.deadlineMs);
            stopBody = collectBody(answer.body, dependencies.maxAnswerBytes, result => {
                cancelDeadline();
                stopBody = undefined;
                resume(result);
            }).stop;
        },
        cancel: (effect, resume) => {
            void dependencies.cancelStream(effect.upstream.address, effect.streamId);
            resume(undefined);
        },
        wait: (effect, resume) => {
            clock.after(effect.delayMs, () => resume(undefined));
        },
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
