/**
 * @module
 * HTTP server for callers: routes, limits and the checks before a request reaches the core.
 */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import polka from "polka";
import { err, ok, type Result } from "true-myth/result";
import { type Catalogue, findEntry, listEntries } from "../../core/catalogue/catalogue.js";
import type { Customer } from "../../core/catalogue/catalogueEntry.js";
import { rankEntries } from "../../core/entries/rankEntries.js";
import { createRefusal, type Refusal } from "../../core/errors/createRefusal.js";
import type { ErrorKind } from "../../core/errors/errorTable.js";
import type { WriteLog } from "../../core/logEvents/logEventTable.js";
import { logInternalFailure } from "../../core/logEvents/logInternalFailure.js";
import type { MembershipView } from "../../core/membership/memberTypes.js";
import { isNonIdempotent } from "../../core/request/isNonIdempotent.js";
import { parseModelBody } from "../../core/request/parseModelBody.js";
import type { ModelRequest, RequestContext, ServiceRequest } from "../../core/request/requestTypes.js";
import type { Clock } from "../../core/time/clock.js";
import type { Settings } from "../../settings/settingsTable.js";
import type { Metrics } from "../metrics/createMetrics.js";
import { shareReading } from "../metrics/shareReading.js";
import { authenticate } from "./authenticate.js";
import { limitRequests } from "./limitRequests.js";
import { readBody } from "./readBody.js";
import { writeRefusal } from "./writeRefusal.js";

/** Dependencies of {@link createCallerServer}. */
export interface CallerServerDependencies {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly writeLog: WriteLog;
    readonly catalogue: () => Catalogue;
    readonly isCatalogueLoaded: () => boolean;
    readonly membership: () => MembershipView;
    readonly isReady: () => boolean;
    /** True once no new request may be accepted. */
    readonly isClosed: () => boolean;
    readonly serveModel: (req: ModelRequest, res: ServerResponse) => void;
    readonly serveService: (req: ServiceRequest, res: ServerResponse) => void;
}

type ModelPath = ModelRequest["path"];
type Handle = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/** Requests per second of one customer for each entry in its subset. */
const requestsPerSecondPerEntry = 100;

/** Requests in progress on a connection, beyond which no more are read for the time being. */
const maxConnectionRequests = 64;

const keyPattern = /^[\x21-\x7e]{1,200}$/;

function readHeader(req: IncomingMessage, name: string): string | undefined {
    const value = req.headers[name];
    return typeof value === "string" ? value : undefined;
}

/**
 * Creates the server; it is not listening yet.
 *
 * @param dependencies - The instance's parts.
 * @returns The server.
 */
export function createCallerServer(dependencies: CallerServerDependencies): Server {
    const { settings, clock, metrics } = dependencies;

    function refuse(res: ServerResponse, refusal: Refusal, requestId: string, customer: string): void {
        metrics.refusals.inc({ kind: refusal.kind, customer });
        dependencies.writeLog("requestRefused", { requestId, kind: refusal.kind, customer, detail: refusal.detail });
        writeRefusal(res, refusal, requestId);
    }

    function checkInstance(req: IncomingMessage): Refusal | undefined {
        if (dependencies.isClosed()) {
            return createRefusal("stopping", "");
        }
        if (!dependencies.isCatalogueLoaded()) {
            return createRefusal("noCatalogue", "catalogue not loaded yet from the log or a peer");
        }
        if (req.rawHeaders.length / 2 > settings.maxHeaderCount) {
            return createRefusal("headersTooLarge", `more than ${settings.maxHeaderCount} headers`);
        }
        return undefined;
    }

    function checkContext(req: IncomingMessage, requestId: string): Result<RequestContext, Refusal> {
        const refusal = checkInstance(req);
        if (refusal !== undefined) {
            return err(refusal);
        }
        const customer = authenticate(dependencies.catalogue(), readHeader(req, "authorization"));
        return customer.andThen(value => checkHeaders(req, value, requestId));
    }

    function checkHeaders(
        req: IncomingMessage,
        customer: Customer,
        requestId: string,
    ): Result<RequestContext, Refusal> {
        const idempotencyKey = readHeader(req, "idempotency-key");
        if (idempotencyKey !== undefined && !keyPattern.test(idempotencyKey)) {
            return err(createRefusal("malformedIdempotencyKey", "expected 1 to 200 printable characters"));
        }
        const deadline = readHeader(req, "x-deadline-ms");
        if (deadline !== undefined && !/^[1-9]\d{0,8}$/.test(deadline)) {
            return err(createRefusal("malformedRequest", "x-deadline-ms: expected a positive integer in milliseconds"));
        }
        const deadlineMs = clock.now() + Number(deadline ?? settings.defaultDeadlineMs);
        return ok({ requestId, customer, idempotencyKey, deadlineMs });
    }

    function readRequestBody(req: IncomingMessage): Promise<Result<Buffer, Refusal>> {
        return readBody(req, clock, { maxBytes: settings.maxBodyBytes, timeoutMs: settings.bodyTimeoutMs });
    }

    function failInternally(res: ServerResponse, error: unknown, requestId: string): void {
        logInternalFailure(dependencies.writeLog, error, { requestId });
        refuse(res, createRefusal("internalError", ""), requestId, "");
    }

    /** Runs the checks common to all requests, then `accept`; writes the refusal when a check fails. */
    async function acceptRequest(
        req: IncomingMessage,
        res: ServerResponse,
        accept: (context: RequestContext, body: Buffer) => Refusal | undefined,
    ): Promise<void> {
        const requestId = randomUUID();
        const context = checkContext(req, requestId);
        if (context.isErr) {
            req.resume();
            refuse(res, context.error, requestId, "");
            return;
        }
        const customer = context.value.customer.id;
        const body = await readRequestBody(req);
        try {
            const refusal = body.isErr ? body.error : accept(context.value, body.value);
            if (refusal !== undefined) {
                refuse(res, refusal, requestId, customer);
            }
        }
        catch (error) {
            failInternally(res, error, requestId);
        }
    }

    function handleModel(path: ModelPath): Handle {
        return (req, res) =>
            acceptRequest(req, res, (context, bytes) => {
                const parsed = parseModelBody(path, bytes.toString());
                if (parsed.isErr) {
                    return parsed.error;
                }
                const model = findEntry(dependencies.catalogue(), "model", parsed.value.model);
                if (model === undefined) {
                    return createRefusal("unknownModel", `"${parsed.value.model.slice(0, 80)}"`);
                }
                dependencies.serveModel({ ...context, ...parsed.value, model, path }, res);
                return undefined;
            });
    }

    const handleService: Handle = (req, res) =>
        acceptRequest(req, res, (context, body) => {
            const [, , id = "", ...rest] = (req.url ?? "").split("/");
            const service = findEntry(dependencies.catalogue(), "service", id);
            if (service === undefined) {
                return createRefusal("unknownService", `"${id.slice(0, 80)}"`);
            }
            const method = req.method ?? "GET";
            const path = `/${rest.join("/")}`;
            const unrepeatable = isNonIdempotent(service, method, path);
            if (unrepeatable && context.idempotencyKey === undefined) {
                return createRefusal("missingIdempotencyKey", `${method} ${path}`);
            }
            const contentType = readHeader(req, "content-type");
            dependencies.serveService(
                { ...context, service, method, path, contentType, body, isNonIdempotent: unrepeatable },
                res,
            );
            return undefined;
        });

    function writeJson(res: ServerResponse, status: number, value: unknown): void {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(value));
    }

    function handleModels(req: IncomingMessage, res: ServerResponse): void {
        const requestId = randomUUID();
        const context = checkContext(req, requestId);
        if (context.isErr) {
            refuse(res, context.error, requestId, "");
            return;
        }
        const models = listEntries(dependencies.catalogue(), "model");
        const data = models.map(model => ({ id: model.id, object: "model", created: 0, owned_by: model.owner }));
        writeJson(res, 200, { object: "list", data });
    }

    function handleEntries(req: IncomingMessage, res: ServerResponse): void {
        const query = new URL(req.url ?? "/", "http://entry").searchParams;
        const failureDomain = query.get("failureDomain") ?? undefined;
        const customer = query.get("customer") ?? "";
        const found = findEntry(dependencies.catalogue(), "customer", customer);
        const list = rankEntries(dependencies.membership(), customer, {
            limit: settings.entryLimit,
            lifetimeMs: settings.entryLifetimeMs,
            subsetSize: Math.ceil((found?.limits.requestsPerSecond ?? 0) / requestsPerSecondPerEntry),
            spread: Math.random(),
            ...(failureDomain === undefined ? {} : { failureDomain }),
        });
        writeJson(res, 200, list);
    }

    const readMetrics = shareReading(() => metrics.registry.metrics());

    async function handleMetrics(res: ServerResponse): Promise<void> {
        const text = await readMetrics();
        res.writeHead(200, { "content-type": metrics.registry.contentType });
        res.end(text);
    }

    function handleUnknown(_: IncomingMessage, res: ServerResponse): void {
        refuse(res, createRefusal("unknownRoute", ""), randomUUID(), "");
    }

    const server = createServer({
        maxHeaderSize: settings.maxHeaderBytes,
        headersTimeout: settings.bodyTimeoutMs,
        requestTimeout: 0,
        keepAliveTimeout: settings.entryLifetimeMs,
    });
    server.maxConnections = settings.maxConnections;
    server.maxHeadersCount = settings.maxHeaderCount + 1;
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        const kind: ErrorKind = toClientErrorKind(error.code);
        metrics.refusals.inc({ kind, customer: "" });
        socket.end(formatRawRefusal(kind));
    });

    const app = polka({ onNoMatch: handleUnknown })
        .post("/v1/chat/completions", handleModel("/v1/chat/completions"))
        .post("/v1/completions", handleModel("/v1/completions"))
        .get("/v1/models", handleModels)
        .get("/v1/entries", handleEntries)
        .get("/healthz", (_, res) => writeJson(res, 200, { status: "ok" }))
        .get("/readyz", (_, res) => {
            const isReady = dependencies.isReady();
            writeJson(res, isReady ? 200 : 503, { ready: isReady });
        })
        .get("/metrics", (_, res) => handleMetrics(res))
        .all("/services/*", handleService);
    limitRequests(server, (req, res) => void app.handler(req as polka.Request, res), {
        maxRequests: maxConnectionRequests,
        isPaused: true,
    });
    return server;
}

function toClientErrorKind(code: string | undefined): ErrorKind {
    if (code === "HPE_HEADER_OVERFLOW") {
        return "headersTooLarge";
    }
    return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "slowSender" : "malformedRequest";
}

function formatRawRefusal(kind: ErrorKind): string {
    const status = kind === "headersTooLarge" ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const line = kind === "slowSender" ? "408 Request Timeout" : status;
    const body = JSON.stringify({ error: { code: kind, outcome: "notRun" } });
    return `HTTP/1.1 ${line}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`;
}
