/**
 * @module
 * HTTP server of the peer router.
 */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { ok, type Result } from "true-myth/result";
import type { Refusal } from "../../core/errors/createRefusal.js";
import type { Clock } from "../../core/time/clock.js";
import { dropBody } from "../http/dropBody.js";
import { limitRequests } from "../http/limitRequests.js";
import { readBody } from "../http/readBody.js";
import { writeRefusal } from "../http/writeRefusal.js";
import type { OperatorService } from "../operator/operatorRouter.js";
import { createPeerRouter, type PeerService } from "./peerRouter.js";
import type { PeerContext } from "./trpcBase.js";

/** Options of {@link createPeerServer}. */
export interface PeerServerOptions {
    readonly peerSecret: string;
    readonly operatorSecret: string;
    readonly onRejected: () => void;
    readonly clock: Clock;
}

/** Maximum size of a peer call's body. */
const maxPeerBodyBytes = 8 << 20;

/** Size of a body behind a wrong secret beyond which the connection is closed, in bytes. */
const maxUnknownBodyBytes = 64 << 10;

/** Time for a call to arrive, in milliseconds. */
const callTimeoutMs = 10_000;

/** Requests in progress on a connection, beyond which no more are read for the time being. */
const maxConnectionRequests = 32;

function isSameSecret(given: string, expected: string): boolean {
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(given), digest(expected));
}

/**
 * Creates the server without listening.
 *
 * @param service - Handlers of the calls of peers.
 * @param operatorService - Handlers of the calls of operators.
 * @param options - The secrets, and the callback for calls with a wrong one.
 * @returns The server.
 */
export function createPeerServer(
    service: PeerService,
    operatorService: OperatorService,
    options: PeerServerOptions,
): Server {
    function findCaller(req: IncomingMessage): PeerContext["caller"] {
        const given = (req.headers.authorization ?? "").replace(/^Bearer /, "");
        if (isSameSecret(given, options.peerSecret)) {
            return "peer";
        }
        if (isSameSecret(given, options.operatorSecret)) {
            return "operator";
        }
        options.onRejected();
        return "unauthenticated";
    }

    /** Callers of requests in progress. */
    const callers = new WeakMap<IncomingMessage, PeerContext["caller"]>();

    const handler = createHTTPHandler({
        router: createPeerRouter(service, operatorService),
        createContext: ({ req }): PeerContext => ({ caller: callers.get(req) ?? "unauthenticated" }),
        maxBodySize: maxPeerBodyBytes,
    });

    /** What somebody without a secret sends is not kept: the refusal needs none of it. */
    function readCall(req: IncomingMessage, caller: PeerContext["caller"]): Promise<Result<Buffer, Refusal>> {
        if (caller === "unauthenticated") {
            dropBody(req, maxUnknownBodyBytes);
            return Promise.resolve(ok(Buffer.alloc(0)));
        }
        return readBody(req, options.clock, { maxBytes: maxPeerBodyBytes, timeoutMs: callTimeoutMs });
    }

    /** tRPC takes the text of a body that was read, and would itself keep the pieces of one. */
    async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const caller = findCaller(req);
        callers.set(req, caller);
        const body = await readCall(req, caller);
        if (body.isErr) {
            writeRefusal(res, body.error, "");
            return;
        }
        await handler(Object.assign(req, { body: body.value.toString() }), res);
    }

    const server = createServer();
    limitRequests(server, (req, res) => void answer(req, res), {
        maxRequests: maxConnectionRequests,
        isPaused: true,
    });
    server.headersTimeout = 5_000;
    server.requestTimeout = callTimeoutMs;
    server.keepAliveTimeout = 20_000;
    return server;
}
