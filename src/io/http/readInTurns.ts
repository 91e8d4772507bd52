/**
 * @module
 * Hands what arrives on the connections of an HTTP server to its parser in slices, one slice of a connection a turn of the event
 * loop. The parser turns a whole read of 64 KB into requests or pieces of a body, some thousands where they are short, before a
 * pause has an effect, and nobody else is served meanwhile.
 */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Progress } from "../../core/admission/chooseLeastProgress.js";
import { unreadConnectionBytes } from "../../core/constants.js";
import type { MemoryBudget } from "../../core/memory/createMemoryBudget.js";
import { deferInTurn } from "../_lib/deferInTurn.js";
import { type TrackedResponses, trackResponses } from "./_lib/trackResponses.js";

/** Options of {@link readInTurns}. */
export interface TurnReadOptions {
    /** Largest size of what is parsed as it is, in bytes. */
    readonly wholeBytes: number;
    /** Line ends in a slice of more: each piece of a body has two, and each request three or more. */
    readonly sliceLines: number;
    /** Calls an action in a later turn; one is called in a turn. */
    readonly defer: (action: () => void) => void;
    /** Receives the number of bytes of each read. */
    readonly onRead: (bytes: number) => void;
    /** Whether slices are shorter, because memory for requests is short. */
    readonly isShort?: () => boolean;
    /** Memory for what connections that wait for their turn hold: what was read of them, and what was not. */
    readonly memory: Pick<MemoryBudget, "open">;
    readonly now: () => number;
    /** Closes a connection because others need the memory that it holds. */
    readonly evict: (socket: Socket) => void;
}

/** The usual share: up to how many bytes are parsed as they are, and how many line ends there are in a slice of more. */
export const parsingShare = { wholeBytes: 1_024, sliceLines: 192, defer: deferInTurn } as const;

const nothing = Buffer.alloc(0);
const lineEnd = 0x0a;
const headEnd = "\r\n\r\n";

/** Share of the lines of a slice when memory is short. */
const shortShare = 0.125;

/** Unparsed bytes of a connection up to which it is read on: only a connection that is read shows that its caller has gone. */
const readAheadBytes = 16 * 1_024;

/** Size of a read behind which more has probably arrived, in bytes. */
const fullReadBytes = 64 * 1_024;

/** Time for which answers that are not read protect what was sent behind their requests, in milliseconds. */
const unreadTimeMs = 2_000;

/** What a connection is in the middle of. */
interface Message {
    /** Its last request; undefined before the first one. */
    req: IncomingMessage | undefined;
    /** Bytes that certainly belong to the body of a known length of the last request. */
    bodyBytes: number;
}

/** Returns the size of the first slice of bytes: all of them, or up to the line end of a number. */
function measureSlice(bytes: Buffer, { wholeBytes, sliceLines, isShort }: TurnReadOptions): number {
    if (bytes.length <= wholeBytes) {
        return bytes.length;
    }
    const lines = isShort?.() === true ? sliceLines * shortShare : sliceLines;
    let end = -1;
    for (let line = 0; line < lines; line += 1) {
        end = bytes.indexOf(lineEnd, end + 1);
        if (end === -1) {
            return bytes.length;
        }
    }
    return end + 1;
}

/** Returns the size of the head with which bytes begin, 0 if they begin with something else or its end is not among them. */
function measureHead(bytes: Buffer, { req }: Message): number {
    const isBetween = req === undefined || req.complete;
    return isBetween ? bytes.indexOf(headEnd) + headEnd.length : 0;
}

/** Parses what arrives on one connection in slices, and reads no more while much of it is left. */
function parseInTurns(
    socket: Socket,
    message: Message,
    responses: TrackedResponses,
    options: TurnReadOptions,
): void {
    const { defer, onRead, now } = options;
    const pushParsed = socket.push.bind(socket);
    const read = socket._read.bind(socket);
    const holding = options.memory.open();
    let rest: Buffer = nothing;
    let isQueued = false;
    /** Whether the connection is not read until its turn, since its last read was a full one. */
    let isResting = false;
    /** Since when it waits for turns, what was parsed since then, and when last; undefined while it does not wait. */
    let waiting: { readonly sinceMs: number; bytes: number; parsedMs: number; } | undefined;
    /** Whether what is handed on is a head and nothing else. */
    let isHead = false;
    const stopYielding = holding.yieldWhile({ readProgress, evict });

    /** A connection whose requests run does not yield, nor one whose answers were moving lately. */
    function readProgress(): Progress | undefined {
        if (waiting === undefined || responses.hasRunning(socket)) {
            return undefined;
        }
        const isStuck = now() - waiting.parsedMs >= unreadTimeMs;
        return responses.hasUnfinished(socket) && !isStuck ? undefined : waiting;
    }

    function close(): void {
        rest = nothing;
        waiting = undefined;
        stopYielding();
        holding.release();
    }

    function evict(): void {
        close();
        options.evict(socket);
    }

    /**
     * Counts what is held. A connection for whose rest there is no room is closed, unless its requests run, and so is one that
     * sends on although its last answer was sent.
     */
    function recordHeld(): void {
        if (rest.length === 0 && !isResting) {
            waiting = undefined;
            holding.hold(0);
            return;
        }
        waiting ??= { sinceMs: now(), bytes: 0, parsedMs: now() };
        const hasRoom = holding.hold(rest.buffer.byteLength + unreadConnectionBytes);
        const mustYield = rest.length > 0 || socket.writableFinished;
        if (!hasRoom && mustYield && !responses.hasUnfinished(socket)) {
            evict();
        }
    }

    function mayRead(): boolean {
        return !isResting && rest.length < readAheadBytes;
    }

    function push(chunk: unknown, encoding?: BufferEncoding): boolean {
        const reqBefore = message.req;
        const bytes = Buffer.isBuffer(chunk) ? chunk.length : 0;
        message.bodyBytes = Math.max(0, message.bodyBytes - bytes);
        if (waiting !== undefined) {
            waiting.bytes += bytes;
            waiting.parsedMs = now();
        }
        const mayPushMore = pushParsed(chunk, encoding);
        const { req } = message;
        if (req !== reqBefore && req?.complete === false) {
            // The slice may contain a part of the body: what is left of it is not less than this.
            const statedBytes = Number(req.headers["content-length"] ?? 0);
            message.bodyBytes = Math.max(0, statedBytes - (isHead ? 0 : bytes));
        }
        return mayPushMore;
    }

    /** Hands on the first so many bytes of the rest. */
    function pushFirst(bytes: number): boolean {
        const slice = rest.subarray(0, bytes);
        rest = bytes === rest.length ? nothing : rest.subarray(bytes);
        return push(slice);
    }

    /** A part of a body of a known length is one piece, whatever its line ends; the slice begins behind it. */
    function pushSlice(): boolean {
        if (rest.length > options.wholeBytes && message.bodyBytes === 0) {
            const headBytes = measureHead(rest, message);
            isHead = headBytes >= headEnd.length;
            if (isHead) {
                pushFirst(headBytes);
            }
            isHead = false;
        }
        let mayPushMore = true;
        if (message.bodyBytes > 0 && !socket.isPaused()) {
            mayPushMore = pushFirst(Math.min(rest.length, message.bodyBytes));
        }
        if (rest.length === 0 || socket.isPaused() || socket.destroyed) {
            return mayPushMore;
        }
        return pushFirst(measureSlice(rest, options));
    }

    /** Parses what is left in later turns. */
    function goOnLater(): void {
        const mayParse = rest.length > 0 && !socket.isPaused();
        if (!isQueued && !socket.destroyed && (isResting || mayParse)) {
            isQueued = true;
            defer(goOn);
        }
    }

    function goOn(): void {
        isQueued = false;
        if (socket.destroyed) {
            return;
        }
        const wasResting = isResting;
        isResting = false;
        if (rest.length > 0 && !socket.isPaused()) {
            pushSlice();
        }
        recordHeld();
        if (wasResting && mayRead()) {
            read(fullReadBytes);
        }
        goOnLater();
    }

    /** Parses the first slice of what was read, or puts it behind what waits. Returns whether to read on. */
    function accept(chunk: Buffer): boolean {
        const isWhole = rest.length === 0 && !socket.isPaused();
        if (isWhole && (chunk.length <= message.bodyBytes || measureSlice(chunk, options) === chunk.length)) {
            return push(chunk);
        }
        rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
        return !isWhole || pushSlice();
    }

    socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
        if (!Buffer.isBuffer(chunk)) {
            // The caller has gone: what it sent last would be served for nobody.
            close();
            return push(chunk, encoding);
        }
        onRead(chunk.length);
        isResting = chunk.length >= fullReadBytes;
        const mayPushMore = accept(chunk);
        if (socket.writableEnded) {
            // Nothing more is answered on the connection, which is read only so that its last answer is not lost.
            rest = nothing;
        }
        recordHeld();
        goOnLater();
        return mayPushMore && mayRead();
    };
    socket._read = size => {
        if (mayRead()) {
            read(size);
        }
    };
    socket.on("resume", goOnLater);
    socket.once("close", close);
}

/**
 * Lets a server parse what arrives in slices, so that a pause or the end of a connection has an effect between them.
 *
 * @param server - The server, without connections.
 * @param options - Size of a slice, and what the rest may hold.
 */
export function readInTurns(server: Server, options: TurnReadOptions): void {
    const responses = trackResponses(server);
    const messages = new WeakMap<Socket, Message>();
    server.on("request", (req: IncomingMessage) => {
        const message = messages.get(req.socket);
        if (message !== undefined) {
            message.req = req;
        }
    });
    server.on("connection", (socket: Socket) => {
        const message: Message = { req: undefined, bodyBytes: 0 };
        messages.set(socket, message);
        parseInTurns(socket, message, responses, options);
        // The server's parser reads the connection itself, past the stream, unless its data has a listener.
        socket.on("data", () => undefined);
    });
}
