/**
 * @module
 * Effect handlers of one request that act on the models, in place of the sockets used in production.
 */
import type { ClaimManager } from "../../src/core/claims/createClaimManager.js";
import type { AnswerHead, ForwardEnd, UpstreamCall } from "../../src/core/effects/effectTypes.js";
import type { EffectHandlers } from "../../src/core/effects/runSteps.js";
import { errorTable } from "../../src/core/errors/errorTable.js";
import { createEventScanner } from "../../src/core/stream/createEventScanner.js";
import type { CancelTimer, Clock } from "../../src/core/time/clock.js";
import { silenceTimeoutMs } from "./createInstanceModel.js";
import type { UpstreamModel } from "./createUpstreamModel.js";
import type { CallerEnd, InjectedFault, SentRequest } from "./historyTypes.js";

/** What the effect handlers need from their instance. */
export interface EffectHandlerDependencies {
    readonly clock: Clock;
    /** Binds an action to the instance's incarnation; a pause defers it. */
    readonly bind: <T extends readonly unknown[]>(action: (...values: T) => void) => (...values: T) => void;
    readonly upstreams: UpstreamModel;
    readonly areUpstreamsPartitioned: () => boolean;
    readonly claims: ClaimManager;
    readonly injectedFault: InjectedFault | undefined;
}

interface Connection {
    readonly head: AnswerHead;
    readonly chunks: string[];
    end: "open" | "ended" | "cut";
    onChange: () => void;
}

type Opened =
    | { readonly kind: "answered"; readonly connection: Connection; }
    | { readonly kind: "notSent" | "lost"; };

const connectTimeoutMs = 100;
const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Creates the effect handlers of one request. */
export function createEffectHandlers(sent: SentRequest, dependencies: EffectHandlerDependencies): EffectHandlers {
    const { clock, bind, injectedFault } = dependencies;
    const scanner = createEventScanner();
    let opened: Connection | undefined;

    function end(result: CallerEnd): void {
        sent.ends.push({ end: result, atMs: clock.now() });
    }

    /** Opens a connection; chunks that arrive before they are read are buffered. */
    function open(call: UpstreamCall, onOpen: (result: Opened) => void): void {
        let connection: Connection | undefined;
        let isDecided = false;

        function decide(result: Opened): void {
            if (!isDecided) {
                isDecided = true;
                cancelTimer();
                onOpen(result);
            }
        }

        function change(action: (one: Connection) => void): void {
            if (connection !== undefined) {
                action(connection);
                connection.onChange();
            }
            else {
                decide({ kind: "lost" });
            }
        }

        const cancelTimer = clock.after(call.timeoutMs, () => decide({ kind: "lost" }));
        if (dependencies.areUpstreamsPartitioned()) {
            clock.after(connectTimeoutMs, () => decide({ kind: call.needsNewConnection ? "notSent" : "lost" }));
            return;
        }
        dependencies.upstreams.call(call, {
            onRefused: bind(() => decide({ kind: "notSent" })),
            onHead: bind((head, correlationId) => {
                if (isDecided || correlationId !== call.correlationId) {
                    decide({ kind: "lost" });
                    return;
                }
                connection = { head, chunks: [], end: "open", onChange: () => undefined };
                decide({ kind: "answered", connection });
            }),
            onChunk: bind(text => change(one => one.chunks.push(text))),
            onEnd: bind(isAborted =>
                change(one => {
                    one.end = isAborted ? "cut" : "ended";
                })
            ),
        });
    }

    /** Reads until `consume` returns an end, the connection ends or becomes unresponsive, or the deadline passes. */
    function read(
        connection: Connection,
        deadlineMs: number,
        consume: (text: string) => ForwardEnd | undefined,
        onEnd: (end: ForwardEnd) => void,
    ): void {
        let isFinished = false;
        let cancelSilence: CancelTimer = () => undefined;
        const cancelDeadline = clock.after(Math.max(0, deadlineMs - clock.now()), () => finish("deadline"));

        function finish(reason: ForwardEnd): void {
            if (!isFinished) {
                isFinished = true;
                cancelSilence();
                cancelDeadline();
                connection.onChange = () => undefined;
                onEnd(reason);
            }
        }

        function readBuffered(): void {
            cancelSilence();
            cancelSilence = clock.after(silenceTimeoutMs, () => finish("silent"));
            for (const text of connection.chunks.splice(0)) {
                const reason = consume(text);
                if (reason !== undefined) {
                    finish(reason);
                    return;
                }
            }
            if (connection.end !== "open") {
                finish(connection.end === "cut" || sent.kind === "model" ? "cut" : "complete");
            }
        }

        connection.onChange = readBuffered;
        readBuffered();
    }

    function forwardEvents(text: string): ForwardEnd | undefined {
        const bytes = encoder.encode(text);
        if (injectedFault === "orderUnchecked") {
            sent.streamed += text;
            scanner.scan(bytes);
            return text.includes("[DONE]") ? "complete" : undefined;
        }
        const completeEnd = scanner.scan(bytes);
        sent.streamed += decoder.decode(bytes.subarray(scanner.undeliveredStart(), completeEnd));
        const state = scanner.state();
        return state === "open" ? undefined : state === "ended" ? "complete" : "outOfOrder";
    }

    function applySeedFault(call: UpstreamCall): UpstreamCall {
        const isRetry = !call.correlationId.endsWith("/0");
        return injectedFault === "otherSeedOnRetry" && isRetry
            ? { ...call, headers: { ...call.headers, "x-seed": "1" } }
            : call;
    }

    return {
        admit: (_, resume) => resume({ kind: "admitted" }),
        settle: (_, resume) => resume(undefined),
        claim: (effect, resume) => {
            if (injectedFault === "dispatchBeforeClaim") {
                resume({ kind: "won", claimId: "planted" });
                return;
            }
            dependencies.claims.claim(effect.req, resume);
        },
        conclude: (effect, resume) => {
            dependencies.claims.conclude(effect.key, effect.claimId, effect.conclusion);
            resume(undefined);
        },
        send: (effect, resume) => {
            open(applySeedFault(effect.call), result => {
                if (result.kind === "answered") {
                    opened = result.connection;
                    resume({ kind: "answered", head: opened.head });
                    return;
                }
                const isMisclassified = injectedFault === "lostTakenAsNotSent";
                resume({ kind: isMisclassified ? "notSent" : result.kind, detail: "" });
            });
        },
        forward: (effect, resume) => {
            scanner.reopen();
            read(opened!, effect.deadlineMs, forwardEvents, reason => {
                if (reason === "complete") {
                    end({ kind: "answer", text: sent.streamed });
                }
                const delivered = scanner.delivered();
                resume({ end: reason, delivered, outputTokens: delivered });
            });
        },
        collect: (effect, resume) => {
            let text = "";
            const consume = (chunk: string) => {
                text += chunk;
                return undefined;
            };
            read(opened!, effect.deadlineMs, consume, reason => {
                resume(
                    reason === "complete"
                        ? { kind: "whole", body: encoder.encode(text) }
                        : { kind: "broken", end: reason },
                );
            });
        },
        cancel: (_, resume) => resume(undefined),
        wait: (effect, resume) => {
            clock.after(effect.delayMs, () => resume("elapsed"));
        },
        answer: (effect, resume) => {
            end({ kind: "answer", text: decoder.decode(effect.answer.body) });
            resume(undefined);
        },
        refuse: (effect, resume) => {
            const { kind } = effect.refusal;
            end(
                injectedFault === "silentEnd" && sent.streamed !== ""
                    ? { kind: "closed" }
                    : { kind: "refusal", error: kind, outcome: errorTable[kind].outcome },
            );
            resume(undefined);
        },
    };
}
