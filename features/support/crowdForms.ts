/**
 * @module
 * What the connections of a crowd of uncontrolled clients send.
 */
import { streamHeaders } from "./platformFixture.js";

/** What one connection sends before it stops short and stays. */
export interface CrowdForm {
    readonly head: (id: string) => string;
    /** Sent again and again after the head. */
    readonly block: Buffer;
    readonly blocks: number;
}

const blockBytes = 65_536;
const nothing = Buffer.alloc(0);

function formatHead(id: string, path: string, fields: readonly string[]): string {
    const { host, authorization } = streamHeaders;
    const lines = [
        `POST ${path}/${id} HTTP/1.1`,
        `Host: ${host}`,
        `Attempt-Id: ${id}`,
        `Authorization: ${authorization}`,
    ];
    return [...lines, ...fields, "", ""].join("\r\n");
}

const chunkedHead = (id: string) => formatHead(id, "/documents", ["Transfer-Encoding: chunked"]);

/** A body in chunks of one size whose last chunk never comes. */
function createChunkedBody(bodyBytes: number, chunkBytes: number): CrowdForm {
    const chunk = `${chunkBytes.toString(16)}\r\n${"b".repeat(chunkBytes)}\r\n`;
    const chunksInBlock = Math.max(1, Math.floor(Math.min(blockBytes, bodyBytes) / chunkBytes));
    const blocks = Math.ceil(bodyBytes / (chunksInBlock * chunkBytes));
    return { head: chunkedHead, block: Buffer.from(chunk.repeat(chunksInBlock)), blocks };
}

/** One chunk that is announced with a size, and never finished. */
function createUnfinishedChunk(announcedBytes: number, sentBytes: number): CrowdForm {
    const head = (id: string) => `${chunkedHead(id)}${announcedBytes.toString(16)}\r\n`;
    return { head, block: Buffer.alloc(sentBytes, "b"), blocks: 1 };
}

/** The forms by their name in scenarios. */
export const crowdForms = {
    "bodies of 3.9 MB in chunks of 1 byte": createChunkedBody(3_900_000, 1),
    "bodies of 3.9 MB in chunks of 7 bytes": createChunkedBody(3_900_000, 7),
    "bodies of 3.9 MB in chunks of 64 KB": createChunkedBody(3_900_000, 65_536),
    "bodies of 30 KB in chunks of 7 bytes": createChunkedBody(30_000, 7),
    "bodies of 300 bytes in chunks of 7 bytes": createChunkedBody(300, 7),
    "a chunk of 4 MB of which 64 KB come": createUnfinishedChunk(4_000_000, 65_536),
    "heads without their end": {
        head: id => formatHead(id, "/documents", ["X-Padding: "]).trimEnd(),
        block: Buffer.alloc(8_000, "p"),
        blocks: 1,
    },
    "nothing": { head: () => "", block: nothing, blocks: 0 },
    "requests whose answers of 2 MB are not read": {
        head: id =>
            Array.from({ length: 8 }, (_, index) => formatHead(`${id}-${index}`, "/large", ["Content-Length: 0"])).join(
                "",
            ),
        block: nothing,
        blocks: 0,
    },
    "short requests that are not read, one after the other": {
        head: () => "",
        block: Buffer.from("GET /x HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2_000)),
        blocks: 400,
    },
} as const satisfies Readonly<Record<string, CrowdForm>>;

/** A body that is sent again and again behind its head, without an end. */
function createEndlessBody(block: string, fields: readonly string[] = ["Transfer-Encoding: chunked"]): CrowdForm {
    const copies = Math.max(1, Math.floor(blockBytes / block.length));
    return {
        head: id => formatHead(id, "/documents", fields),
        block: Buffer.from(block.repeat(copies)),
        blocks: Infinity,
    };
}

/** A body of a stated length of which a number of bytes is sent. */
function createStatedBody(statedBytes: number, sentBytes: number): CrowdForm {
    const bytes = Math.min(sentBytes, blockBytes);
    return {
        head: id => formatHead(id, "/documents", [`Content-Length: ${statedBytes}`]),
        block: Buffer.alloc(bytes, "b"),
        blocks: Math.ceil(sentBytes / bytes),
    };
}

/** Requests on one connection whose answers are not read. */
function createUnreadRequests(path: string, requests: number): CrowdForm {
    return {
        head: id =>
            Array.from(
                { length: requests },
                (_, index) => formatHead(`${id}-${index}`, path, ["Content-Length: 0"]),
            ).join(""),
        block: nothing,
        blocks: 0,
    };
}

/** A chunk of a number of bytes. */
function formatChunk(bytes: number, extension = ""): string {
    return `${bytes.toString(16)}${extension}\r\n${"b".repeat(bytes)}\r\n`;
}

/** Forms that go on without an end, are far over a limit, or are no valid requests, by their name in scenarios. */
export const floodForms = {
    "endless chunks of 1 byte": createEndlessBody(formatChunk(1)),
    "endless chunks of 64 KB": createEndlessBody(formatChunk(blockBytes)),
    "endless chunks with extensions of 4 KB": createEndlessBody(formatChunk(1, `;${"e".repeat(4_096)}`)),
    "endless empty lines": { head: () => "", block: Buffer.from("\r\n".repeat(blockBytes / 2)), blocks: Infinity },
    "endless trailers": createEndlessBody("0\r\nT: t\r\nT: t\r\nT: t\r\n"),
    "endless bodies behind an unknown key": {
        ...createEndlessBody(formatChunk(blockBytes)),
        head: id => chunkedHead(id).replace(/Authorization: .*\r\n/, "Authorization: Bearer unknown\r\n"),
    },
    "endless bodies on an unknown route": {
        ...createEndlessBody(formatChunk(blockBytes)),
        head: id => formatHead(id, "/unknown", ["Transfer-Encoding: chunked"]),
    },
    "a chunk of 4 GB": {
        head: id => `${chunkedHead(id)}ffffffff\r\n`,
        block: Buffer.alloc(blockBytes, "b"),
        blocks: Infinity,
    },
    "bodies of 1 GB that are announced": createStatedBody(1_000_000_000, blockBytes),
    "bodies of 4 MB without their last byte": createStatedBody(4_000_000, 3_999_999),
    "bodies of 20 KB without their last byte": createStatedBody(20_000, 19_999),
    "bodies that wait to be continued": {
        ...createStatedBody(1_000_000, 0),
        head: id => formatHead(id, "/documents", ["Content-Length: 1000000", "Expect: 100-continue"]),
        block: nothing,
        blocks: 0,
    },
    "heads of which a byte came": { head: () => "P", block: nothing, blocks: 0 },
    "bytes that are no request": { head: () => "", block: Buffer.alloc(blockBytes, "\u0001"), blocks: 4 },
    "40 requests whose answers of 200 KB are not read": createUnreadRequests("/medium", 40),
    "40 requests whose answers of 2 MB are not read": createUnreadRequests("/large", 40),
} as const satisfies Readonly<Record<string, CrowdForm>>;

/** All forms by their name. */
export const allForms = { ...crowdForms, ...floodForms } as const;

/** Name of a form. */
export type CrowdFormName = keyof typeof allForms;
