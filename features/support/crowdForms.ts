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

/** Name of a form. */
export type CrowdFormName = keyof typeof crowdForms;
