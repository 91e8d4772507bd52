/**
 * @module
 * Handles callers' requests: validates them against the configuration, reads their bodies and runs their steps.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type ActionSet, createActionSet } from "../../core/_lib/createActionSet.js";
import type { Refusal } from "../../core/errors/createRefusal.js";
import { errorTable } from "../../core/errors/errorTable.js";
import { logInternalFailure } from "../../core/logEvents/logInternalFailure.js";
import type { BlockPool } from "../../core/memory/createBlockPool.js";
import type { MemoryBudget } from "../../core/memory/createMemoryBudget.js";
import type { AnswerMemory } from "../../core/proxy/createAnswerMemory.js";
import { createEndReport, type EndReport, type RequestEnd } from "../../core/proxy/createEndReport.js";
import type { ProxyRequest } from "../../core/proxy/proxyTypes.js";
import type { RouteIndex } from "../../core/routes/indexRoutes.js";
import type { Shutdown } from "../../core/shutdown/createShutdown.js";
import type { CancelTimer } from "../../core/time/clock.js";
import { onResponseOver } from "../http/_lib/onResponseOver.js";
import { dropBody } from "../http/dropBody.js";
import { readBody } from "../http/readBody.js";
import { type CheckedHead, checkRequestHead } from "./checkRequestHead.js";
import { createCallerExchange } from "./createCallerExchange.js";
import { createRequestRunner, type RequestRunnerDependencies } from "./createRequestRunner.js";
import type { ProxyCodec } from "./proxyCodec.js";

/** Dependencies of the service. */
export interface ProxyServiceDependencies extends RequestRunnerDependencies {
    readonly random: () => number;
    readonly codec: ProxyCodec;
    /** The configuration in force; undefined while there is none. */
    readonly routes: () => RouteIndex | undefined;
    /** Says which requests are still taken, and whether answers announce that their connection closes. */
    readonly shutdown: Pick<Shutdown, "isLeaving" | "progress" | "findRefusal" | "release" | "createRefusal">;
    /** Reads what has arrived on all connections, so that callers that have left are known. */
    readonly readArrived: () => Promise<unknown>;
    /** Memory for the bodies of requests. */
    readonly bodyMemory: Pick<MemoryBudget, "open">;
    /** Provides the memory of long bodies until they are complete. */
    readonly bodyBlocks?: BlockPool;
    /** Memory for answers that are not written out. */
    readonly answerMemory: Pick<AnswerMemory, "hold" | "open">;
    /** Receives a connection whose caller holds memory that others need, before it is closed. */
    readonly onEvicted: (socket: Socket, reason: "body" | "unread") => void;
    /** Receives the end of each request that was read, also of one that was not answered. */
    readonly onEnd: (end: RequestEnd) => void;
}

/** The service. */
export interface ProxyService {
    readonly handle: (req: IncomingMessage, res: ServerResponse) => void;
    /** Returns the number of requests that are received, in progress, or whose answers are not written out. */
    readonly countActive: () => number;
    /** Refuses the requests that wait for an upstream and can no longer be finished before the instance stops. */
    readonly refuseLate: () => void;
    /** Gives every request in progress its final answer, because the instance stops. */
    readonly stopRequests: () => void;
    /** Reports the requests in progress as ended, because the process ends. */
    readonly reportUnfinished: () => void;
}

/** Memory that a request and its connection take besides the body, in bytes. */
const requestBytes = 8 * 1_024;

/** Timeout for receiving a body when the route's timeout is longer. */
const maxBodyTimeoutMs = 30_000;

/** Size of a body that is dropped while there is no configuration that limits it, in bytes. */
const unknownBodyBytes = 16 * 1_024 * 1_024;

/** Maximum length of a malformed header in the log. */
const maxLoggedLength = 80;

/**
 * Creates the service.
 *
 * @param deps - The instance's components.
 * @returns The service.
 */
export function createProxyService(deps: ProxyServiceDependencies): ProxyService {
    /** Responses that are not written out. */
    const active = new Map<ServerResponse, EndReport>();
    let isStopped = false;
    const runner = createRequestRunner(deps);

    function toRequest(checked: CheckedHead, body: Buffer, arrivedMs: number): ProxyRequest {
        const { head, route, customer } = checked;
        return {
            id: head.id,
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: body.length === 0 ? undefined : body,
            route,
            service: checked.service,
            customer,
            prompt: head.prompt,
            tokenCount: head.tokenCount,
            lastEventId: head.lastEventId,
            arrivedMs,
            deadlineMs: checked.deadlineMs,
            priority: checked.priority,
        };
    }

    /** Returns the responses on the connection of this one that are not written out, in the order of their requests. */
    function listOnConnection(res: ServerResponse): readonly ServerResponse[] {
        return [...active.keys()].filter(one => one.req.socket === res.req.socket);
    }

    /** The connections of a leaving instance close after the last request that was read on them. */
    function mustCloseAfter(res: ServerResponse): boolean {
        return deps.shutdown.isLeaving() && listOnConnection(res).at(-1) === res;
    }

    /** Whether an answer before this one on the connection has closed it, or announced that it closes. */
    function isBehindClose(res: ServerResponse): boolean {
        if (res.req.socket.writableEnded) {
            return true;
        }
        // Only a response behind another one has no connection yet.
        const mayBe = (res.socket ?? undefined) === undefined || deps.shutdown.isLeaving();
        return mayBe && listOnConnection(res).some(one => one !== res && one.headersSent && !one.shouldKeepAlive);
    }

    function maxDroppedBytes(): number {
        return deps.routes()?.table.limits.maxBodyBytes ?? unknownBodyBytes;
    }

    function closeReport(report: EndReport, isWritten: boolean): void {
        report.close(isWritten, isStopped ? "stopped" : "callerGone", deps.clock.now());
    }

    /** Refuses a request that was not read completely, or not accepted. */
    function refuseHead(res: ServerResponse, requestId: string, refusal: Refusal, report: EndReport): void {
        const { req } = res;
        const { kind, detail } = refusal;
        report.decide(kind, deps.clock.now());
        const { status, outcome } = errorTable[kind];
        deps.onRefusal(kind);
        const tableVersion = deps.routes()?.table.version;
        deps.writeLog("requestRefused", { requestId, kind, status, outcome, detail, tableVersion, target: req.url });
        const mustClose = status === 400 || status === 413 || status === 431 || kind === "memoryFull";
        const isClosing = () => mustClose || mustCloseAfter(res);
        const caller = createCallerExchange(res, { requestId, isClosing });
        caller.refuse(refusal);
    }

    /** A count that cannot be read matters only to a quota. */
    function logMalformedCount({ head, customer }: CheckedHead): void {
        const { id: requestId, malformedTokenCount } = head;
        if (malformedTokenCount !== undefined && customer?.quota !== undefined) {
            const tokenCount = malformedTokenCount.slice(0, maxLoggedLength);
            deps.writeLog("tokenCountMalformed", { requestId, customer: customer.name, tokenCount });
        }
    }

    /** `overActions` run once the response is over. */
    async function accept(res: ServerResponse, overActions: ActionSet, report: EndReport): Promise<void> {
        const { req } = res;
        const arrivedMs = deps.clock.now();
        const read = deps.codec.readRequest(req.method ?? "", req.url ?? "", req.rawHeaders);
        const requestId = read.map(head => head.id).unwrapOr("");
        const checked = checkRequestHead(read, {
            routes: deps.routes(),
            rawHeaders: req.rawHeaders,
            arrivedMs,
            random: deps.random,
        });
        report.identify(requestId, checked.isOk ? checked.value.route : undefined);
        if (checked.isErr) {
            dropBody(req, maxDroppedBytes());
            refuseHead(res, requestId, checked.error, report);
            return;
        }
        logMalformedCount(checked.value);
        const caller = createCallerExchange(res, {
            requestId,
            isClosing: () => mustCloseAfter(res),
            onStreamStart: () => report.recordStreamStart(deps.clock.now()),
            holdAnswer: deps.answerMemory.hold,
            holdStream: deps.answerMemory.open,
            onAnswerEvicted: () => deps.onEvicted(res.req.socket, "unread"),
            onStreamEvicted: () =>
                deps.writeLog("streamCut", { requestId, detail: "what waits to be written holds too much memory" }),
        });
        const timeoutMs = Math.min(maxBodyTimeoutMs, checked.value.deadlineMs - arrivedMs);
        const reservation = deps.bodyMemory.open(requestBytes);
        overActions.add(reservation.release);
        let cancelStop: CancelTimer = () => undefined;
        const body = await readBody(req, deps.clock, {
            maxBytes: checked.value.maxBodyBytes,
            timeoutMs,
            reservation,
            ...(deps.bodyBlocks === undefined ? {} : { pool: deps.bodyBlocks }),
            onEvicted: () => deps.onEvicted(res.req.socket, "body"),
            onBegin: stop => {
                cancelStop = runner.onStop(() => stop(deps.shutdown.createRefusal(deps.clock.now())));
            },
        });
        cancelStop();
        if (body.isErr && caller.isDisconnected()) {
            return;
        }
        if (body.isErr) {
            refuseHead(res, requestId, body.error, report);
            return;
        }
        await deps.readArrived();
        if (caller.isDisconnected()) {
            return;
        }
        if (isBehindClose(res)) {
            report.decide("stopped", deps.clock.now());
            return;
        }
        const proxied = toRequest(checked.value, body.value, arrivedMs);
        overActions.add(() => deps.shutdown.release(proxied));
        runner.run(proxied, caller, report);
    }

    return {
        handle: (_, res) => {
            const overActions = createActionSet();
            const report = createEndReport(deps.clock.now(), deps.onEnd);
            active.set(res, report);
            onResponseOver(res, isWritten => {
                active.delete(res);
                closeReport(report, isWritten);
                overActions.run();
            });
            if (isBehindClose(res)) {
                report.decide("stopped", deps.clock.now());
                dropBody(res.req, maxDroppedBytes());
                return;
            }
            accept(res, overActions, report).catch((error: unknown) => {
                logInternalFailure(deps.writeLog, error);
                runner.failInternally(createCallerExchange(res, { requestId: "", isClosing: () => true }), report);
            });
        },
        countActive: () => active.size,
        refuseLate: runner.refuseLate,
        stopRequests: () => {
            runner.stop();
            isStopped = true;
        },
        reportUnfinished: () => active.forEach(report => closeReport(report, false)),
    };
}
