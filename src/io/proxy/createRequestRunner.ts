/**
 * @module
 * Runs the steps of requests: charges them, places them, sends them and answers their callers.
 */
import { createActionSet } from "../../core/_lib/createActionSet.js";
import { runSteps } from "../../core/effects/runSteps.js";
import { createRefusal, type Refusal } from "../../core/errors/createRefusal.js";
import { type ErrorKind, errorTable } from "../../core/errors/errorTable.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import { logInternalFailure } from "../../core/logEvents/logInternalFailure.js";
import type { Placer } from "../../core/placement/createPlacer.js";
import type { EndReport } from "../../core/proxy/createEndReport.js";
import type { FleetRetryBudget } from "../../core/proxy/createFleetRetryBudget.js";
import type { PlaceResult } from "../../core/proxy/proxyEffects.js";
import type { Placement, ProxyRequest, SendOutcome } from "../../core/proxy/proxyTypes.js";
import {
    type ChargedEffect,
    type ChargedEffectResults,
    type ChargeResult,
    serveChargedRequest,
} from "../../core/proxy/serveChargedRequest.js";
import type { ProxyRetryReason } from "../../core/proxy/serveProxyRequest.js";
import type { CustomerQuota } from "../../core/quotas/quotaTypes.js";
import type { Shutdown } from "../../core/shutdown/createShutdown.js";
import type { CancelTimer, Clock } from "../../core/time/clock.js";
import type { CallerExchange } from "./createCallerExchange.js";
import { describeSend, describeSendEnd } from "./describeSend.js";
import type { SendToUpstream } from "./upstreamSenderTypes.js";

/** For how long weights have been outdated. */
export interface OutdatedWeights {
    readonly outdatedMs: number;
    /** Whether that age was observed; else it is an assumption. */
    readonly isAgeObserved: boolean;
}

/** Charges a request to its customer's quota; returns a function that gives it up. */
export type ChargeQuota = (
    req: ProxyRequest,
    quota: CustomerQuota,
    onResult: (result: Exclude<ChargeResult, { readonly kind: "callerGone"; }>) => void,
) => CancelTimer;

/** Dependencies of {@link createRequestRunner}. */
export interface RequestRunnerDependencies {
    readonly clock: Clock;
    readonly writeLog: WriteLog;
    readonly placer: Placer;
    readonly send: SendToUpstream;
    readonly retryBudget: FleetRetryBudget;
    /** Left out where quotas are not kept. */
    readonly chargeQuota?: ChargeQuota;
    /** Describes outdated weights for which a request is sent; nothing while they are the newest. */
    readonly describeOutdated: (req: ProxyRequest, placement: Placement) => Partial<OutdatedWeights>;
    /** Rate limit of an upstream that has stated one, in requests per second. */
    readonly findRateLimit: (upstream: string) => number | undefined;
    /** Says which requests are still taken. */
    readonly shutdown: Pick<Shutdown, "progress" | "findRefusal" | "createRefusal">;
    readonly onRetry: (reason: ProxyRetryReason) => void;
    /** Receives each send that begins. */
    readonly onSendBegin: (req: ProxyRequest, placement: Placement) => void;
    /** Receives the outcome of each send. */
    readonly onSend: (req: ProxyRequest, outcome: SendOutcome) => void;
    /** Receives the time that a request waited for its placement, in milliseconds. */
    readonly onPlaced: (waitedMs: number) => void;
    readonly onRefusal: (kind: ErrorKind) => void;
}

/** Runs requests. */
export interface RequestRunner {
    /** Serves a request to its final answer. */
    readonly run: (req: ProxyRequest, caller: CallerExchange, report: EndReport) => void;
    /** Ends a request of which an exception has left the outcome unknown. */
    readonly failInternally: (caller: CallerExchange, report: EndReport) => void;
    /** Calls `action` when the instance stops; returns its removal. */
    readonly onStop: (action: () => void) => CancelTimer;
    /** Refuses the requests that wait for an upstream and can no longer be finished before the instance stops. */
    readonly refuseLate: () => void;
    /** Gives every request in progress its final answer, because the instance stops. */
    readonly stop: () => void;
}

/** A request that waits for an upstream. */
interface WaitingRequest {
    readonly mayHaveRun: boolean;
    /** Ends the wait. */
    readonly refuse: (refusal: Refusal) => void;
}

/**
 * Creates a runner.
 *
 * @param deps - The instance's components.
 * @returns The runner.
 */
export function createRequestRunner(deps: RequestRunnerDependencies): RequestRunner {
    const stopActions = createActionSet();
    const waiting = new Map<ProxyRequest, WaitingRequest>();

    /** Charges a request, unless its caller leaves or the instance stops before. */
    function charge(
        req: ProxyRequest,
        quota: CustomerQuota,
        caller: CallerExchange,
        resume: (result: ChargeResult) => void,
    ): void {
        if (caller.isDisconnected() || deps.chargeQuota === undefined) {
            resume(caller.isDisconnected() ? { kind: "callerGone" } : { kind: "charged", giveBack: () => undefined });
            return;
        }
        let isOver = false;
        let cancelCharge: CancelTimer = () => undefined;
        const endWait = (result: ChargeResult) => {
            isOver = true;
            cancelCharge();
            cancelStop();
            cancelOnDisconnect();
            resume(result);
        };
        const cancelOnDisconnect = caller.onDisconnect(() => endWait({ kind: "callerGone" }));
        const cancelStop = stopActions.add(() => {
            endWait({ kind: "refused", refusal: deps.shutdown.createRefusal(deps.clock.now()) });
        });
        const cancel = deps.chargeQuota(req, quota, result => {
            cancelCharge = () => undefined;
            endWait(result);
        });
        if (!isOver) {
            cancelCharge = cancel;
        }
    }

    function run(req: ProxyRequest, caller: CallerExchange, report: EndReport): void {
        let isPlaced = false;
        const releaseUpstream = () => {
            if (isPlaced) {
                isPlaced = false;
                deps.placer.end(req);
            }
        };
        const recordRequest = () => deps.retryBudget.recordRequest(req.service, deps.clock.now(), req.priority);
        if (req.customer?.quota === undefined) {
            recordRequest();
        }
        const steps = serveChargedRequest(req, {
            tryAcquireRetry: service => deps.retryBudget.tryAcquire(service, deps.clock.now(), req.priority),
            hasRetry: service => deps.retryBudget.hasRetry(service, deps.clock.now(), req.priority),
            hasAlternative: deps.placer.hasAlternative,
            onRetry: reason => {
                deps.onRetry(reason);
                deps.writeLog("requestRepeated", { requestId: req.id, reason });
            },
        });
        runSteps<void, ChargedEffect, ChargedEffectResults>(
            steps,
            {
                charge: ({ quota }, resume) =>
                    charge(req, quota, caller, result => {
                        // A request that its quota refuses earns no retry.
                        if (result.kind === "charged") {
                            recordRequest();
                        }
                        resume(result);
                    }),
                place: (effect, resume) => {
                    if (caller.isDisconnected()) {
                        resume({ kind: "callerGone" });
                        return;
                    }
                    const { mayHaveRun } = effect;
                    const refusal = deps.shutdown.findRefusal(req, mayHaveRun, deps.clock.now());
                    if (refusal !== undefined) {
                        resume({ kind: "refused", refusal });
                        return;
                    }
                    const requestedMs = deps.clock.now();
                    let cancelPlacement: () => void = () => undefined;
                    const endWait = (result: PlaceResult) => {
                        cancelPlacement();
                        cancelOnDisconnect();
                        waiting.delete(req);
                        resume(result);
                    };
                    const cancelOnDisconnect = caller.onDisconnect(() => endWait({ kind: "callerGone" }));
                    waiting.set(req, { mayHaveRun, refuse: late => endWait({ kind: "refused", refusal: late }) });
                    cancelPlacement = deps.placer.place(req, effect, result => {
                        isPlaced = result.kind === "placed";
                        deps.onPlaced(deps.clock.now() - requestedMs);
                        cancelPlacement = () => undefined;
                        endWait(result);
                    });
                },
                send: (effect, resume) => {
                    if (caller.isDisconnected()) {
                        releaseUpstream();
                        resume({ kind: "callerGone" });
                        return;
                    }
                    const { placement } = effect;
                    const rateLimit = deps.findRateLimit(placement.upstream.id);
                    const nowMs = deps.clock.now();
                    const stop = deps.shutdown.progress(nowMs);
                    deps.writeLog("requestSent", {
                        ...describeSend(req, placement, nowMs, stop),
                        ...deps.describeOutdated(req, placement),
                        rateLimit,
                    });
                    deps.onSendBegin(req, placement);
                    const cancelStop = stopActions.add(() => stopSend());
                    const stopSend = deps.send(req, effect, caller, outcome => {
                        cancelStop();
                        releaseUpstream();
                        deps.onSend(req, outcome);
                        if (outcome.kind !== "answered" && outcome.kind !== "finished") {
                            deps.writeLog("sendEnded", describeSendEnd(req, placement, outcome));
                        }
                        if (outcome.kind === "finished") {
                            report.decide("answered", deps.clock.now());
                        }
                        resume(outcome);
                    });
                },
                answer: (effect, resume) => {
                    caller.answer(effect.answer);
                    report.decide("answered", deps.clock.now());
                    resume(undefined);
                },
                refuse: (effect, resume) => {
                    const { kind, detail, retryAfterMs } = effect.refusal;
                    const { status, outcome } = errorTable[kind];
                    deps.onRefusal(kind);
                    deps.writeLog("requestRefused", { requestId: req.id, kind, status, outcome, detail, retryAfterMs });
                    caller.refuse(effect.refusal);
                    report.decide(kind, deps.clock.now());
                    resume(undefined);
                },
                cut: (effect, resume) => {
                    deps.writeLog("streamCut", { requestId: req.id, detail: effect.detail });
                    caller.abort();
                    report.decide("cut", deps.clock.now());
                    resume(undefined);
                },
            },
            () => undefined,
            error => {
                waiting.delete(req);
                releaseUpstream();
                logInternalFailure(deps.writeLog, error, { requestId: req.id });
                failInternally(caller, report);
            },
        );
    }

    /** A connection that closes without an answer would leave its caller without a reason. */
    function failInternally(caller: CallerExchange, report: EndReport): void {
        report.decide("internalError", deps.clock.now());
        if (caller.hasStarted()) {
            caller.abort();
            return;
        }
        caller.refuse(createRefusal("internalError", ""));
    }

    return {
        run,
        failInternally,
        onStop: stopActions.add,
        refuseLate: () => {
            for (const [req, { mayHaveRun, refuse }] of waiting) {
                const refusal = deps.shutdown.findRefusal(req, mayHaveRun, deps.clock.now());
                if (refusal !== undefined) {
                    refuse(refusal);
                }
            }
        },
        stop: () => {
            const refusal = deps.shutdown.createRefusal(deps.clock.now());
            [...waiting.values()].forEach(request => request.refuse(refusal));
            stopActions.run();
        },
    };
}
