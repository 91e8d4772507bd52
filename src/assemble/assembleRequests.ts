/**
 * @module
 * Assembles the serving of callers' requests on the product's own interface: runs their steps, and reports how they ended.
 */
import type { ServerResponse } from "node:http";
import { hashText } from "../core/_lib/hashText.js";
import { scoreRendezvous } from "../core/_lib/scoreRendezvous.js";
import type { Catalogue } from "../core/catalogue/catalogue.js";
import type { Upstream } from "../core/catalogue/catalogueEntry.js";
import { blockCharacters, millisecondsPerSecond } from "../core/constants.js";
import { runSteps } from "../core/effects/runSteps.js";
import type { Refusal } from "../core/errors/createRefusal.js";
import type { WriteLog } from "../core/logEvents/logEventTable.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import { routeToVersion } from "../core/orders/routeToVersion.js";
import { chooseWeightsVersion } from "../core/orders/weightsVersions.js";
import type { ModelRequestDependencies, ModelRequestReport } from "../core/request/modelRequestTypes.js";
import type { ModelRequest, RequestContext, ServiceRequest } from "../core/request/requestTypes.js";
import { serveModelRequest } from "../core/request/serveModelRequest.js";
import { serveServiceRequest } from "../core/request/serveServiceRequest.js";
import type { CostRouter } from "../core/routing/createCostRouter.js";
import type { LoadView } from "../core/routing/createLoadView.js";
import type { Clock } from "../core/time/clock.js";
import type { ReportBuffer } from "../core/why/createReportBuffer.js";
import { createExchange, type Exchange, type ExchangeDependencies } from "../io/http/createExchange.js";
import type { Metrics } from "../io/metrics/createMetrics.js";

/** Dependencies of {@link assembleRequests}. */
export interface RequestsDependencies {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly writeLog: WriteLog;
    readonly catalogue: () => Catalogue;
    /** Receives how each request ended. */
    readonly reports: ReportBuffer;
    readonly exchange: ExchangeDependencies;
    readonly router: CostRouter;
    readonly loadView: LoadView;
    /** Retries, and what they are decided by. */
    readonly retrying: Omit<ModelRequestDependencies, "chooseUpstream" | "trackInFlight" | "reportFeedback">;
    /** Returns the upstreams in service for a plain service. */
    readonly listServices: (service: string) => readonly Upstream[];
}

/** Serves requests whose heads and bodies are valid. */
export interface Requests {
    readonly serveModel: (req: ModelRequest, res: ServerResponse) => void;
    readonly serveService: (req: ServiceRequest, res: ServerResponse) => void;
}

/** Leading characters of a prompt whose hash selects the weights version during a rollout. */
const versionKeyCharacters = 4 * blockCharacters;

/**
 * Assembles the serving of requests.
 *
 * @param dependencies - The daemon's components.
 * @returns Functions that serve a request to its end.
 */
export function assembleRequests(dependencies: RequestsDependencies): Requests {
    const { clock, metrics, writeLog, catalogue, reports, router, loadView, retrying } = dependencies;

    function recordEnd(kind: string, exchange: Exchange, arrivedMs: number, result: string, customer: string): void {
        metrics.inProgress.dec();
        metrics.requests.inc({ kind, result });
        if (result !== "answered") {
            metrics.refusals.inc({ kind: result, customer });
        }
        const firstByteMs = exchange.firstByteMs();
        if (firstByteMs !== undefined) {
            metrics.timeToFirstByte.observe({ kind }, (firstByteMs - arrivedMs) / millisecondsPerSecond);
        }
    }

    function recordPromptTokens(report: ModelRequestReport): void {
        metrics.promptTokens.inc({ cached: "yes" }, report.cachedTokens);
        metrics.promptTokens.inc({ cached: "no" }, Math.max(0, report.promptTokens - report.cachedTokens));
    }

    function describeEnd(req: RequestContext, arrivedMs: number, refusal: Refusal | undefined) {
        return {
            requestId: req.requestId,
            customer: req.customer.id,
            result: refusal?.kind ?? "answered",
            detail: refusal?.detail ?? "",
            durationMs: clock.now() - arrivedMs,
            endedMs: clock.wallNow(),
        };
    }

    /** During a rollout, requests with the same prompt prefix get the same weights version. */
    function withServedVersion(req: ModelRequest): ModelRequest {
        const { model, customer, prompt } = req;
        const key = hashText(prompt.slice(0, versionKeyCharacters), hashText(customer.id));
        const weightsVersion = chooseWeightsVersion(catalogue(), model.id, key) ?? model.weightsVersion;
        return weightsVersion === model.weightsVersion ? req : { ...req, model: { ...model, weightsVersion } };
    }

    function serveModel(req: ModelRequest, res: ServerResponse): void {
        const arrivedMs = clock.now();
        const exchange = createExchange(req.requestId, res, dependencies.exchange);
        metrics.inProgress.inc();
        const steps = serveModelRequest(withServedVersion(req), {
            chooseUpstream: routeToVersion(router.chooseUpstream, catalogue),
            trackInFlight: loadView.recordInFlight,
            reportFeedback: router.reportFeedback,
            ...retrying,
        });
        runSteps(steps, exchange.handlers, report => {
            recordPromptTokens(report);
            recordEnd("model", exchange, arrivedMs, report.refusal?.kind ?? "answered", req.customer.id);
            writeLog("requestEnded", { requestId: req.requestId, ...report });
            reports.add({
                ...report,
                ...describeEnd(req, arrivedMs, report.refusal),
                kind: "model",
                target: req.model.id,
            });
        }, error => failInternally(req.requestId, res, error));
    }

    function serveService(req: ServiceRequest, res: ServerResponse): void {
        const arrivedMs = clock.now();
        const exchange = createExchange(req.requestId, res, dependencies.exchange);
        metrics.inProgress.inc();
        const rankUpstreams = (service: string) =>
            [...dependencies.listServices(service)].sort((left, right) =>
                scoreRendezvous(hashText(req.requestId), left.id) > scoreRendezvous(hashText(req.requestId), right.id)
                    ? -1
                    : 1
            );
        const steps = serveServiceRequest(req, { rankUpstreams, wallNow: clock.wallNow, ...retrying });
        runSteps(steps, exchange.handlers, report => {
            recordEnd("service", exchange, arrivedMs, report.refusal?.kind ?? "answered", req.customer.id);
            writeLog("requestEnded", { requestId: req.requestId, ...report });
            const tokens = { promptTokens: 0, cachedTokens: 0, outputTokens: 0, attempts: [] };
            const end = describeEnd(req, arrivedMs, report.refusal);
            reports.add({ ...tokens, ...report, ...end, kind: "service", target: req.service.id });
        }, error => failInternally(req.requestId, res, error));
    }

    function failInternally(requestId: string, res: ServerResponse, error: unknown): void {
        metrics.inProgress.dec();
        logInternalFailure(writeLog, error, { requestId });
        res.destroy();
    }

    return { serveModel, serveService };
}
