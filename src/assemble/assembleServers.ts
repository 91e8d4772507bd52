/**
 * @module
 * Assembles the HTTP servers: callers' requests, readiness, the list of entries, state for peers, and metrics.
 */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { chooseEntries } from "../core/fleet/chooseEntries.js";
import { listServing } from "../core/fleet/listServing.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import { createWaitingMemory } from "../core/memory/createWaitingMemory.js";
import { limitWaitingConnections } from "../core/memory/limitWaitingConnections.js";
import { planMemory } from "../core/memory/planMemory.js";
import { createAnswerMemory } from "../core/proxy/createAnswerMemory.js";
import { limitCallerConnections } from "../core/proxy/limitCallerConnections.js";
import type { RouteIndex } from "../core/routes/indexRoutes.js";
import { closeExpiredConnections } from "../io/http/closeExpiredConnections.js";
import { createCallerConnections, type EvictionReason } from "../io/http/createCallerConnections.js";
import { createConnectionGate } from "../io/http/createConnectionGate.js";
import { createListenerGroup, type ListenerGroup } from "../io/http/createListenerGroup.js";
import { createOtherServer } from "../io/http/createOtherServer.js";
import { createPathListener } from "../io/http/createPathListener.js";
import { limitRequests } from "../io/http/limitRequests.js";
import { parsingShare, readInTurns } from "../io/http/readInTurns.js";
import { sendJson } from "../io/http/sendJson.js";
import { shareReading } from "../io/metrics/shareReading.js";
import type { Fleet } from "./assembleFleet.js";
import { createPeerListener, type PeerAnswers } from "./createPeerListener.js";
import { recordEviction } from "./recordEviction.js";
import type { InstanceContext } from "./routerPorts.js";

/** What the servers need in addition to the instance's context. */
export interface ServerSources extends PeerAnswers {
    readonly fleet: Fleet;
    /** The listeners that have to listen before the instance is ready. */
    readonly listeners: ListenerGroup;
    readonly routes: () => RouteIndex | undefined;
    readonly isReady: () => boolean;
    readonly handle: RequestListener;
    /** Receives the number of bytes of each read of callers' connections. */
    readonly recordRead: (bytes: number) => void;
}

/** The servers. */
export interface Servers {
    /** Applies the limits of the configuration in force to connections of callers. */
    readonly applyLimits: () => void;
    /** Number of open connections of callers. */
    readonly countConnections: () => number;
    /** Number of callers' connections that were accepted so far. */
    readonly countAccepted: () => number;
    /** Accepts connections of callers without reading them, until the returned function is called. */
    readonly holdConnections: () => () => void;
    /** Accepts no connections of callers; those that wait to be accepted are reset. */
    readonly stopListening: () => void;
    /** Accepts no connections of callers, and closes the open ones once their requests in progress are answered. */
    readonly closeCallers: () => void;
    readonly close: () => void;
}

/** Time to live of a list of entries at callers, in milliseconds; some callers use it for three times as long. */
const entryTtlMs = 1_000;

/** Maximum size of a request head for the parser, in bytes; the configured limit is checked after parsing. */
const maxHeadBytes = 65_536;

/** Connections of the metrics port, whose answers are long. */
const maxMetricsConnections = 32;

/** Interval at which the timeout of incomplete request heads is checked, in milliseconds. */
const headCheckMs = 500;

/** Time beyond the configured idle timeout for which a connection stays open, as a request may be on its way, in ms. */
const idleSlackMs = 500;

/** Requests in progress on a connection of a caller, beyond which no more are read for the time being. */
const maxCallerRequests = 64;

/** Listens on "ip:port", again after each failure. */
function listen(server: Server, address: string, backlog: number, listeners: ListenerGroup): Server {
    const [host, port] = address.split(":");
    const listener = listeners.add(address, () => server.listen(Number(port), host, backlog));
    server.on("listening", listener.recordOpened);
    server.on("error", listener.recordFailed);
    listener.open();
    return server;
}

/**
 * Starts the servers.
 *
 * @param context - The instance.
 * @param sources - The data for the answers.
 * @returns The servers.
 */
export function assembleServers(context: InstanceContext, sources: ServerSources): Servers {
    const { settings, ports, writeLog } = context;
    const { listeners } = sources;
    const maxConnections = limitCallerConnections(settings);
    const memory = planMemory(settings.memoryBytes);
    const backlog = limitWaitingConnections(settings.memoryBytes);
    const connections = createCallerConnections(maxConnections, context.clock, { evict: evictConnection });
    /** The last request of each connection. */
    const lastRequests = new WeakMap<Socket, IncomingMessage>();
    let accepted = 0;
    let isClosed = false;

    /** Whoever makes the least progress yields; its request is not run, since it is not complete, or was answered. */
    function evictConnection(socket: Socket, reason: EvictionReason): void {
        recordEviction(context, socket, reason, { connections: connections.count(), maxConnections });
        socket.destroy();
    }

    function recordDiscarded(req: IncomingMessage): void {
        const requestId = ports.codec.readRequest(req.method ?? "", req.url ?? "", req.rawHeaders)
            .map(head => head.id).unwrapOr("");
        context.metrics.requests.inc({ kind: "unknown", result: "discarded", written: "false" });
        writeLog("requestDiscarded", { requestId, isStopping: isClosed });
    }

    /** A request that crosses the close of its connection is not served: its answer could not be written. */
    function handle(req: IncomingMessage, res: ServerResponse): void {
        const { socket } = req;
        if (!connections.beginRequest(socket, res)) {
            recordDiscarded(req);
            req.resume();
            connections.close(socket);
            return;
        }
        lastRequests.set(socket, req);
        // A response whose connection closes first need not end: the connection is forgotten then.
        res.once("close", () => connections.endRequest(socket));
        sources.handle(req, res);
    }

    function listEntries(failureDomain: string | undefined): readonly string[] {
        const own = sources.isReady() ? [sources.fleet.self()] : [];
        return chooseEntries([...own, ...listServing(sources.fleet.listLive())], failureDomain);
    }

    function answerEntries(url: URL, res: ServerResponse): void {
        const { failureDomain } = ports.readEntryQuery(url.searchParams);
        const entries = listEntries(failureDomain);
        if (entries.length === 0) {
            sendJson(res, 503, JSON.stringify({ error: "no instance is ready" }));
            return;
        }
        sendJson(res, 200, ports.formatEntries(entries, Math.min(entryTtlMs, settings.maxEntryTtlMs)));
    }

    const callerServer = createServer(
        { maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: headCheckMs, requestTimeout: 0 },
    );
    const gate = createConnectionGate(callerServer);
    const pipelined = createAnswerMemory(memory.pipelinedBytes, undefined, { now: context.clock.now });
    readInTurns(callerServer, {
        ...parsingShare,
        onRead: sources.recordRead,
        isShort: () => pipelined.totalBytes() > memory.pipelinedBytes,
        memory: createWaitingMemory(memory.unparsedBytes, context.clock.now),
        now: context.clock.now,
        evict: socket => evictConnection(socket, "unparsed"),
    });
    limitRequests(callerServer, handle, {
        maxRequests: maxCallerRequests,
        isPaused: true,
        pipelined: { memory: pipelined, maxBytes: memory.pipelinedBytes },
        evict: socket => evictConnection(socket, "pipelined"),
    });
    callerServer.maxConnections = maxConnections;
    callerServer.on("connection", (socket: Socket) => {
        accepted += 1;
        connections.add(socket);
    });
    callerServer.on("drop", () => writeLog("connectionRefused", { maxConnections }));
    callerServer.on("clientError", (error: Error & { code?: string; }, socket: Socket) => {
        writeLog("clientError", { detail: error.code ?? error.message });
        if (!socket.writable || socket.destroyed) {
            return;
        }
        // The caller would take this answer for the one to the request before.
        const isAfterRequest = !socket.readableEnded && lastRequests.get(socket)?.complete === true;
        if (isAfterRequest && connections.closeAfterRequests(socket)) {
            return;
        }
        const isTooLarge = error.code === "HPE_HEADER_OVERFLOW";
        const isTimeout = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
        const status = isTooLarge
            ? "431 Request Header Fields Too Large"
            : isTimeout
            ? "408 Request Timeout"
            : "400 Bad Request";
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    });
    closeExpiredConnections(callerServer, connections, {
        clock: context.clock,
        maxIdleMs: () => callerServer.keepAliveTimeout,
    });
    listen(callerServer, settings.callerAddress, backlog, listeners);

    const others = [
        listen(
            createOtherServer(createPathListener({
                [ports.readinessPath]: (_, res) => sendJson(res, sources.isReady() ? 200 : 503, "{}"),
            })),
            settings.readinessAddress,
            backlog,
            listeners,
        ),
        listen(
            createOtherServer(createPathListener({ [ports.entriesPath]: answerEntries })),
            settings.directoryAddress,
            backlog,
            listeners,
        ),
        listen(
            createOtherServer(createPeerListener(sources)),
            settings.peerAddress,
            backlog,
            listeners,
        ),
    ];

    const readMetrics = shareReading(() => context.metrics.registry.metrics());
    const metricsServer = createOtherServer((_, res) => {
        readMetrics().then(text => {
            res.writeHead(200, { "content-type": context.metrics.registry.contentType });
            res.end(text);
        }).catch((error: unknown) => {
            logInternalFailure(writeLog, error);
            res.destroy();
        });
    }, maxMetricsConnections);
    // Callers are served although the metrics port is in use: it is opened again, and nothing waits for it.
    const metricsListeners = createListenerGroup({
        clock: context.clock,
        onFailed: (address, err) => writeLog("listenFailed", { address, detail: err.message }),
        onListening: () => undefined,
    });
    others.push(listen(metricsServer, settings.metricsAddress, backlog, metricsListeners));

    function stopListening(): void {
        listeners.stop();
        // The HTTP server's own close destroys idle connections, and a connection that is destroyed with unread bytes
        // is reset, which can discard an answer that the caller has not read yet.
        NetServer.prototype.close.call(callerServer);
    }

    return {
        applyLimits: () => {
            const limits = sources.routes()?.table.limits;
            if (limits !== undefined) {
                callerServer.keepAliveTimeout = limits.idleTimeoutMs + idleSlackMs;
                callerServer.headersTimeout = limits.headerTimeoutMs;
            }
        },
        countConnections: connections.count,
        countAccepted: () => accepted,
        holdConnections: gate.hold,
        stopListening,
        closeCallers: () => {
            isClosed = true;
            metricsListeners.stop();
            stopListening();
            connections.end();
        },
        close: () => {
            connections.destroy();
            others.forEach(server => server.close());
        },
    };
}
