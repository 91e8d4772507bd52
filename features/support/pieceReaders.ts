/**
 * @module
 * Every reader of bytes that arrive in pieces, driven without sockets.
 */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { IncomingMessage, type ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { createBlockBuffer } from "../../src/core/memory/createBlockBuffer.js";
import { createMemoryBudget } from "../../src/core/memory/createMemoryBudget.js";
import { createEventScanner } from "../../src/core/stream/createEventScanner.js";
import { createEventSplitter } from "../../src/core/stream/createEventSplitter.js";
import type { Clock } from "../../src/core/time/clock.js";
import { collectAnswer } from "../../src/io/_lib/collectAnswer.js";
import { readBody } from "../../src/io/http/readBody.js";
import { createAnswerCollection } from "../../src/io/proxy/createAnswerCollection.js";
import { collectBody } from "../../src/io/upstream/collectBody.js";
import { forwardEvents } from "../../src/io/upstream/forwardEvents.js";

/** A reader at work on one body. */
export interface PieceReader {
    /** Hands on a piece; resolves when the next may follow. */
    readonly push: (piece: Buffer) => Promise<void> | void;
    /** Memory that the reader says to hold, in bytes; undefined where it says nothing. */
    readonly heldBytes?: () => number;
    /** Ends the body and returns what was read of it, in a form that can be compared. */
    readonly end: () => unknown;
}

/** The body that a reader is to read. */
export interface ExpectedBody {
    /** Number of bytes that will follow. */
    readonly length: number;
    /** Limit of the readers that have one as an option, in bytes. */
    readonly maxBytes: number;
}

const still: Clock = { now: () => 0, wallNow: () => 0, after: () => () => undefined };

function toHex(bytes: Uint8Array): string {
    return Buffer.from(bytes).toString("hex");
}

function openBlocks({ maxBytes }: ExpectedBody): PieceReader {
    const buffer = createBlockBuffer({ maxBytes });
    let isWhole = true;
    return {
        push: piece => {
            isWhole &&= buffer.append(piece) === "appended";
        },
        heldBytes: buffer.heldBytes,
        end: () => (isWhole ? toHex(buffer.take()) : "too long"),
    };
}

function openUpload(maxBytes: number, headers: Readonly<Record<string, string>>): PieceReader {
    const req = new IncomingMessage(new Socket());
    Object.assign(req.headers, headers);
    const budget = createMemoryBudget({ maxBytes: Infinity, onReleased: () => undefined, now: () => 0 });
    const body = readBody(req, still, { maxBytes, timeoutMs: 1, reservation: budget.open() });
    return {
        push: piece => void req.emit("data", piece),
        heldBytes: budget.usedBytes,
        end: async () => {
            req.emit("end");
            const result = await body;
            return result.isOk ? toHex(result.value) : result.error.kind;
        },
    };
}

function openChunkedUpload({ maxBytes }: ExpectedBody): PieceReader {
    return openUpload(maxBytes, {});
}

function openStatedUpload({ maxBytes, length }: ExpectedBody): PieceReader {
    return openUpload(maxBytes, { "content-length": String(length) });
}

function openCollection(): PieceReader {
    const collection = createAnswerCollection();
    let failure: string | undefined;
    return {
        push: piece => {
            failure ??= collection.write(piece);
        },
        heldBytes: collection.heldBytes,
        end: () => failure ?? toHex(collection.toAnswer(200, []).body),
    };
}

function openSplitter(): PieceReader {
    const splitter = createEventSplitter();
    const delivered: Uint8Array[] = [];
    return {
        push: piece => {
            const events = splitter.push(piece);
            if (events !== undefined) {
                delivered.push(events);
            }
        },
        heldBytes: splitter.heldBytes,
        end: () => ({
            // Line ends behind a complete event come with it or with the next one.
            events: Buffer.concat(delivered).toString("latin1").replace(/[\r\n]+$/, ""),
            hasEvents: splitter.hasEvents(),
            lastId: splitter.lastId(),
            isUnfinished: splitter.unfinishedBytes() > 0,
        }),
    };
}

function openForwarding(): PieceReader {
    const body = Object.assign(new EventEmitter(), { destroy: () => undefined }) as unknown as Readable;
    const written: Buffer[] = [];
    const res = Object.assign(new EventEmitter(), {
        write: (bytes: Uint8Array) => {
            written.push(Buffer.from(bytes));
            return true;
        },
    }) as unknown as ServerResponse;
    let end: string | undefined;
    forwardEvents(body, res, createEventScanner(), still, reason => {
        end = reason;
    });
    return {
        push: piece => void body.emit("data", piece),
        end: () => {
            body.emit("end");
            return { end, events: toHex(Buffer.concat(written)) };
        },
    };
}

function openBody({ maxBytes }: ExpectedBody): PieceReader {
    const body = Object.assign(new EventEmitter(), { destroy: () => undefined }) as unknown as Readable;
    let result: unknown;
    collectBody(body, maxBytes, collected => {
        result = collected.kind === "whole" ? toHex(collected.body) : collected;
    });
    return {
        push: piece => void body.emit("data", piece),
        end: () => {
            body.emit("end");
            return result;
        },
    };
}

/** Answers a call as undici does: no piece follows one that paused the answer before it is resumed. */
function openCall({ maxBytes }: ExpectedBody): PieceReader {
    let handler: Dispatcher.DispatchHandler | undefined;
    let resume: () => void = () => undefined;
    let paused: Promise<void> | undefined;
    const controller = {
        pause: () => {
            paused = new Promise(resolve => {
                resume = resolve;
            });
        },
        resume: () => {
            paused = undefined;
            resume();
        },
        abort: (reason: Error) => {
            handler?.onResponseError?.(controller, reason);
            handler = undefined;
        },
    } as unknown as Dispatcher.DispatchController;
    const dispatch = (_: unknown, given: Dispatcher.DispatchHandler) => {
        handler = given;
        return true;
    };
    const signal = new AbortController().signal;
    const answer = collectAnswer({ dispatch }, { method: "GET", path: "/" }, { maxBodyBytes: maxBytes, signal })
        .then(({ status, body }) => `${status} ${toHex(body)}`, (err: unknown) => String(err));
    handler!.onRequestStart?.(controller, {});
    handler!.onResponseStart?.(controller, 200, {});
    return {
        push: piece => {
            handler?.onResponseData?.(controller, piece);
            return paused;
        },
        end: () => {
            handler?.onResponseEnd?.(controller, {});
            return answer;
        },
    };
}

const readers: Readonly<Record<string, (body: ExpectedBody) => PieceReader>> = {
    "a buffer in blocks": openBlocks,
    "an upload in chunks": openChunkedUpload,
    "an upload of a stated length": openStatedUpload,
    "an answer": openCollection,
    "a stream of events": openSplitter,
    "a stream of numbered events": openForwarding,
    "the body of an answer": openBody,
    "the answer to a call": openCall,
};

/**
 * Opens a reader.
 *
 * @param name - Its name in the scenarios.
 * @param body - The body that it is to read.
 * @returns The reader.
 */
export function openPieceReader(name: string, body: ExpectedBody): PieceReader {
    const open = readers[name];
    assert.ok(open !== undefined, name);
    return open(body);
}
