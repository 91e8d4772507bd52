/**
 * @module
 * Shared ground of the HTTP stand-ins: a server on loopback with JSON bodies.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A stand-in that listens on loopback. */
export interface HttpFake {
    /** "ip:port" it listens on. */
    readonly address: string;
    /** Closes the server and all of its connections. */
    readonly close: () => Promise<void>;
    /** Destroys all open connections, as a crash does. */
    readonly cutConnections: () => void;
}

/** Handles one request whose body was read. */
export type HandleFakeRequest = (req: IncomingMessage, body: string, res: ServerResponse) => void;

/** Writes a JSON answer. */
export function writeJson(res: ServerResponse, status: number, value: unknown): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(value));
}

/** Starts a stand-in; port 0 takes any free port. */
export async function startHttpFake(handle: HandleFakeRequest, port = 0): Promise<HttpFake> {
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
        cutConnections: () => server.closeAllConnections(),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}
