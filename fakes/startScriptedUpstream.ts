/**
 * @module
 * Fake upstream whose bytes on each connection are written by a script.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";

/** A request as the script receives it. */
export interface ScriptedRequest {
    /** Head and body. */
    readonly text: string;
    /** Position on the connection; 0 for the first request. */
    readonly index: number;
    readonly socket: Socket;
}

/** The running fake. */
export interface ScriptedUpstream {
    readonly address: string;
    readonly requests: readonly string[];
    readonly countConnections: () => number;
    readonly stop: () => Promise<void>;
}

/** Starts a fake upstream; it supports requests with a Content-Length or without a body, not chunked ones. */
export function startScriptedUpstream(answer: (req: ScriptedRequest) => void): Promise<ScriptedUpstream> {
    const requests: string[] = [];
    const sockets = new Set<Socket>();
    let connections = 0;
    const server = createServer(socket => {
        connections += 1;
        sockets.add(socket);
        let pending = "";
        let index = 0;
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", bytes => {
            pending += bytes.toString("latin1");
            const headEnd = pending.indexOf("\r\n\r\n");
            const length = Number(/content-length: (\d+)/i.exec(pending)?.[1] ?? 0);
            if (headEnd === -1 || pending.length < headEnd + 4 + length) {
                return;
            }
            const text = pending.slice(0, headEnd + 4 + length);
            pending = pending.slice(text.length);
            requests.push(text);
            answer({ text, index, socket });
            index += 1;
        });
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            resolve({
                address: `127.0.0.1:${port}`,
                requests,
                countConnections: () => connections,
                stop: () =>
                    new Promise(stopped => {
                        sockets.forEach(socket => socket.destroy());
                        server.close(() => stopped());
                    }),
            });
        });
    });
}
