/**
 * @module
 * Hands what arrives on the connections of an HTTP server to its parser in slices, one slice of a connection a turn of the event
 * loop. The parser turns a whole read of 64 KB into requests or pieces of a body, some thousands where they are short, before a
 * pause has an effect, and nobody else is served meanwhile.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { AnswerMemory } from "../../core/proxy/createAnswerMemory.js";
import { deferInTurn } from "../_lib/deferInTurn.js";

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
    /** Memory for what was read and not parsed yet; the connection that holds most is closed when there is too little. */
    readonly unparsed: Pick<AnswerMemory, "open">;
    /** Closes a connection because all of them hold too much that is not parsed. */
    readonly evict: (socket: Socket) => void;
}

/** The usual share: up to how many bytes are parsed as they are, and how many line ends there are in a slice of more. */
export const parsingShare = { wholeBytes: 1_024, sliceLines: 192, defer: deferInTurn } as const;

const nothing = Buffer.alloc(0);
const lineEnd = 0x0a;

/** Returns the size of the first slice of bytes: all of them, or up to the line end of a number. */
function measureSlice(bytes: Buffer, { wholeBytes, sliceLines }: TurnReadOptions): number {
    if (bytes.length <= wholeBytes) {
        return bytes.length;
    }
    let end = -1;
    for (let line = 0; line < sliceLines; line += 1) {
        end = bytes.indexOf(lineEnd, end + 1);
        if (end === -1) {
            return bytes.length;
        }
    }
    return end + 1;
}

/** Parses what arrives on one connection in slices, and reads no more while some of it is left. */
function parseInTurns(socket: Socket, options: TurnReadOptions): void {
    const { defer, onRead, unparsed, evict } = options;
    const push = socket.push.bind(socket);
    const read = socket._read.bind(socket);
    const holding = unparsed.open(() => {
        close();
        evict(socket);
    });
    let rest: Buffer = nothing;
    /** The end of the connection, if it came before the rest was parsed. */
    let end: { readonly chunk: unknown; } | undefined;
    let isQueued = false;

    function close(): void {
        rest = nothing;
        holding.close();
    }

    function pushSlice(): boolean {
        const sliceBytes = measureSlice(rest, options);
        const slice = rest.subarray(0, sliceBytes);
        rest = rest.subarray(sliceBytes);
        holding.set(rest.length === 0 ? 0 : rest.buffer.byteLength);
        return push(slice);
    }

    function goOnLater(): void {
        if (rest.length > 0 && !isQueued && !socket.isPaused()) {
            isQueued = true;
            defer(goOn);
        }
    }

    function goOn(): void {
        isQueued = false;
        if (socket.destroyed || socket.isPaused() || rest.length === 0) {
            return;
        }
        pushSlice();
        if (rest.length === 0 && end !== undefined) {
            push(end.chunk);
        }
        goOnLater();
    }

    socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
        if (!Buffer.isBuffer(chunk) && rest.length > 0) {
            end = { chunk };
            return false;
        }
        if (Buffer.isBuffer(chunk)) {
            onRead(chunk.length);
        }
        const isWhole = rest.length === 0 && !socket.isPaused();
        if (!Buffer.isBuffer(chunk) || (isWhole && measureSlice(chunk, options) === chunk.length)) {
            return push(chunk, encoding);
        }
        rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
        holding.set(rest.buffer.byteLength);
        const mayPushMore = isWhole && pushSlice();
        goOnLater();
        return mayPushMore && rest.length === 0;
    };
    socket._read = size => {
        if (rest.length === 0) {
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
    server.on("connection", (socket: Socket) => {
        parseInTurns(socket, options);
        // The server's parser reads the connection itself, past the stream, unless its data has a listener.
        socket.on("data", () => undefined);
    });
}
