/**
 * @module
 * Servers of the ports for peers, callers that look for entries, and the platform's own questions. Their requests have no bodies.
 */
import { createServer, type RequestListener, type Server } from "node:http";
import { createWaitingMemory } from "../../core/memory/createWaitingMemory.js";
import { dropBody } from "./dropBody.js";
import { limitRequests } from "./limitRequests.js";
import { parsingShare, readInTurns } from "./readInTurns.js";

/** Bytes that the connections of another port may hold together that are not parsed yet. */
const otherUnparsedBytes = 2 * 1_024 * 1_024;

/** Requests in progress on a connection of another port, beyond which it is closed. */
const maxOtherRequests = 8;

/** Size of the body of a request at another port, none of which has a use for it, in bytes. */
const maxBodyBytes = 65_536;

/** Time after which a connection of another port on which nothing moves is closed, in milliseconds. */
const otherTimeoutMs = 10_000;

/** Connections of a port with short answers. */
const maxOtherConnections = 512;

/** Returns the time on the monotonic clock, in milliseconds. */
const now = () => performance.now();

/**
 * Creates a server of a port other than the callers'; whoever does not read its answers holds little memory.
 *
 * @param listener - Answers a request.
 * @param maxConnections - Connections beyond which none is accepted.
 * @returns The server, which does not listen yet.
 */
export function createOtherServer(listener: RequestListener, maxConnections = maxOtherConnections): Server {
    const server = createServer();
    server.maxConnections = maxConnections;
    server.setTimeout(otherTimeoutMs);
    readInTurns(server, {
        ...parsingShare,
        onRead: () => undefined,
        memory: createWaitingMemory(otherUnparsedBytes, now),
        now,
        evict: socket => socket.destroy(),
    });
    const listenInTurns: RequestListener = (req, res) => {
        dropBody(req, maxBodyBytes);
        listener(req, res);
    };
    limitRequests(server, listenInTurns, { maxRequests: maxOtherRequests, isPaused: false });
    return server;
}
