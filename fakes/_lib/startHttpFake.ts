/**
 * @module
 * The base of the HTTP fakes: a server on loopback that exchanges JSON bodies.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A fake that listens on loopback. */
export interface HttpFake {
    /** "ip:port" that it listens on. */
    readonly address: string;
    /** Closes the server and all of its connections. */
    readonly close: () => Promise<void>;
    /** Destroys all open connections, as a crash does. */
    readonly destroyConnections: () => void;
}

/** Handles one request after its body has been read. */
export type FakeRequestHandler = (req: IncomingMessage, body: string, res: ServerResponse) => void;

/** Writes a JSON response. */
export function writeJson(res: ServerResponse, status: number, value: unknown): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(value));
}

/** Starts a fake; port 0 selects any free port. */
export async function startHttpFake(handle: FakeRequestHandler, port = 0): Promise<HttpFake> {
    const server = createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => handle(req, Buffer.concat(chunks).toString(), res));
        req.on("error", () => undefined);
        res.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        destroyConnections: () => server.closeAllConnections(),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}
