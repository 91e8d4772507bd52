/**
 * @module
 * Calls that an instance makes to the store, engines, holders of prompt parts and peers, each with a whole answer to it.
 */
import { createRecord } from "../../bench/support/proxyFixtures.js";
import { createEngineOrders } from "../../platform/createEngineOrders.js";
import { createPartReader } from "../../platform/createPartReader.js";
import { createStoreClient } from "../../platform/createStoreClient.js";
import type { RecordStore } from "../../src/core/ports/recordStore.js";
import { createStoreEra } from "../../src/core/store/createStoreEra.js";
import { createPeerStateReader } from "../../src/io/fleet/createPeerStateReader.js";

/** An answer without the headers that mark its end. */
export interface PlainAnswer {
    readonly status: number;
    readonly body: Buffer;
}

/** One call; `ask` returns what the instance takes from the answer. */
export interface OutsideCall {
    readonly name: string;
    /** What is called. */
    readonly endpoint: "newest" | "read" | "append" | "events" | "list" | "report" | "order" | "peer";
    readonly ask: (clients: OutsideClients) => Promise<unknown>;
    /** The whole answer. */
    readonly answer: PlainAnswer;
}

/** Clients of one server. */
export interface OutsideClients {
    readonly store: RecordStore;
    readonly parts: ReturnType<typeof createPartReader>;
    readonly peers: ReturnType<typeof createPeerStateReader>;
    readonly address: string;
}

/** Creates clients without connections. */
export function createOutsideClients(address: string): OutsideClients {
    return {
        store: createStoreClient(address, createStoreEra().accept),
        parts: createPartReader(),
        peers: createPeerStateReader(),
        address,
    };
}

/** Creates an answer with a JSON body. */
export function createJsonAnswer(status: number, body: unknown): PlainAnswer {
    return { status, body: Buffer.from(JSON.stringify(body)) };
}

function encodeOffset(offset: number): Buffer {
    const bytes = Buffer.alloc(8);
    bytes.writeBigUInt64BE(BigInt(offset));
    return bytes;
}

function encodeRecord(key: string, value: string): Buffer {
    const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(value)]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}

/** Creates an answer with records of a topic that ends at an offset. */
export function createRecordsAnswer(end: number, values: readonly string[]): PlainAnswer {
    const records = values.map(value => encodeRecord("config", value));
    return { status: 200, body: Buffer.concat([encodeOffset(end), encodeOffset(0), ...records]) };
}

/** Creates an answer with the newest records of a topic. */
export function createNewestAnswer(keys: readonly string[], more: boolean): PlainAnswer {
    const items = keys.map((key, index) => ({ key, value: "eyJ2IjoxfQ==", offset: index }));
    return createJsonAnswer(200, { items, more, end: 9 });
}

const engine = (address: string) => createRecord({ id: "u-1", address });

const holder = (address: string) => ({ id: "u-1", address, isNamed: true, maxReaders: 1, isListed: true });

/** Orders an engine to load weights. */
export function order({ address }: OutsideClients): Promise<unknown> {
    return createEngineOrders().order({
        engine: engine(address),
        model: "easy-read",
        version: 2,
        holder: "entry-1",
        fence: 41,
        expectedOrders: 2,
        runningRequests: "continue",
        timeoutMs: 500,
    });
}

/** Reads changes of a holder's parts. */
export function readEvents({ parts, address }: OutsideClients, since: number): Promise<unknown> {
    return parts.readPartEvents(holder(address), since, 0);
}

/** Lists a holder's parts. */
export function listParts({ parts, address }: OutsideClients): Promise<unknown> {
    return parts.listParts(holder(address));
}

/** Reads a peer's state. */
export function readPeer({ peers, address }: OutsideClients): Promise<unknown> {
    return peers.read(address, { tableVersion: 0, upstreamsDigest: "" });
}

const value = Buffer.from("claim");

const readRecords = ({ store }: OutsideClients) => store.readKeyed("topic", 3, 0);

const claim = ({ store }: OutsideClients) => store.appendAt("topic", 7, value);

/** Every call. */
export const outsideCalls: readonly OutsideCall[] = [
    {
        name: "newest records",
        endpoint: "newest",
        ask: ({ store }) => store.readNewest("topic"),
        answer: createNewestAnswer(["config", "version/easy-read"], false),
    },
    {
        name: "records",
        endpoint: "read",
        ask: readRecords,
        answer: createRecordsAnswer(6, ["one", "two", "three"]),
    },
    {
        name: "claims",
        endpoint: "read",
        ask: ({ store }) => store.readPlain("topic", 3),
        answer: createRecordsAnswer(6, ["one", "two", "three"]),
    },
    {
        name: "records that are deleted",
        endpoint: "read",
        ask: readRecords,
        answer: createJsonAnswer(410, { first: 6 }),
    },
    {
        name: "append",
        endpoint: "append",
        ask: ({ store }) => store.putKeyed("topic", "entry-1", value),
        answer: createJsonAnswer(200, { offset: 4, end: 5 }),
    },
    {
        name: "conditional append",
        endpoint: "append",
        ask: claim,
        answer: createJsonAnswer(200, { offset: 7, end: 8 }),
    },
    {
        name: "conditional append that came too late",
        endpoint: "append",
        ask: claim,
        answer: createJsonAnswer(412, { end: 9 }),
    },
    {
        name: "changes of parts",
        endpoint: "events",
        ask: clients => readEvents(clients, 118),
        answer: createJsonAnswer(200, {
            epoch: 77_120,
            next: 120,
            lost: false,
            events: [[119, "+", "s1", "5c1e07a2", 800, "easy-read"], [120, "-", "s1", "91bd3f06", 128, "easy-read"]],
        }),
    },
    {
        name: "list of parts",
        endpoint: "list",
        ask: listParts,
        answer: createJsonAnswer(200, { epoch: 77_120, next: 120, held: [["s1", "5c1e07a2", 800, "easy-read"]] }),
    },
    {
        name: "engine's report",
        endpoint: "report",
        ask: ({ address }) => createEngineOrders().readState(engine(address), "easy-read"),
        answer: createJsonAnswer(200, {
            stage: "combined",
            models: [{ name: "easy-read", version: 1, adapters: [] }],
            busy: false,
            seq_no: 2,
        }),
    },
    { name: "accepted order", endpoint: "order", ask: order, answer: createJsonAnswer(202, {}) },
    { name: "order that already holds", endpoint: "order", ask: order, answer: createJsonAnswer(200, {}) },
    { name: "order beside another", endpoint: "order", ask: order, answer: createJsonAnswer(409, { seq_no: 3 }) },
    { name: "fenced order", endpoint: "order", ask: order, answer: createJsonAnswer(412, { fence: 42 }) },
    {
        name: "peer's state",
        endpoint: "peer",
        ask: readPeer,
        answer: createJsonAnswer(200, {
            upstreams: [],
            upstreamsAgeMs: 100,
            operatorAgeMs: 100,
            storeEra: 1,
            named: [{ model: "easy-read", version: 1 }],
        }),
    },
];

/** What marks the end of an answer. */
export type Framing = "length" | "chunks" | "connection";

/** Writes an answer as bytes. */
export function encodeAnswer({ status, body }: PlainAnswer, framing: Framing): Buffer {
    const head = `HTTP/1.1 ${status} Any\r\nStore-Era: 1\r\nContent-Type: application/json\r\n`;
    switch (framing) {
        case "length":
            return Buffer.concat([Buffer.from(`${head}Content-Length: ${body.length}\r\n\r\n`), body]);
        case "chunks":
            return Buffer.concat([
                Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n`),
                body,
                Buffer.from("\r\n0\r\n\r\n"),
            ]);
        default:
            return Buffer.concat([Buffer.from(`${head}\r\n`), body]);
    }
}

/** Returns whether an instance takes nothing from an answer but that the outcome of its call is not known. */
export function isUnknown(told: unknown): boolean {
    return told === undefined || told === "unanswered"
        || (told instanceof Object && "kind" in told && told.kind === "failed");
}
